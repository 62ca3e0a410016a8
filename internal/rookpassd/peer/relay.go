package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Outcomes of a relayed request as encoded in RelayReply.
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

// execute sends the request in args to api and stores the result in reply.
func execute(ctx context.Context, api objectapi.API, args RelayArgs, reply *RelayReply) {
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

// directRetryDelay is how long requests go through peers after the object API did not answer directly.
const directRetryDelay = 3 * time.Second

// RelayAddresses returns the peer addresses that relay requests, in the order in which they are tried.
type RelayAddresses func() []string

// FallbackAPI is an objectapi.API that sends requests through peers while the object API does not answer this daemon,
// so that a daemon without a direct connection can still write its log and renew its lease.
type FallbackAPI struct {
	direct         objectapi.API
	client         *Client
	relayAddresses RelayAddresses
	// directRetryAt is when direct requests are tried again, in Unix nanoseconds.
	directRetryAt   atomic.Int64
	relayedRequests atomic.Int64
}

// NewFallbackAPI returns a FallbackAPI that tries direct first.
func NewFallbackAPI(direct objectapi.API, client *Client, helpers RelayAddresses) *FallbackAPI {
	return &FallbackAPI{direct: direct, client: client, relayAddresses: helpers}
}

// Direct returns the API that does not use peers.
func (r *FallbackAPI) Direct() objectapi.API { return r.direct }

// RelayedRequests returns how many requests peers have relayed.
func (r *FallbackAPI) RelayedRequests() int64 { return r.relayedRequests.Load() }

// unanswered reports whether an error means that the object API did not answer.
func unanswered(err error) bool {
	return errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrUnknownOutcome) ||
		errors.Is(err, context.DeadlineExceeded)
}

// do sends a request directly, then through peers. After an attempt with an unknown outcome, a conflict may be caused
// by that attempt itself, so the outcome stays unknown.
func (r *FallbackAPI) do(ctx context.Context, args RelayArgs) (RelayReply, error) {
	var first error
	if time.Now().UnixNano() >= r.directRetryAt.Load() {
		var reply RelayReply
		execute(ctx, r.direct, args, &reply)
		err := outcomes[reply.Outcome]
		if !unanswered(err) || ctx.Err() != nil {
			return reply, err
		}
		r.directRetryAt.Store(time.Now().Add(directRetryDelay).UnixNano())
		first = err
	}
	for _, address := range r.relayAddresses() {
		reply, err := r.client.Relay(ctx, address, args)
		if err != nil {
			first = objectapi.ErrUnknownOutcome // The peer may have executed the request.
			continue
		}
		r.relayedRequests.Add(1)
		err = outcomes[reply.Outcome]
		if errors.Is(err, objectapi.ErrConflict) && errors.Is(first, objectapi.ErrUnknownOutcome) {
			return reply, objectapi.ErrUnknownOutcome
		}
		if !unanswered(err) {
			return reply, err
		}
		first = err
	}
	// No peer reaches the object API, so the next request is sent directly again.
	r.directRetryAt.Store(0)
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
