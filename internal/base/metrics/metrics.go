// Package metrics keeps counters, gauges and latency histograms and serves them in the Prometheus text format.
package metrics

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// bounds are the upper bounds of the histogram buckets.
var bounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
}

type key struct{ name, label string }

// histogram is a latency histogram. counts are per bucket, not cumulative; count includes values above all bounds.
type histogram struct {
	counts []int64
	count  int64
	sum    time.Duration
}

// Registry holds the metrics of a process. Use New to create one.
type Registry struct {
	mu         sync.Mutex
	counters   map[key]int64
	histograms map[key]*histogram
	gauges     map[string]func() float64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{counters: map[key]int64{}, histograms: map[key]*histogram{}, gauges: map[string]func() float64{}}
}

// Count increments a counter. label is the value of its outcome label.
func (r *Registry) Count(name, label string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[key{name, label}]++
}

// Observe adds a duration to a histogram. label is the value of its outcome label.
func (r *Registry) Observe(name, label string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[key{name, label}]
	if h == nil {
		h = &histogram{counts: make([]int64, len(bounds))}
		r.histograms[key{name, label}] = h
	}
	h.count++
	h.sum += d
	if i, _ := slices.BinarySearch(bounds, d); i < len(bounds) {
		h.counts[i]++
	}
}

// Gauge registers a gauge, whose value read returns whenever the metrics are served.
func (r *Registry) Gauge(name string, read func() float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[name] = read
}

// ServeHTTP writes all metrics, sorted by line.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	lines := r.lines()
	slices.Sort(lines)
	var page bytes.Buffer
	for _, line := range lines {
		page.WriteString(line)
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(page.Bytes()) // the client may have disconnected
}

func (r *Registry) lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for k, n := range r.counters {
		add("%s{outcome=%q} %d\n", k.name, k.label, n)
	}
	for name, read := range r.gauges {
		add("%s %g\n", name, read())
	}
	for k, h := range r.histograms {
		total := int64(0)
		for i, n := range h.counts {
			total += n
			add("%s_bucket{outcome=%q,le=\"%g\"} %d\n", k.name, k.label, bounds[i].Seconds(), total)
		}
		add("%s_bucket{outcome=%q,le=\"+Inf\"} %d\n", k.name, k.label, h.count)
		add("%s_sum{outcome=%q} %g\n", k.name, k.label, h.sum.Seconds())
		add("%s_count{outcome=%q} %d\n", k.name, k.label, h.count)
	}
	return lines
}
