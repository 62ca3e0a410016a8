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
	// replicaCount is how many daemons count an organisation's requests. Three bear the loss of one without a stand-in, and
	// cost three calls a request.
	replicaCount = 3
	// standInDelay is how long a home may be silent before a stand-in is asked: ten times a trip to another data centre.
	standInDelay = 30 * time.Millisecond
	// takeTimeout bounds the asking: a caller's next try may reach a front that can.
	takeTimeout = 400 * time.Millisecond
	// unresponsiveTime is how long a home that was silent is asked last.
	unresponsiveTime = time.Second
	// returnTimeout bounds the giving back of a grant; one that is lost costs its organisation one request.
	returnTimeout = time.Second
	// maxDenialTime bounds how long a refusal stands for further requests without asking, so that an organisation at many
	// times its limit does not flood its homes: each front asks ten times a second.
	maxDenialTime = 100 * time.Millisecond
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
	// unresponsiveUntil has the addresses that did not answer, and until when they are asked last.
	unresponsiveUntil map[string]time.Time
	// denials has who was refused just now.
	denials map[denialKey]denial
	// reservedUntil has until when requests of an organisation were granted for later.
	reservedUntil map[string]time.Time
}

// denialKey names requests that are refused together.
type denialKey struct {
	organisation string
	first        bool
}

// denial stands until a time; room is when there will be room.
type denial struct{ until, retryAt time.Time }

// NewClient returns an asker over links.
func NewClient(links *peerlink.Pool, candidates func(organisation string) []string) *Client {
	return &Client{links: links, candidates: candidates, unresponsiveUntil: map[string]time.Time{}, denials: map[denialKey]denial{}, reservedUntil: map[string]time.Time{}}
}

// Grant is the right to run one request.
type Grant struct {
	// Wait is how long the request must wait before it may go to a server.
	Wait time.Duration

	client       *Client
	organisation string
	replicas     []string
}

