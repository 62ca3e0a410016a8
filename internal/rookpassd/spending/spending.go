// Package spending enforces the budgets of organisations across daemons. For each organisation with a budget, the
// object API stores the tokens spent and the slice lent to each daemon. A daemon spends from its slice without
// further requests. The slice of a failed daemon counts as spent, so a daemon that was only paused and resumes
// later can't exceed the budget.
package spending

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// A daemon borrows 1/sliceShare of the remaining budget at a time, but at least enough for the current call and
// sliceCalls more like it, if that much is left.
const (
	sliceShare = 32
	sliceCalls = 4
)

// maxAttempts limits the attempts to update an organisation's object while other daemons update it.
const maxAttempts = 8

// Intervals and retry delays of the ledger.
const (
	attemptPause = 20 * time.Millisecond
	apiRetry     = 2 * time.Second
	// settleInterval is how often unused slices are returned and used tokens are counted as spent. Each settling
	// costs up to one write per organisation with a budget and daemon; see docs/CAPACITY.md.
	settleInterval = 10 * time.Minute
)

// Options of a Ledger.
type Options struct {
	API     objectapi.API
	Limiter *rate.Limiter
	// Incarnation identifies this daemon as a borrower.
	Incarnation string
	// Budget returns an organisation's budget in tokens; 0 means no limit.
	Budget func(organisation string) int64
	// Ended reports whether an incarnation has ended for certain, that is, whether its log is sealed.
	Ended func(incarnation string) bool
}

// Ledger manages the slices of one incarnation. Use New.
type Ledger struct {
	Options

	mu       sync.Mutex
	accounts map[string]*account
}

// account is one organisation's slice at this daemon. lent = free + reserved + used.
type account struct {
	// borrow is a lock held while the organisation's object is updated. It is a channel so that waiting for it can
	// be cancelled.
	borrow chan struct{}

	lent, free, used int64
	serial           uint64
	// touched is set if tokens were reserved since the last settling.
	touched bool
}

// lock locks the organisation's object against updates by other calls of this daemon.
func (a *account) lock(ctx context.Context) error {
	select {
	case a.borrow <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *account) unlock() { <-a.borrow }

// New returns a ledger without slices.
func New(options Options) *Ledger { return &Ledger{Options: options, accounts: map[string]*account{}} }

func (l *Ledger) account(organisation string) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[organisation]
	if a == nil {
		a = &account{borrow: make(chan struct{}, 1)}
		l.accounts[organisation] = a
	}
	return a
}

// Reserve reserves tokens for one call and borrows more if necessary. The caller must call settle exactly once
// with the actual cost. On error nothing is reserved.
func (l *Ledger) Reserve(ctx context.Context, organisation string, tokens int64) (settle func(cost int64), err error) {
	if l.Budget(organisation) == 0 {
		return func(int64) {}, nil
	}
	a := l.account(organisation)
	for !l.take(a, tokens) {
		if err := l.extend(ctx, organisation, a, tokens); err != nil {
			return nil, err
		}
	}
	return func(cost int64) { l.settle(a, tokens, cost) }, nil
}

// take reserves tokens from the slice if it has enough free tokens.
func (l *Ledger) take(a *account, tokens int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.free < tokens {
		return false
	}
	a.free -= tokens
	a.touched = true
	return true
}

func (l *Ledger) settle(a *account, reserved, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.used += cost
	a.free += reserved - cost
}

// extend borrows enough tokens for a call. It returns a BudgetExhausted error if the remaining budget is too small.
func (l *Ledger) extend(ctx context.Context, organisation string, a *account, tokens int64) error {
	if err := a.lock(ctx); err != nil {
		return unavailable(err)
	}
	defer a.unlock()
	l.mu.Lock()
	missing := tokens - a.free
	l.mu.Unlock()
	if missing <= 0 {
		return nil // Another call has extended the slice meanwhile.
	}
	return l.change(ctx, organisation, a, func(stored *peerv1.Spending, slice *peerv1.Slice) error {
		left := l.Budget(organisation) - stored.SpentTokens
		for _, s := range stored.Slices {
			left -= s.Tokens
		}
		if left < missing {
			return verdict.Refuse(verdict.BudgetExhausted, "organisation's budget has %d tokens left, %d are needed", left, missing)
		}
		slice.Tokens += min(left, max(missing+sliceCalls*tokens, left/sliceShare))
		return nil
	})
}

