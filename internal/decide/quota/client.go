package quota

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// ErrUnavailable means that too few replicas answered to grant or refuse a request.
var ErrUnavailable = errors.New("too few quota replicas answered")

const (
	// replicaCount is how many daemons count an organisation's requests. Three tolerate the loss of one without a
	// stand-in, and cost three calls per request.
	replicaCount = 3
	// standInDelay is how long replicas may take to answer before a stand-in is asked: ten round trips to another
	// data centre.
	standInDelay = 30 * time.Millisecond
	// takeTimeout bounds Take: the caller's retry may reach a front daemon that is connected to more replicas.
	takeTimeout = 400 * time.Millisecond
	// unresponsiveTime is how long a replica that did not answer is asked last.
	unresponsiveTime = time.Second
	// returnTimeout bounds the return of a grant; a lost return costs the organisation one request.
	returnTimeout = time.Second
	// maxDenialTime bounds how long a refusal is reused without asking the replicas, so that an organisation far over
	// its limit does not flood them: each front daemon asks ten times a second.
	maxDenialTime = 100 * time.Millisecond
)

// Request is one request of an organisation.
type Request struct {
	Organisation string
	Limit        Limit
	// Version is the version of the configuration that set Limit.
	Version int64
	// First is set for the first request of a program.
	First bool
}

// OverLimitError means that an organisation has reached its limit.
type OverLimitError struct {
	// Wait is the time until there is room.
	Wait time.Duration
}

func (e *OverLimitError) Error() string { return "request limit reached; room in " + e.Wait.String() }

// Client asks replicas for grants. Use NewClient.
type Client struct {
	links *peerlink.Pool
	// candidates returns the addresses of an organisation's replicas, followed by those of possible stand-ins.
	candidates func(organisation string) []string

	mu sync.Mutex
	// unresponsiveUntil holds the addresses that did not answer, and until when they are asked last.
	unresponsiveUntil map[string]time.Time
	// denials holds recent refusals.
	denials map[denialKey]denial
	// reservedUntil holds the time up to which requests of an organisation have been granted for later.
	reservedUntil map[string]time.Time
}

// denialKey identifies requests that are refused together.
type denialKey struct {
	organisation string
	first        bool
}

// denial is a refusal that is reused until a time; there is room at retryAt.
type denial struct{ until, retryAt time.Time }

// NewClient returns a client that uses links to call the replicas that candidates returns.
func NewClient(links *peerlink.Pool, candidates func(organisation string) []string) *Client {
	return &Client{links: links, candidates: candidates, unresponsiveUntil: map[string]time.Time{}, denials: map[denialKey]denial{}, reservedUntil: map[string]time.Time{}}
}

// Grant is the right to run one request.
type Grant struct {
	// Wait is how long the request must wait before it may be sent to a server.
	Wait time.Duration

	client       *Client
	organisation string
	replicas     []string
}

// Take returns a grant, or an *OverLimitError, or ErrUnavailable.
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

// deniedFor returns the time until there is room for a request that is refused without asking; 0 if replicas must be
// asked.
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

// replica is a daemon to ask; standIn is set if it is asked in place of another.
type replica struct {
	address string
	standIn bool
}

// replicas returns the daemons to ask, in order; those that recently did not answer come last.
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

// poll is one round of asking replicas.
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
	// delay is the longest delay of a grant, retryAfter the shortest wait of a refusal.
	delay, retryAfter time.Duration
}

// vote is a replica's answer.
type vote struct {
	address string
	reply   *TakeReply
	err     error
}

func (c *Client) newPoll(r Request) *poll {
	replicas := c.replicas(r.Organisation)
	return &poll{client: c, request: r, reserved: c.reservedFor(r.Organisation), replicas: replicas, quorum: min(replicaCount, len(replicas))/2 + 1, votes: make(chan vote, len(replicas))}
}

// run asks replicas until a quorum has granted or refused the request.
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

// askNext asks the next replica, if there is one.
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

// tally counts one answer; where the call failed, the next replica is asked.
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

// Return gives back the grant of a request that will not run. It does not wait for the replicas.
func (g *Grant) Return() {
	if g == nil {
		return
	}
	for _, address := range g.replicas {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
			defer cancel()
			// A lost return costs the organisation one request until it has accrued again.
			_, _ = peerlink.Call[ReturnReply](ctx, g.client.links.LinkTo(address), ServiceName+".Return", &ReturnArgs{g.organisation})
		}()
	}
}
