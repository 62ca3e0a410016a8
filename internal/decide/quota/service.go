package quota

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Quota"

// sweepInterval is the time between two sweeps of idle buckets.
const sweepInterval = 30 * time.Second

// TakeArgs ask for the grant of one request.
type TakeArgs struct {
	Organisation string
	// Limit is the limit in the configuration of Version.
	Limit   Limit
	Version int64
	// First is set for the first request of a program.
	First bool
	// StandIn is set if the daemon is asked in place of a replica that does not answer, so that it has no history.
	StandIn bool
	// Held is for how long from now requests have been granted for later, as far as the caller knows; 0 if none were.
	Held time.Duration
}

// ReturnArgs give back the grant of a request that did not run.
type ReturnArgs struct{ Organisation string }

// ReturnReply is empty.
type ReturnReply struct{}

// Service is a replica: it counts the requests of organisations. Take and Return are net/rpc methods.
type Service struct {
	tolerance Tolerance
	started   time.Time

	mu      sync.Mutex
	buckets map[string]*Bucket
	sweptAt time.Time
}

// NewService returns a service that has counted nothing.
func NewService(t Tolerance) *Service {
	now := time.Now()
	return &Service{tolerance: t, started: now, sweptAt: now, buckets: map[string]*Bucket{}}
}

// Take grants or refuses one request.
func (s *Service) Take(args *TakeArgs, reply *TakeReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sweep(now)
	b := s.buckets[args.Organisation]
	if b == nil {
		since := s.started
		if args.StandIn {
			since = now
		}
		b = NewBucket(s.tolerance, args.Limit, args.Version, since, now)
		s.buckets[args.Organisation] = b
	}
	if args.StandIn {
		b.StandIn(now)
	}
	b.SetLimit(args.Limit, args.Version, now)
	if args.Held > 0 {
		b.NoteReserved(args.Held, now)
	}
	*reply = b.Take(args.First, now)
	return nil
}

// Return takes back the grant of a request that did not run.
func (s *Service) Return(args *ReturnArgs, _ *ReturnReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.buckets[args.Organisation]; b != nil {
		b.Return(time.Now())
	}
	return nil
}

// Len returns the number of organisations with a bucket.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buckets)
}

// Count is the state of one organisation's bucket, for operators.
type Count struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"per_second"`
	Burst        float64 `json:"burst"`
	// Free is how many requests may be granted now; a negative number of requests has been granted for later.
	Free float64 `json:"free"`
}

// Counts returns the state of all buckets, sorted by organisation.
func (s *Service) Counts() []Count {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make([]Count, 0, len(s.buckets))
	for name, b := range s.buckets {
		counts = append(counts, Count{Organisation: name, PerSecond: b.limit.PerSecond, Burst: b.limit.Burst, Free: b.available(time.Now())})
	}
	slices.SortFunc(counts, func(a, b Count) int { return strings.Compare(a.Organisation, b.Organisation) })
	return counts
}

// sweep drops idle buckets, once per sweepInterval. It is called with the lock held.
func (s *Service) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for name, b := range s.buckets {
		if b.Idle(now) {
			delete(s.buckets, name)
		}
	}
}