// change updates the organisation's object by a conditional write and retries on conflicts. It then adopts the new
// size of this daemon's slice. The caller must have locked the account.
func (l *Ledger) change(ctx context.Context, organisation string, a *account, edit func(*peerv1.Spending, *peerv1.Slice) error) error {
	key := keyspace.Spending(organisation)
	for range maxAttempts {
		stored, version, err := l.read(ctx, key)
		if err != nil {
			return unavailable(err)
		}
		l.writeOffEnded(stored)
		slice := l.sliceOf(stored)
		if slice.Serial > a.serial {
			l.adopt(a, slice) // An earlier write took effect although its response was lost.
			return nil
		}
		if err := edit(stored, slice); err != nil {
			return err
		}
		slice.Serial = a.serial + 1
		value, err := proto.Marshal(stored)
		if err != nil {
			return err
		}
		if err := l.Limiter.Wait(ctx); err != nil {
			return unavailable(err)
		}
		_, err = l.API.Put(ctx, key, value, version)
		if err == nil {
			l.adopt(a, slice)
			return nil
		}
		if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrUnknownOutcome) {
			return unavailable(err)
		}
		_ = wait.For(ctx, attemptPause) // If ctx has ended, the next attempt fails.
	}
	return verdict.RetryLater(verdict.Overloaded, attemptPause*maxAttempts, "organisation's budget is being updated by other daemons")
}

func unavailable(err error) error {
	return verdict.RetryLater(verdict.Unavailable, apiRetry, "organisation's budget is unavailable: %v", err)
}

func (l *Ledger) read(ctx context.Context, key string) (*peerv1.Spending, uint64, error) {
	stored := &peerv1.Spending{}
	object, err := l.API.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return stored, objectapi.MustNotExist, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return stored, object.Version, proto.Unmarshal(object.Value, stored)
}

// writeOffEnded removes the slices of incarnations that have ended and counts them as spent.
func (l *Ledger) writeOffEnded(stored *peerv1.Spending) {
	stored.Slices = slices.DeleteFunc(stored.Slices, func(s *peerv1.Slice) bool {
		ended := s.Incarnation != l.Incarnation && l.Ended(s.Incarnation)
		if ended {
			stored.SpentTokens += s.Tokens
		}
		return ended
	})
}

func (l *Ledger) sliceOf(stored *peerv1.Spending) *peerv1.Slice {
	for _, s := range stored.Slices {
		if s.Incarnation == l.Incarnation {
			return s
		}
	}
	s := &peerv1.Slice{Incarnation: l.Incarnation}
	stored.Slices = append(stored.Slices, s)
	return s
}

// adopt updates the account to the slice stored in the organisation's object.
func (l *Ledger) adopt(a *account, slice *peerv1.Slice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.free += slice.Tokens - a.lent
	a.lent = slice.Tokens
	a.serial = slice.Serial
}

// Run settles all accounts every settleInterval until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.SettleAll(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SettleAll counts used tokens as spent and returns the free tokens of organisations without calls since the last
// settling. It stops at the first error; the rest is settled the next time.
func (l *Ledger) SettleAll(ctx context.Context) {
	l.mu.Lock()
	organisations := make(map[string]*account, len(l.accounts))
	for name, a := range l.accounts {
		if a.lent > 0 {
			organisations[name] = a
		}
	}
	l.mu.Unlock()
	for name, a := range organisations {
		if err := l.settleOne(ctx, name, a); err != nil {
			return
		}
	}
}

func (l *Ledger) settleOne(ctx context.Context, organisation string, a *account) error {
	if err := a.lock(ctx); err != nil {
		return err
	}
	defer a.unlock()
	l.mu.Lock()
	used, idle := a.used, !a.touched
	a.touched = false
	back := int64(0)
	if idle {
		back = a.free
		a.free = 0 // The tokens must not be reserved while they are being returned.
	}
	l.mu.Unlock()
	if used == 0 && back == 0 {
		return nil
	}
	settled := false
	err := l.change(ctx, organisation, a, func(stored *peerv1.Spending, slice *peerv1.Slice) error {
		stored.SpentTokens += used
		slice.Tokens -= used + back
		settled = true
		return nil
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || !settled {
		a.free += back
		return err
	}
	// adopt has reduced free by used+back, but neither was part of free any more.
	a.used -= used
	a.free += used + back
	return nil
}
