package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Outcomes of a relayed request, as they travel.
const (
	outcomeNotFound    = "not found"
	outcomeConflict    = "conflict"
	outcomeUnavailable = "unavailable"
	outcomeUnknown     = "unknown"
	outcomeGone        = "gone"
	outcomeTooLarge    = "too large"
)

var outcomes = map[string]error{
	outcomeNotFound:    objectapi.ErrNotFound,
	outcomeConflict:    objectapi.ErrConflict,
	outcomeUnavailable: objectapi.ErrUnavailable,
	outcomeUnknown:     objectapi.ErrUnknownOutcome,
	outcomeGone:        objectapi.ErrGone,
	outcomeTooLarge:    objectapi.ErrTooLarge,
}

func outcomeOf(err error) string {
	if err == nil {
		return ""
	}
	for name, known := range outcomes {
		if errors.Is(err, known) {
			return name
		}
	}
	return outcomeUnknown
}

// carryOut runs a relayed request.
func carryOut(ctx context.Context, api objectapi.API, args RelayArgs, reply *RelayReply) {
	var err error
	switch args.Operation {
	case OperationGet:
		reply.Object, err = api.Get(ctx, args.Key)
	case OperationList:
		reply.Snapshot, err = api.List(ctx, args.Key)
	case OperationPut:
		reply.Object, err = api.Put(ctx, args.Key, args.Value, args.Version)
	case OperationDelete:
		reply.Version, err = api.Delete(ctx, args.Key, args.Version)
	case OperationWait:
		reply.Batch, err = api.Wait(ctx, args.Prefixes, args.Version, args.Wait)
	default:
		err = objectapi.ErrUnavailable
	}
	reply.Outcome = outcomeOf(err)
}

// directPause is how long requests go through peers after the object API did not answer directly.
const directPause = 3 * time.Second

// RelayAddresses returns the addresses of peers that may reach the object API, likeliest first.
type RelayAddresses func() []string

// FallbackAPI is an objectapi.API that asks peers when the object API does not answer this daemon, so that a
// daemon which is cut off from it alone keeps its log and its lease.
type FallbackAPI struct {
	direct  objectapi.API
	client  *Client
	helpers RelayAddresses
	// brokenUntil is when direct requests are tried again, in Unix nanoseconds.
	brokenUntil atomic.Int64
	relayed     atomic.Int64
}

// NewFallbackAPI returns an API over a direct one.
func NewFallbackAPI(direct objectapi.API, client *Client, helpers RelayAddresses) *FallbackAPI {
	return &FallbackAPI{direct: direct, client: client, helpers: helpers}
}

// Direct returns the API without peers.
func (r *FallbackAPI) Direct() objectapi.API { return r.direct }

// RelayedRequests returns how many requests went through peers.
func (r *FallbackAPI) RelayedRequests() int64 { return r.relayed.Load() }

// lost tells whether an error says that the API itself did not answer.
func lost(err error) bool {
	return errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrUnknownOutcome) ||
		errors.Is(err, context.DeadlineExceeded)
}

// do tries the direct way, then peers. Once a write's outcome is unknown, a later "conflict" may be the
// write itself, so the outcome stays unknown.
func (r *FallbackAPI) do(ctx context.Context, args RelayArgs) (RelayReply, error) {
	var first error
	if time.Now().UnixNano() >= r.brokenUntil.Load() {
		var reply RelayReply
		carryOut(ctx, r.direct, args, &reply)
		err := outcomes[reply.Outcome]
		if !lost(err) || ctx.Err() != nil {
			return reply, err
		}
		r.brokenUntil.Store(time.Now().Add(directPause).UnixNano())
		first = err
	}
	for _, address := range r.helpers() {
		reply, err := r.client.Relay(ctx, address, args)
		if err != nil {
			first = objectapi.ErrUnknownOutcome // The peer may have carried it out.
			continue
		}
		r.relayed.Add(1)
		err = outcomes[reply.Outcome]
		if errors.Is(err, objectapi.ErrConflict) && errors.Is(first, objectapi.ErrUnknownOutcome) {
			return reply, objectapi.ErrUnknownOutcome
		}
		if !lost(err) {
			return reply, err
		}
		first = err
	}
	// Nobody reaches the API: the next request tries the direct way again.
	r.brokenUntil.Store(0)
	if first == nil {
		first = objectapi.ErrUnavailable
	}
	return RelayReply{}, first
}

// Get implements objectapi.API.
func (r *FallbackAPI) Get(ctx context.Context, key string) (objectapi.Object, error) {
	reply, err := r.do(ctx, RelayArgs{Operation: OperationGet, Key: key})
	return reply.Object, err
}

// List implements objectapi.API.
func (r *FallbackAPI) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	reply, err := r.do(ctx, RelayArgs{Operation: OperationList, Key: prefix})
	return reply.Snapshot, err
}

// Put implements objectapi.API.
func (r *FallbackAPI) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectapi.Object, error) {
	reply, err := r.do(ctx, RelayArgs{Operation: OperationPut, Key: key, Value: value, Version: ifVersion})
	return reply.Object, err
}

// Delete implements objectapi.API.
func (r *FallbackAPI) Delete(ctx context.Context, key string, ifVersion uint64) (uint64, error) {
	reply, err := r.do(ctx, RelayArgs{Operation: OperationDelete, Key: key, Version: ifVersion})
	return reply.Version, err
}

// Wait implements objectapi.API.
func (r *FallbackAPI) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	reply, err := r.do(ctx, RelayArgs{Operation: OperationWait, Prefixes: prefixes, Version: after, Wait: wait})
	return reply.Batch, err
}
