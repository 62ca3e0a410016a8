package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of a run: what was sent, answered and run, with the seconds since the start.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

// seconds returns the time since the start of the run.
func (r *record) seconds() float64 { return time.Since(r.began).Seconds() }

// event writes one line.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.seconds(), fmt.Sprintf(format, args...)) // an incomplete record is seen by its reader
}
