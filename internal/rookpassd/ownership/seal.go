package ownership

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// sealDead seals the logs of dead daemons. Daemons whose own probes failed, and the preferred candidate, seal at once;
// the others wait for backupSealDelay first.
func (c *Controller) sealDead(ctx context.Context, view *cluster.View) {
	candidates := view.Candidates(c.Tracker.Alive)
	for incarnation, daemon := range view.Daemons {
		if daemon.Sealed || incarnation == c.Incarnation {
			continue
		}
		if c.Tracker.Alive(incarnation) {
			delete(c.deadSince, incarnation)
			continue
		}
		since, seen := c.deadSince[incarnation]
		if !seen {
			since = time.Now()
			c.deadSince[incarnation] = since
		}
		first := c.Tracker.Suspected(incarnation) || cluster.Preferred(uint32(xxhash.Sum64String(incarnation)), candidates) == c.Incarnation
		if !first && time.Since(since) < backupSealDelay {
			continue
		}
		if err := c.seal(ctx, view, daemon); err != nil && ctx.Err() == nil {
			c.Log.WithFields(logrus.Fields{"event": "log.seal_failed", "incarnation": incarnation, "error": err}).Warn()
		}
	}
}

// seal seals a dead daemon's log and marks its lease as sealed. Other daemons may claim its partitions once the lease
// is marked.
func (c *Controller) seal(ctx context.Context, view *cluster.View, daemon cluster.VersionedDaemon) error {
	after := min(daemon.LogPosition, firstNeeded(view, daemon.Incarnation)-1)
	seal := journal.Seal
	if !guard.Enabled(guard.Seal) {
		seal = journal.ReadUnsealed
	}
	segments, err := seal(ctx, c.API, daemon.Incarnation, after, c.Incarnation, "daemon does not answer")
	if err != nil {
		return err
	}
	c.logs.put(daemon.Incarnation, after+1, segments)
	marked := proto.CloneOf(daemon.Daemon)
	marked.Sealed = true
	marked.LastSegment = after + uint64(len(segments))
	marked.SealedAtUnixMs = time.Now().UnixMilli()
	c.stats.Seals.Add(1)
	c.Log.WithFields(logrus.Fields{
		"event": "log.sealed", "incarnation": daemon.Incarnation, "last_segment": marked.LastSegment,
	}).Info()
	return c.markSealed(ctx, marked, daemon.Version)
}

// markSealed marks a lease as sealed. The log is sealed already, so a concurrent renewal of the lease is overwritten.
func (c *Controller) markSealed(ctx context.Context, marked *peerv1.Daemon, version uint64) error {
	value, err := proto.Marshal(marked)
	if err != nil {
		return err
	}
	key := keyspace.Daemon(marked.Incarnation)
	for {
		if err := c.Limiter.Wait(ctx); err != nil {
			return err
		}
		_, err := c.API.Put(ctx, key, value, version)
		if err == nil || errors.Is(err, objectapi.ErrUnknownOutcome) {
			return nil // If the write had no effect, the next pass finds the lease unmarked and seals again.
		}
		if !errors.Is(err, objectapi.ErrConflict) {
			return err
		}
		object, err := c.API.Get(ctx, key)
		if err != nil {
			return err
		}
		stored := &peerv1.Daemon{}
		if proto.Unmarshal(object.Value, stored) == nil && stored.Sealed {
			return nil
		}
		version = object.Version
	}
}

// firstNeeded returns the first segment of a log that any partition refers to, or math.MaxUint64 if there is none.
func firstNeeded(view *cluster.View, incarnation string) uint64 {
	first := uint64(math.MaxUint64)
	for _, partition := range view.Partitions {
		for _, log := range partition.GetLogs() {
			if log.Incarnation == incarnation {
				first = min(first, log.From)
			}
		}
	}
	return first
}

// maxCachedLogs is the maximum number of logs in a logCache.
const maxCachedLogs = 4

// logCache caches log segments in memory, since a takeover reads a log once for each partition.
type logCache struct {
	api objectapi.API

	mu   sync.Mutex
	logs map[string]cachedLog
	// order holds the cached incarnations, oldest first.
	order []string
}

type cachedLog struct {
	from     uint64
	segments []*peerv1.Segment
}

func newLogCache(api objectapi.API) *logCache {
	return &logCache{api: api, logs: map[string]cachedLog{}}
}

func (c *logCache) put(incarnation string, from uint64, segments []*peerv1.Segment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.logs[incarnation]; !known {
		c.order = append(c.order, incarnation)
	}
	c.logs[incarnation] = cachedLog{from, segments}
	if len(c.order) > maxCachedLogs {
		delete(c.logs, c.order[0])
		c.order = slices.Delete(c.order, 0, 1)
	}
}

// read returns the segments in the inclusive range [from, to] of a log, from the cache or the object API.
func (c *logCache) read(ctx context.Context, incarnation string, from, to uint64) ([]*peerv1.Segment, error) {
	if to < from {
		return nil, nil
	}
	c.mu.Lock()
	cached, found := c.logs[incarnation]
	c.mu.Unlock()
	if found && cached.from <= from && to < cached.from+uint64(len(cached.segments)) {
		return cached.segments[from-cached.from : to-cached.from+1], nil
	}
	segments, err := journal.Read(ctx, c.api, incarnation, from, to)
	if err == nil {
		c.put(incarnation, from, segments)
	}
	return segments, err
}
