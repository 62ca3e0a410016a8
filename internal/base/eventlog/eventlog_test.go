package eventlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/eventlog"
)

// sink collects what is written. If blocked is set, Write waits until it is closed.
type sink struct {
	mu      sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
}

func (s *sink) Write(p []byte) (int, error) {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *sink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		w := eventlog.New(out)
		for i := range 10 {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			assert.NilError(t, err)
		}
		w.Close()
		w.Close()
		assert.Equal(t, strings.Count(out.String(), "\n"), 10)
		assert.Assert(t, strings.HasPrefix(out.String(), "line 0\nline 1\n"))
		_, err := fmt.Fprintln(w, "after the end")
		assert.NilError(t, err)
		assert.Equal(t, w.Dropped(), int64(1))
	})
}

// TestWriteDoesNotBlock: with a blocked reader, lines beyond the queue are dropped, counted and reported later.
func TestWriteDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{blocked: make(chan struct{})}
		w := eventlog.New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 60 {
			for range 20 {
				_, _ = w.Write(line)
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, w.Dropped() > 0)
		close(out.blocked)
		time.Sleep(time.Second)
		_, _ = w.Write(line)
		time.Sleep(time.Second)
		w.Close()
		assert.Assert(t, strings.Contains(out.String(), "event=log-dropped"))
	})
}

func TestRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &sink{}
		w := eventlog.New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 100 {
			for range 100 {
				_, _ = w.Write(line)
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.Close()
		assert.Assert(t, len(out.String()) < 600<<10, "%d bytes written within a second", len(out.String()))
		assert.Assert(t, w.Dropped() > 0)
	})
}

// pieces notes each write of its own.
type pieces struct{ writes []string }

func (p *pieces) Write(data []byte) (int, error) {
	p.writes = append(p.writes, string(data))
	return len(data), nil
}

// TestBurstIsWrittenInWholeLines: each write holds whole lines of at most 4,096 bytes in total, or one longer line.
func TestBurstIsWrittenInWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &pieces{}
		w := eventlog.New(out)
		long := strings.Repeat("x", 6000) + "\n"
		want := long
		_, _ = w.Write([]byte(long))
		for i := range 300 {
			line := fmt.Sprintf("line %d %s\n", i, strings.Repeat("y", i))
			want += line
			_, _ = w.Write([]byte(line))
		}
		w.Close()
		assert.Equal(t, strings.Join(out.writes, ""), want)
		for i, write := range out.writes {
			assert.Assert(t, strings.HasSuffix(write, "\n"), "write %d does not end with a newline", i)
			assert.Assert(t, len(write) <= 4096 || write == long, "write %d has %d bytes", i, len(write))
		}
	})
}
