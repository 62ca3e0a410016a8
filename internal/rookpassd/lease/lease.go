// Package lease keeps a daemon's lease object in the object API: the sign that the daemon lives, and where
// its peers find it.
//
// No promise rests on the lease. A daemon whose lease has lapsed may still work; what it can make durable
// ends when another daemon seals its log. The seal is also marked on the lease object, which tells the
// daemon that its incarnation is over.
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

// ErrSealed means that another daemon ended this incarnation.
var ErrSealed = errors.New("incarnation sealed by another daemon")

// renewalsPerTTL is how often a lease is renewed in its time to live, so that two lost renewals are
// survived.
const renewalsPerTTL = 3

// retryPause is the pause after a renewal that failed.
const retryPause = 200 * time.Millisecond

// Keeper creates and renews one lease. Use New, then Run.
type Keeper struct {
	api      objectapi.API
	limiter  *rate.Limiter
	position func() uint64

	mu      sync.Mutex
	daemon  *peerv1.Daemon
	version uint64
	// published is the position in the last renewal that certainly took effect.
	published uint64
	changed   chan struct{}
	created   chan struct{}
}

// New returns a keeper of the given lease. Daemon holds what peers need to know; position returns the last
// segment of the daemon's log, which each renewal publishes.
func New(api objectapi.API, limiter *rate.Limiter, daemon *peerv1.Daemon, position func() uint64) *Keeper {
	return &Keeper{
		api: api, limiter: limiter, position: position, daemon: proto.CloneOf(daemon),
		changed: make(chan struct{}, 1), created: make(chan struct{}),
	}
}

// Created is closed once the lease object exists.
func (k *Keeper) Created() <-chan struct{} { return k.created }

// Published returns the last segment of the log as the lease object shows it. Who seals a log of which no
// partition needs anything begins there, so older segments may go.
func (k *Keeper) Published() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.published
}

// SetDraining tells peers that this daemon will stop: it is offered no partitions any more.
func (k *Keeper) SetDraining() {
	k.mu.Lock()
	k.daemon.Draining = true
	k.mu.Unlock()
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Run keeps the lease until ctx ends, or returns ErrSealed.
func (k *Keeper) Run(ctx context.Context) error {
	interval := time.Duration(k.daemon.TtlMs) * time.Millisecond / renewalsPerTTL
	for {
		pause := interval
		err := k.renew(ctx)
		switch {
		case errors.Is(err, ErrSealed):
			return err
		case err != nil:
			pause = retryPause
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

// renew writes the lease once. After a conflict or an unknown outcome it reads what stands.
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
		k.renewed(object.Version, daemon.LogPosition)
		return nil
	}
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrUnknownOutcome) {
		return k.reread(ctx)
	}
	return err
}

func (k *Keeper) renewed(version, position uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == 0 {
		close(k.created)
	}
	k.version, k.published = version, position
}

// reread learns the lease's version. An object marked as sealed ends the incarnation.
func (k *Keeper) reread(ctx context.Context) error {
	object, err := k.api.Get(ctx, keyspace.Daemon(k.daemon.Incarnation))
	if errors.Is(err, objectapi.ErrNotFound) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.version != 0 {
			return ErrSealed // Only the clean-up of a sealed log removes a lease.
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
	k.renewed(object.Version, stored.LogPosition)
	return nil
}
