// Package lease maintains a daemon's lease object in the object API. The lease shows that the daemon is alive and
// holds the addresses at which its peers reach it.
//
// The lease provides no exclusion: a daemon whose lease has expired may still append to its log until another daemon
// seals the log. The seal is also marked on the lease object, which tells the daemon that its incarnation has ended.
package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// ErrSealed means that another daemon sealed this incarnation's log.
var ErrSealed = errors.New("incarnation sealed by another daemon")

// renewalsPerTTL is how often a lease is renewed within its time to live, so that it survives two failed renewals.
const renewalsPerTTL = 3

// retryDelay is the time from a failed renewal to the next attempt.
const retryDelay = 200 * time.Millisecond

// Keeper creates and renews a lease. Use New, then Run.
type Keeper struct {
	api      objectapi.API
	limiter  *rate.Limiter
	position func() uint64

	mu      sync.Mutex
	daemon  *peerv1.Daemon
	version uint64
	// published is the log position in the last renewal known to have taken effect.
	published uint64
	changed   chan struct{}
	created   chan struct{}
}

// New returns a Keeper. daemon is the initial content of the lease; position returns the last segment of the daemon's
// log, which each renewal publishes.
func New(api objectapi.API, limiter *rate.Limiter, daemon *peerv1.Daemon, position func() uint64) *Keeper {
	return &Keeper{
		api: api, limiter: limiter, position: position, daemon: proto.CloneOf(daemon),
		changed: make(chan struct{}, 1), created: make(chan struct{}),
	}
}

// Created returns a channel that is closed once the lease object exists.
func (k *Keeper) Created() <-chan struct{} { return k.created }

// Published returns the last segment of the log recorded in the lease object. A daemon that seals the log starts
// there if no partition needs older segments, so those may be removed.
func (k *Keeper) Published() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.published
}

// SetDraining marks the lease as draining and renews it at once, so that peers assign no partitions to this daemon.
func (k *Keeper) SetDraining() {
	k.mu.Lock()
	k.daemon.Draining = true
	k.mu.Unlock()
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Run creates the lease and renews it until ctx ends. It returns ErrSealed if the lease was marked sealed or removed.
func (k *Keeper) Run(ctx context.Context) error {
	interval := time.Duration(k.daemon.TtlMs) * time.Millisecond / renewalsPerTTL
	for {
		pause := interval
		err := k.renew(ctx)
		switch {
		case errors.Is(err, ErrSealed):
			return err
		case err != nil:
			pause = retryDelay
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-k.changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// renew writes the lease once. After a conflict or an unknown outcome it reads the stored lease.
func (k *Keeper) renew(ctx context.Context) error {
	if err := k.limiter.Wait(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	k.daemon.Renewals++
	k.daemon.LogPosition = k.position()
	daemon, version := proto.CloneOf(k.daemon), k.version
	k.mu.Unlock()
	value, err := proto.Marshal(daemon)
	if err != nil {
		return err
	}
	object, err := k.api.Put(ctx, keyspace.Daemon(daemon.Incarnation), value, version)
	if err == nil {
		k.recordRenewal(object.Version, daemon.LogPosition)
		return nil
	}
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrUnknownOutcome) {
		return k.readLease(ctx)
	}
	return err
}

func (k *Keeper) recordRenewal(version, position uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == 0 {
		close(k.created)
	}
	k.version, k.published = version, position
}

// readLease reads the stored lease and its version. It returns ErrSealed if the lease is marked sealed or was removed.
func (k *Keeper) readLease(ctx context.Context) error {
	object, err := k.api.Get(ctx, keyspace.Daemon(k.daemon.Incarnation))
	if errors.Is(err, objectapi.ErrNotFound) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.version != 0 {
			return ErrSealed // A lease is removed only after its log was sealed.
		}
		return err
	}
	if err != nil {
		return err
	}
	stored := &peerv1.Daemon{}
	if err := proto.Unmarshal(object.Value, stored); err != nil {
		return err
	}
	if stored.Sealed {
		return ErrSealed
	}
	k.recordRenewal(object.Version, stored.LogPosition)
	return nil
}
