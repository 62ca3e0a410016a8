package gateway

import (
	"strconv"
	"time"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// Observer receives counts and durations; the metrics registry implements it.
type Observer interface {
	Count(name, label string)
	Observe(name, label string, d time.Duration)
}

// Stats counts requests and attempts by outcome.
type Stats struct {
	observer Observer
}

// NewStats returns Stats that report to an observer.
func NewStats(observer Observer) *Stats { return &Stats{observer: observer} }

func (s *Stats) request(outcome string, took time.Duration) {
	s.observer.Observe("rookpass_request_seconds", outcome, took)
}

func (s *Stats) wait(route string, waited time.Duration) {
	s.observer.Observe("rookpass_wait_seconds", route, waited)
}

// admission counts a turn that was admitted to the engines at its priority level, or refused.
func (s *Stats) admission(level int, outcome string) {
	s.observer.Count("rookpass_turns_total", outcome+"-level-"+strconv.Itoa(level))
}

func (s *Stats) attempt(outcome string) { s.observer.Count("rookpass_attempts_total", outcome) }

// brokenAttempt counts an attempt whose connection broke, by whether its server had ended.
func (s *Stats) brokenAttempt(outcome string) {
	s.observer.Count("rookpass_broken_attempts_total", outcome)
}

// response counts a server's response by its framing and how it ended.
func (s *Stats) response(framing upstream.Framing, ending upstream.Ending) {
	s.observer.Count("rookpass_responses_total", string(framing)+"-"+string(ending))
}

// organisation counts a request under its organisation's metrics label, and separately if it was over the rate limit.
func (s *Stats) organisation(label, outcome string) {
	s.observer.Count("rookpass_organisation_requests_total", label)
	if outcome == reasonOverLimit {
		s.observer.Count("rookpass_organisation_over_limit_total", label)
	}
}

// memoryExceeded counts a reservation of memory that did not fit, by class where the request was refused.
func (s *Stats) memoryExceeded(c membudget.Class, outcome string) {
	if outcome == memoryRefused {
		s.observer.Count("rookpass_memory_refusals_total", c.String())
		return
	}
	s.observer.Count("rookpass_memory_exceeded_total", outcome)
}

func (s *Stats) quota(took time.Duration) {
	s.observer.Observe("rookpass_quota_seconds", "asked", took)
}
