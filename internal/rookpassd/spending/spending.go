// Package spending keeps organisations within their budgets across daemons. The object API holds, for each
// organisation with a budget, what is spent and what is lent to which daemon; a daemon spends from its slice
// without asking. What was lent to a daemon that died counts as spent, so a daemon that wakes late can only
// spend what was set aside for it.
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

// A slice is borrowed for several calls at once: a share of what is left, but not less than some calls' worth.
const (
	sliceShare = 32
	sliceCalls = 4
)

// maxAttempts bounds the attempts to borrow while other daemons change the same object.
const maxAttempts = 8

// Pauses of the ledger.
const (
	attemptPause = 20 * time.Millisecond
	apiRetry     = 2 * time.Second
	// settleInterval is how often unused slices go back and used ones are counted as spent. It costs a write
	// for each organisation with a budget at each daemon: docs/CAPACITY.md.
	settleInterval = 10 * time.Minute
)

// Options of a Ledger.
type Options struct {
	API     objectapi.API
	Limiter *rate.Limiter
	// Incarnation is the borrower.
	Incarnation string
	// Budget returns an organisation's budget in tokens; 0 means that it has no bound.
	Budget func(organisation string) int64
	// Ended tells whether an incarnation is certainly over: its log is sealed.
	Ended func(incarnation string) bool
}

// Ledger spends organisations' budgets for one incarnation. Use New.
type Ledger struct {
	Options

	mu       sync.Mutex
	accounts map[string]*account
}

// account is one organisation's slice at this daemon. lent = free + reserved + used.
type account struct {
	// borrow holds one token, taken while the object is changed: unlike a lock, a call can stop waiting for it.
	borrow chan struct{}

	lent, free, used int64
	serial           uint64
	// touched tells whether anything was reserved since the last settling.
	touched bool
}

// enter waits until no other call changes the organisation's object.
func (a *account) enter(ctx context.Context) error {
	select {
	case a.borrow <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *account) leave() { <-a.borrow }

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

// Reserve sets tokens aside for one call, borrowing more if need be. The returned function must be called once
// with what the call cost. A refusal means that nothing was set aside.
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

// take reserves from the slice if enough of it is free.
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

// extend borrows enough for a call, or refuses.
func (l *Ledger) extend(ctx context.Context, organisation string, a *account, tokens int64) error {
	if err := a.enter(ctx); err != nil {
		return unavailable(err)
	}
	defer a.leave()
	l.mu.Lock()
	missing := tokens - a.free
	l.mu.Unlock()
	if missing <= 0 {
		return nil // Another call has just borrowed.
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

// change changes the organisation's object by a conditional write, again when another daemon was first. It
// then takes over the new size of this daemon's slice. The caller has entered the account.
func (l *Ledger) change(ctx context.Context, organisation string, a *account, edit func(*peerv1.Spending, *peerv1.Slice) error) error {
	key := keyspace.Spending(organisation)
	for range maxAttempts {
		stored, version, err := l.read(ctx, key)
		if err != nil {
			return unavailable(err)
		}
		l.countDead(stored)
		slice := l.sliceOf(stored)
		if slice.Serial > a.serial {
			l.adopt(a, slice) // An earlier write took effect though its answer was lost.
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
		_ = wait.For(ctx, attemptPause) // The next attempt finds that ctx has ended.
	}
	return verdict.RetryLater(verdict.Overloaded, attemptPause*maxAttempts, "organisation's budget is being changed")
}

func unavailable(err error) error {
	return verdict.RetryLater(verdict.Unavailable, apiRetry, "organisation's budget can't be read: %v", err)
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

// countDead counts what was lent to incarnations that are over as spent.
func (l *Ledger) countDead(stored *peerv1.Spending) {
	stored.Slices = slices.DeleteFunc(stored.Slices, func(s *peerv1.Slice) bool {
		dead := s.Incarnation != l.Incarnation && l.Ended(s.Incarnation)
		if dead {
			stored.SpentTokens += s.Tokens
		}
		return dead
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

// adopt makes what the object lends this daemon available.
func (l *Ledger) adopt(a *account, slice *peerv1.Slice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.free += slice.Tokens - a.lent
	a.lent = slice.Tokens
	a.serial = slice.Serial
}

// Run settles now and then until ctx ends.
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

// SettleAll counts what was used as spent and gives back what organisations that made no call since the last
// time do not use. What can't be settled now is settled later.
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
	if err := a.enter(ctx); err != nil {
		return err
	}
	defer a.leave()
	l.mu.Lock()
	used, idle := a.used, !a.touched
	a.touched = false
	back := int64(0)
	if idle {
		back = a.free
		a.free = 0 // Nobody may take it while it is being given back.
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
	// adopt has taken the difference off free; used and back are what it consists of.
	a.used -= used
	a.free += used + back
	return nil
}
