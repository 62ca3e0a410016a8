// Package eventlog writes log lines without ever keeping the writer waiting: what does not fit is dropped and
// counted.
package eventlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueBytes is what may wait for a slow reader: some seconds of lines at the usual rate.
	queueBytes = 256 << 10
	// bytesPerSecond bounds what is written under load; the rest is dropped. Twice a busy VM's usual rate.
	bytesPerSecond = 256 << 10
	// flushPause gathers lines, so that a write carries several.
	flushPause = 50 * time.Millisecond
	// writeBytes bounds one write: a pipe takes up to 4,096 bytes whole or not at all. Of longer writes, as when 25 servers
	// come back together, a reader kept the first 8 KiB and lost the lines behind them.
	writeBytes = 4096
)

// Writer is an io.Writer whose Write never blocks. Use New.
type Writer struct {
	out io.Writer

	mu       sync.Mutex
	queue    []byte
	spare    []byte
	tokens   float64
	refilled time.Time
	closed   bool
	wake     chan struct{}
	done     chan struct{}
	dropped  atomic.Int64
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, tokens: bytesPerSecond, refilled: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write queues one line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(bytesPerSecond, w.tokens+now.Sub(w.refilled).Seconds()*bytesPerSecond)
	w.refilled = now
	if w.closed || len(w.queue)+len(line) > queueBytes || w.tokens < float64(len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.tokens -= float64(len(line))
	w.queue = append(w.queue, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for range w.wake {
		time.Sleep(flushPause)
		w.mu.Lock()
		lines := w.queue
		w.queue = w.spare[:0]
		w.mu.Unlock()
		if dropped := w.dropped.Load(); dropped > reported {
			lines = fmt.Appendf(lines, "level=warning event=log-dropped lines=%d\n", dropped-reported)
			reported = dropped
		}
		w.writeOut(lines)
		w.mu.Lock()
		w.spare = lines
		w.mu.Unlock()
	}
}

// Close writes what is queued.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.wake)
	w.mu.Unlock()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeOut(w.queue)
	w.queue = nil
}

// writeOut writes whole lines, as many at a time as a pipe takes at once.
func (w *Writer) writeOut(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > writeBytes {
			end = bytes.LastIndexByte(lines[:writeBytes], '\n') + 1
		}
		if end == 0 { // the first line alone is longer
			end = bytes.IndexByte(lines, '\n') + 1
		}
		if end == 0 {
			end = len(lines)
		}
		_, _ = w.out.Write(lines[:end]) // there is nowhere else to report it
		lines = lines[end:]
	}
}
