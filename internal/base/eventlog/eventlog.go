// Package eventlog writes log lines asynchronously and never blocks the caller: lines beyond the queue size or the rate
// limit are dropped and counted.
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
	// queueBytes bounds the lines that wait for a slow reader.
	queueBytes = 256 << 10
	// bytesPerSecond limits the rate of accepted lines, and is also the burst size; further lines are dropped.
	bytesPerSecond = 256 << 10
	// flushPause delays each flush, so that one write carries several lines.
	flushPause = 50 * time.Millisecond
	// writeBytes bounds one write: writes of up to 4,096 bytes (PIPE_BUF) to a pipe are atomic. Of longer ones, a
	// reader kept the first 8 KiB and lost the lines behind them.
	writeBytes = 4096
)

// Writer is an io.Writer whose Write never blocks. Use New to create one.
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

// New returns a Writer to out and starts its goroutine, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, tokens: bytesPerSecond, refilled: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write queues one line, or drops it if the queue is full, the rate is exceeded or the writer is closed. It never fails.
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

// Close writes the queued lines and ends the writer's goroutine.
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

// writeOut writes whole lines in chunks of at most writeBytes; a longer line is written alone.
func (w *Writer) writeOut(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > writeBytes {
			end = bytes.LastIndexByte(lines[:writeBytes], '\n') + 1
		}
		if end == 0 { // the first line is longer than writeBytes
			end = bytes.IndexByte(lines, '\n') + 1
		}
		if end == 0 {
			end = len(lines)
		}
		_, _ = w.out.Write(lines[:end]) // a failure of the log itself can't be logged
		lines = lines[end:]
	}
}
