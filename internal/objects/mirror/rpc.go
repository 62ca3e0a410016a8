package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Mirror"

// answerMargin is how much longer than its wait an answer may take; a busy VM with a fifth of a core needs
// some tens of milliseconds.
const answerMargin = 500 * time.Millisecond

// listTimeout bounds a list: a hundred packed kilobytes over the slowest VM's link, 30 Mbit/s, that others use too.
const listTimeout = time.Second

// outcome is how a call ended; net/rpc carries no typed errors.
type outcome uint8

const (
	outcomeOK outcome = iota + 1
	outcomeGone
	outcomeUnavailable
	outcomeNothingKnown
)

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeOK
	case errors.Is(err, objectapi.ErrGone):
		return outcomeGone
	case errors.Is(err, objectapi.ErrNotSynced):
		return outcomeNothingKnown
	default:
		return outcomeUnavailable
	}
}

func (o outcome) err() error {
	switch o {
	case outcomeOK:
		return nil
	case outcomeGone:
		return objectapi.ErrGone
	case outcomeNothingKnown:
		return objectapi.ErrNotSynced
	default:
		return objectapi.ErrUnavailable
	}
}

// ListArgs ask for a mirror's copy.
type ListArgs struct{ Prefix string }

// ListReply holds the copy, packed. Where the outcome is that nothing certain is known, it is an old one, or empty.
type ListReply struct {
	Outcome outcome
	Packed  []byte
	// Ages are those of the copy; they mean nothing where it is an old one.
	Ages Ages
}

// WaitArgs ask for the changes after a version.
type WaitArgs struct {
	Prefix string
	After  uint64
	Wait   time.Duration
}

// WaitReply holds the changes.
type WaitReply struct {
	Outcome outcome
	Batch   objectapi.Batch
	// Certain is the age of what is certain when the answer was made; negative where that is not known. Held is how long
	// the call was kept waiting until then.
	Certain, Held time.Duration
}

// Service answers daemons from mirrors. Its exported methods are net/rpc methods.
type Service struct{ mirrors map[string]*Mirror }

// NewService returns the service of some mirrors.
func NewService(mirrors ...*Mirror) *Service {
	s := &Service{mirrors: map[string]*Mirror{}}
	for _, m := range mirrors {
		s.mirrors[m.prefix] = m
	}
	return s
}

// List answers with a mirror's copy.
func (s *Service) List(args *ListArgs, reply *ListReply) error {
	m := s.mirrors[args.Prefix]
	if m == nil {
		reply.Outcome = outcomeUnavailable
		return nil
	}
	var err error
	reply.Ages, err = m.Ages()
	reply.Outcome = outcomeOf(err)
	reply.Packed, err = m.EncodedSnapshot()
	return err
}

// Wait answers with the changes after a version.
func (s *Service) Wait(args *WaitArgs, reply *WaitReply) error {
	m := s.mirrors[args.Prefix]
	if m == nil {
		reply.Outcome = outcomeUnavailable
		return nil
	}
	var err error
	came := time.Now()
	reply.Batch, err = m.Wait(context.Background(), args.After, args.Wait)
	reply.Outcome = outcomeOf(err)
	reply.Held, reply.Certain = time.Since(came), ageOf(reply.Batch.Certain)
	reply.Batch.Certain = time.Time{} // it means nothing on another VM's clock
	return nil
}

// Client reads a mirror of another daemon. It implements the reading half of objectapi.API.
type Client struct{ link *peerlink.Link }

// NewClient returns a client over a link.
func NewClient(link *peerlink.Link) *Client { return &Client{link: link} }

// List returns the copy of a prefix.
func (c *Client) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	sent := time.Now()
	reply, err := c.list(ctx, prefix, listTimeout)
	if err == nil {
		err = reply.Outcome.err()
	}
	if err != nil {
		return objectapi.Snapshot{}, err
	}
	snapshot, err := DecodeSnapshot(reply.Packed)
	snapshot.Age, snapshot.SinceOutage = reply.Ages.Age, reply.Ages.SinceOutage
	snapshot.Certain = certainAt(sent, reply.Ages.Certain)
	return snapshot, err
}

// certainAt returns the time on this VM's clock that was age before the making of an answer, which was made after sent at
// the earliest: nothing is known of the ways there and back. It is zero where the age is not known.
func certainAt(sent time.Time, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return sent.Add(-age)
}

// LastKnown returns the copy of a prefix though it may be an old one; ErrUnavailable means that there is none.
func (c *Client) LastKnown(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	reply, err := c.list(ctx, prefix, answerMargin) // one mirror after the other is asked: a dark one must not hold up for long
	if err == nil && len(reply.Packed) == 0 {
		err = objectapi.ErrUnavailable
	}
	if err != nil {
		return objectapi.Snapshot{}, err
	}
	return DecodeSnapshot(reply.Packed)
}

func (c *Client) list(ctx context.Context, prefix string, timeout time.Duration) (*ListReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := peerlink.Call[ListReply](ctx, c.link, ServiceName+".List", &ListArgs{Prefix: prefix})
	if err != nil {
		return nil, errors.Join(objectapi.ErrUnavailable, err)
	}
	return reply, nil
}

// Wait returns the changes of a prefix after a version.
func (c *Client) Wait(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	args := &WaitArgs{Prefix: prefix, After: after, Wait: wait}
	sent := time.Now()
	reply, err := peerlink.Call[WaitReply](ctx, c.link, ServiceName+".Wait", args)
	if err != nil {
		return objectapi.Batch{}, errors.Join(objectapi.ErrUnavailable, err)
	}
	reply.Batch.Certain = certainAt(sent.Add(reply.Held), reply.Certain)
	return reply.Batch, reply.Outcome.err()
}
