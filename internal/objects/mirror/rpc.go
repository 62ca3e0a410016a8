package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Mirror"

// responseMargin is added to the wait of a call for its total timeout. It allows for the delays of a busy VM: some tens
// of milliseconds with a fifth of a core.
const responseMargin = 500 * time.Millisecond

// listTimeout limits a list. It allows for some 100 kB over a shared link of 30 Mbit/s.
const listTimeout = time.Second

// outcome is the result of a call. net/rpc carries errors as text only.
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

// ListArgs are the arguments of Service.List.
type ListArgs struct{ Prefix string }

// ListReply holds the encoded snapshot. If Outcome is an error the snapshot is stale, or empty if there is none.
type ListReply struct {
	Outcome outcome
	Packed  []byte
	// Ages are valid only if Outcome is no error.
	Ages Ages
}

// WaitArgs are the arguments of Service.Wait: the changes after a version are requested.
type WaitArgs struct {
	Prefix string
	After  uint64
	Wait   time.Duration
}

// WaitReply holds the changes.
type WaitReply struct {
	Outcome outcome
	Batch   objectapi.Batch
	// Certain is the age of the watermark when the reply was made; negative if unknown. Held is the time from the arrival
	// of the call to the reply.
	Certain, Held time.Duration
}

// Service serves mirrors to other daemons. Its exported methods are net/rpc methods.
type Service struct{ mirrors map[string]*Mirror }

// NewService returns a service of the given mirrors.
func NewService(mirrors ...*Mirror) *Service {
	s := &Service{mirrors: map[string]*Mirror{}}
	for _, m := range mirrors {
		s.mirrors[m.prefix] = m
	}
	return s
}

// List returns a mirror's snapshot.
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

// Wait returns the changes after a version.
func (s *Service) Wait(args *WaitArgs, reply *WaitReply) error {
	m := s.mirrors[args.Prefix]
	if m == nil {
		reply.Outcome = outcomeUnavailable
		return nil
	}
	var err error
	received := time.Now()
	reply.Batch, err = m.Wait(context.Background(), args.After, args.Wait)
	reply.Outcome = outcomeOf(err)
	reply.Held, reply.Certain = time.Since(received), ageOf(reply.Batch.Certain)
	reply.Batch.Certain = time.Time{} // a monotonic time is meaningless to another process
	return nil
}

// Client reads the mirrors of another daemon. It implements feed.Mirror.
type Client struct{ link *peerlink.Link }

// NewClient returns a client over a link.
func NewClient(link *peerlink.Link) *Client { return &Client{link: link} }

// List returns the copy of a prefix, or an error if the mirror is not current.
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
	snapshot.Certain = watermarkAt(sent, reply.Ages.Certain)
	return snapshot, err
}

// watermarkAt converts the age of a watermark in a reply to a time of this process; zero if the age is unknown. The
// reply was made after sent, so subtracting from sent never overstates the watermark.
func watermarkAt(sent time.Time, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return sent.Add(-age)
}

// LastKnown returns the copy of a prefix, which may be stale. ErrUnavailable means that there is none.
func (c *Client) LastKnown(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	reply, err := c.list(ctx, prefix, responseMargin) // short, since mirrors are tried one after another
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
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	args := &WaitArgs{Prefix: prefix, After: after, Wait: wait}
	sent := time.Now()
	reply, err := peerlink.Call[WaitReply](ctx, c.link, ServiceName+".Wait", args)
	if err != nil {
		return objectapi.Batch{}, errors.Join(objectapi.ErrUnavailable, err)
	}
	reply.Batch.Certain = watermarkAt(sent.Add(reply.Held), reply.Certain)
	return reply.Batch, reply.Outcome.err()
}
