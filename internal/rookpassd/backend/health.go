package backend

import (
	"sync"
	"time"
)

// Outlier ejection: a server is ejected after consecutive failures, for a time that doubles while it keeps
// failing.
const (
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
)

// health is the circuit state of one backend server.
type health struct {
	mu       sync.Mutex
	failures int
	until    time.Time
	ejection time.Duration
}

// ejected reports whether the server is ejected now. After an ejection a single failure ejects it again.
func (h *health) ejected(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.until)
}

// report counts the outcome of a call. It returns the duration of a new ejection, or 0.
func (h *health) report(now time.Time, ok bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.failures, h.ejection = 0, 0
		return 0
	}
	h.failures++
	if h.failures < failuresToEject {
		return 0
	}
	h.ejection = min(max(2*h.ejection, firstEjection), maxEjection)
	h.until = now.Add(h.ejection)
	h.failures = failuresToEject - 1
	return h.ejection
}
