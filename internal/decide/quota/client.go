package quota

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// ErrUnavailable means that too few homes answered to know whether there is room.
var ErrUnavailable = errors.New("too few daemons answered that count requests")

const (
	// homeCount is how many daemons count an organisation's requests. Three bear the loss of one without a stand-in, and
	// cost three calls a request.
	homeCount = 3
	// stagger is how long a home may be silent before a stand-in is asked: ten times a trip to another data centre.
	stagger = 30 * time.Millisecond
	// takeTimeout bounds the asking: a caller's next try may reach a front that can.
	takeTimeout = 400 * time.Millisecond
	// silentTime is how long a home that was silent is asked last.
	silentTime = time.Second
	// returnTimeout bounds the giving back of a grant; one that is lost costs its organisation one request.
	returnTimeout = time.Second
	// longestDenial bounds how long a refusal stands for further requests without asking, so that an organisation at many
	// times its limit does not flood its homes: each front asks ten times a second.
	longestDenial = 100 * time.Millisecond
)

// Request is one request of an organisation.
type Request struct {
	Organisation string
	Limit        Limit
	// Version is that of the configuration that set Limit.
	Version int64
	// First is set for a request with which a program begins.
	First bool
}

// OverLimitError means that an organisation is at its limit.
type OverLimitError struct {
	// Wait is when there will be room.
	Wait time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string { return "over the limit for another " + e.Wait.String() }

// Client asks homes for grants. Use NewAsker.
type Client struct {
	links *peerlink.Pool
	// candidates returns the addresses of an organisation's homes and, behind them, of those that may stand in.
	candidates func(organisation string) []string

	mu sync.Mutex
	// silent has the addresses that did not answer, and until when they are asked last.
	silent map[string]time.Time
	// denied has who was refused just now.
	denied map[denial]refusal
	// held has until when requests of an organisation were granted for later.
	held map[string]time.Time
}

// denial names requests that are refused together.
type denial struct {
	organisation string
	first        bool
}

// refusal stands until a time; room is when there will be room.
type refusal struct{ until, room time.Time }

// NewClient returns an asker over links.
func NewClient(links *peerlink.Pool, candidates func(organisation string) []string) *Client {
	return &Client{links: links, candidates: candidates, silent: map[string]time.Time{}, denied: map[denial]refusal{}, held: map[string]time.Time{}}
}

// Grant is the right to run one request.
type Grant struct {
	// Wait is how long the request must wait before it may go to a server.
	Wait time.Duration

	asker        *Client
	organisation string
	homes        []string
}

// Take returns a grant, an *OverError, or ErrUnsure.
func (a *Client) Take(ctx context.Context, r Request) (*Grant, error) {
	if wait := a.deniedFor(r); wait > 0 {
		return nil, &OverLimitError{Wait: wait}
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	grant, err := a.newPoll(r).run(ctx)
	if err == nil && grant.Wait > 0 {
		a.noteHeld(r.Organisation, grant.Wait)
	}
	return grant, err
}

// heldFor returns for how long from now requests of an organisation have been granted for later.
func (a *Client) heldFor(organisation string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, held := a.held[organisation]
	if !held {
		return 0
	}
	left := time.Until(until)
	if left <= 0 {
		delete(a.held, organisation)
	}
	return max(0, left)
}

func (a *Client) noteHeld(organisation string, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := time.Now().Add(wait); until.After(a.held[organisation]) {
		a.held[organisation] = until
	}
}

// deniedFor returns when there will be room for a request that is refused without asking; 0 where homes must be asked.
func (a *Client) deniedFor(r Request) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := denial{r.Organisation, r.First}
	last, denied := a.denied[key]
	if !denied {
		return 0
	}
	if !time.Now().Before(last.until) {
		delete(a.denied, key)
		return 0
	}
	return time.Until(last.room)
}

func (a *Client) deny(r Request, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.denied[denial{r.Organisation, r.First}] = refusal{until: now.Add(min(wait, longestDenial)), room: now.Add(wait)}
}

// home is a daemon to ask, and whether it is one in the place of another.
type home struct {
	address string
	standIn bool
}

// homes returns whom to ask, those last that were silent just now.
func (a *Client) homes(organisation string) []home {
	var answering, silent []home
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for i, address := range a.candidates(organisation) {
		h := home{address: address, standIn: i >= homeCount}
		if now.Before(a.silent[address]) {
			silent = append(silent, h)
			continue
		}
		delete(a.silent, address)
		answering = append(answering, h)
	}
	return slices.Concat(answering, silent)
}

func (a *Client) noteSilent(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent[address] = time.Now().Add(silentTime)
}

// poll is one asking of homes.
type poll struct {
	asker   *Client
	request Request
	held    time.Duration
	homes   []home
	asked   int
	need    int
	answers chan vote
	grants  []string
	refused int
	// delay is the longest that a grant must wait, wait the shortest after which a refused request may come back.
	delay, wait time.Duration
}

// vote is a home's answer.
type vote struct {
	address string
	answer  *TakeReply
	err     error
}

func (a *Client) newPoll(r Request) *poll {
	homes := a.homes(r.Organisation)
	return &poll{asker: a, request: r, held: a.heldFor(r.Organisation), homes: homes, need: min(homeCount, len(homes))/2 + 1, answers: make(chan vote, len(homes))}
}

// run asks until enough homes have granted the request, or refused it.
func (p *poll) run(ctx context.Context) (*Grant, error) {
	for range min(homeCount, len(p.homes)) {
		p.askNext(ctx)
	}
	ticks := time.NewTicker(stagger)
	defer ticks.Stop()
	for answered := 0; answered < p.asked; {
		select {
		case <-ticks.C:
			p.askNext(ctx)
		case v := <-p.answers:
			answered++
			p.count(ctx, v)
		case <-ctx.Done():
			return nil, p.giveUp()
		}
		switch {
		case len(p.grants) >= p.need:
			return &Grant{Wait: p.delay, asker: p.asker, organisation: p.request.Organisation, homes: p.grants}, nil
		case p.refused >= p.need:
			p.giveBack()
			p.asker.deny(p.request, p.wait)
			return nil, &OverLimitError{Wait: p.wait}
		}
	}
	return nil, p.giveUp()
}

// askNext asks one more home, if there is one.
func (p *poll) askNext(ctx context.Context) {
	if p.asked == len(p.homes) {
		return
	}
	h := p.homes[p.asked]
	p.asked++
	args := &TakeArgs{Organisation: p.request.Organisation, Limit: p.request.Limit, Version: p.request.Version,
		First: p.request.First, StandIn: h.standIn, Held: p.held}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeTimeout)
	go func() {
		defer cancel()
		v := vote{address: h.address}
		v.answer, v.err = peerlink.Call[TakeReply](ctx, p.asker.links.LinkTo(h.address), ServiceName+".Take", args)
		if v.err != nil {
			p.asker.noteSilent(h.address)
		}
		p.answers <- v
	}()
}

// count takes one answer in.
func (p *poll) count(ctx context.Context, v vote) {
	switch {
	case v.err != nil:
		p.askNext(ctx)
	case v.answer.Granted:
		p.grants = append(p.grants, v.address)
		p.delay = max(p.delay, v.answer.Wait)
	default:
		p.refused++
		if p.refused == 1 || v.answer.Wait < p.wait {
			p.wait = v.answer.Wait
		}
	}
}

func (p *poll) giveUp() error {
	p.giveBack()
	return ErrUnavailable
}

func (p *poll) giveBack() {
	(&Grant{asker: p.asker, organisation: p.request.Organisation, homes: p.grants}).Return()
}

// Return gives the grant of a request back that has not run and never will.
func (g *Grant) Return() {
	if g == nil {
		return
	}
	for _, address := range g.homes {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
			defer cancel()
			// Where it gets lost the organisation has one request less for a moment.
			_, _ = peerlink.Call[ReturnReply](ctx, g.asker.links.LinkTo(address), ServiceName+".Return", &ReturnArgs{g.organisation})
		}()
	}
}