// Take returns a grant, an *OverError, or ErrUnsure.
func (c *Client) Take(ctx context.Context, r Request) (*Grant, error) {
	if wait := c.deniedFor(r); wait > 0 {
		return nil, &OverLimitError{Wait: wait}
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	grant, err := c.newPoll(r).run(ctx)
	if err == nil && grant.Wait > 0 {
		c.noteReserved(r.Organisation, grant.Wait)
	}
	return grant, err
}

// reservedFor returns for how long from now requests of an organisation have been granted for later.
func (c *Client) reservedFor(organisation string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, reserved := c.reservedUntil[organisation]
	if !reserved {
		return 0
	}
	left := time.Until(until)
	if left <= 0 {
		delete(c.reservedUntil, organisation)
	}
	return max(0, left)
}

func (c *Client) noteReserved(organisation string, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := time.Now().Add(wait); until.After(c.reservedUntil[organisation]) {
		c.reservedUntil[organisation] = until
	}
}

// deniedFor returns when there will be room for a request that is refused without asking; 0 where homes must be asked.
func (c *Client) deniedFor(r Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := denialKey{r.Organisation, r.First}
	last, denied := c.denials[key]
	if !denied {
		return 0
	}
	if !time.Now().Before(last.until) {
		delete(c.denials, key)
		return 0
	}
	return time.Until(last.retryAt)
}

func (c *Client) deny(r Request, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.denials[denialKey{r.Organisation, r.First}] = denial{until: now.Add(min(wait, maxDenialTime)), retryAt: now.Add(wait)}
}

// replica is a daemon to ask, and whether it is one in the place of another.
type replica struct {
	address string
	standIn bool
}

// replicas returns whom to ask, those last that were silent just now.
func (c *Client) replicas(organisation string) []replica {
	var responsive, unresponsive []replica
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i, address := range c.candidates(organisation) {
		h := replica{address: address, standIn: i >= replicaCount}
		if now.Before(c.unresponsiveUntil[address]) {
			unresponsive = append(unresponsive, h)
			continue
		}
		delete(c.unresponsiveUntil, address)
		responsive = append(responsive, h)
	}
	return slices.Concat(responsive, unresponsive)
}

func (c *Client) noteUnresponsive(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsiveUntil[address] = time.Now().Add(unresponsiveTime)
}

// poll is one asking of homes.
type poll struct {
	client   *Client
	request  Request
	reserved time.Duration
	replicas []replica
	asked    int
	quorum   int
	votes    chan vote
	grants   []string
	denials  int
	// delay is the longest that a grant must retryAfter, retryAfter the shortest after which a refused request may come back.
	delay, retryAfter time.Duration
}

// vote is a home's answer.
type vote struct {
	address string
	reply   *TakeReply
	err     error
}

func (c *Client) newPoll(r Request) *poll {
	replicas := c.replicas(r.Organisation)
	return &poll{client: c, request: r, reserved: c.reservedFor(r.Organisation), replicas: replicas, quorum: min(replicaCount, len(replicas))/2 + 1, votes: make(chan vote, len(replicas))}
}

// run asks until enough homes have granted the request, or refused it.
func (p *poll) run(ctx context.Context) (*Grant, error) {
	for range min(replicaCount, len(p.replicas)) {
		p.askNext(ctx)
	}
	ticks := time.NewTicker(standInDelay)
	defer ticks.Stop()
	for answered := 0; answered < p.asked; {
		select {
		case <-ticks.C:
			p.askNext(ctx)
		case v := <-p.votes:
			answered++
			p.tally(ctx, v)
		case <-ctx.Done():
			return nil, p.abort()
		}
		switch {
		case len(p.grants) >= p.quorum:
			return &Grant{Wait: p.delay, client: p.client, organisation: p.request.Organisation, replicas: p.grants}, nil
		case p.denials >= p.quorum:
			p.returnGrants()
			p.client.deny(p.request, p.retryAfter)
			return nil, &OverLimitError{Wait: p.retryAfter}
		}
	}
	return nil, p.abort()
}

// askNext asks one more home, if there is one.
func (p *poll) askNext(ctx context.Context) {
	if p.asked == len(p.replicas) {
		return
	}
	h := p.replicas[p.asked]
	p.asked++
	args := &TakeArgs{Organisation: p.request.Organisation, Limit: p.request.Limit, Version: p.request.Version,
		First: p.request.First, StandIn: h.standIn, Held: p.reserved}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), takeTimeout)
	go func() {
		defer cancel()
		v := vote{address: h.address}
		v.reply, v.err = peerlink.Call[TakeReply](ctx, p.client.links.LinkTo(h.address), ServiceName+".Take", args)
		if v.err != nil {
			p.client.noteUnresponsive(h.address)
		}
		p.votes <- v
	}()
}

// tally takes one answer in.
func (p *poll) tally(ctx context.Context, v vote) {
	switch {
	case v.err != nil:
		p.askNext(ctx)
	case v.reply.Granted:
		p.grants = append(p.grants, v.address)
		p.delay = max(p.delay, v.reply.Wait)
	default:
		p.denials++
		if p.denials == 1 || v.reply.Wait < p.retryAfter {
			p.retryAfter = v.reply.Wait
		}
	}
}

func (p *poll) abort() error {
	p.returnGrants()
	return ErrUnavailable
}

func (p *poll) returnGrants() {
	(&Grant{client: p.client, organisation: p.request.Organisation, replicas: p.grants}).Return()
}

// Return gives the grant of a request back that has not run and never will.
func (g *Grant) Return() {
	if g == nil {
		return
	}
	for _, address := range g.replicas {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
			defer cancel()
			// Where it gets lost the organisation has one request less for a moment.
			_, _ = peerlink.Call[ReturnReply](ctx, g.client.links.LinkTo(address), ServiceName+".Return", &ReturnArgs{g.organisation})
		}()
	}
}
