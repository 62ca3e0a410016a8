package quota

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Quota"

// sweepInterval is the time between two looks for buckets that know nothing any more.
const sweepInterval = 30 * time.Second

// TakeArgs ask for the grant of one request.
type TakeArgs struct {
	Organisation string
	// Limit is what the configuration of Version says.
	Limit   Limit
	Version int64
	// First is set for a request with which a program begins.
	First bool
	// StandIn is set where the daemon is asked in the place of a home that does not answer: it has counted nothing.
	StandIn bool
	// Held is for how long from now grants for later were given already, as far as the asker knows; 0 where none were.
	Held time.Duration
}

// ReturnArgs give a granted request back that has not run.
type ReturnArgs struct{ Organisation string }

// ReturnReply is empty.
type ReturnReply struct{}

// Service is a home: it counts the requests of organisations. Its exported methods are net/rpc methods.
type Service struct {
	tolerance Tolerance
	started   time.Time

	mu      sync.Mutex
	buckets map[string]*Bucket
	sweptAt time.Time
}

// NewService returns a home that has counted nothing.
func NewService(t Tolerance) *Service {
	now := time.Now()
	return &Service{tolerance: t, started: now, sweptAt: now, buckets: map[string]*Bucket{}}
}

// Take answers whether a request may run.
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

// Return takes a grant back.
func (s *Service) Return(args *ReturnArgs, _ *ReturnReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.buckets[args.Organisation]; b != nil {
		b.Return(time.Now())
	}
	return nil
}

// Len returns how many organisations are counted.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.buckets)
}

// Count is what is known of one organisation, for operators.
type Count struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"per_second"`
	Burst        float64 `json:"burst"`
	// Free is how many requests may be granted now; below 0 that many are granted for soon.
	Free float64 `json:"free"`
}

// Counts returns what is counted here, in the order of the names.
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

// sweep drops buckets that know nothing any more. It is called with the lock held.
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
