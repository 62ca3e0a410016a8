package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// memoryNetwork is a network in memory. Its connections buffer 64 KiB in each direction, after which writes block.
type memoryNetwork struct{ fabric *memnet.Fabric }

func (n memoryNetwork) serve(t *testing.T, name string, h http.Handler) string {
	address := name + ":1"
	listener, err := n.fabric.Listen(name, address)
	assert.NilError(t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return address
}

func (n memoryNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return n.fabric.Dial(ctx, "front", address)
}

// connBytes is what a connection of memoryNetwork buffers in one direction.
const connBytes = 64 << 10

// smallestVM are the memory limits of a VM of 112 MB, as package node sets them.
var smallestVM = membudget.Limits{Total: 112 << 20 * 4 / 10, SmallBytes: 64 << 10, ByClass: map[membudget.Class]int64{membudget.RequestBodies: 112 << 20 / 5}}

// inVirtualTime runs a test against a gateway on a network in memory.
func inVirtualTime(t *testing.T, limits membudget.Limits, test func(t *testing.T, r *fixture, fabric *memnet.Fabric), servers ...http.HandlerFunc) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		r := newFixtureOn(t, memoryNetwork{fabric}, limits, 1<<20, servers...)
		test(t, r, fabric)
		time.Sleep(time.Minute) // all requests have ended by then
		assert.Equal(t, r.memory.Total(), int64(0), "memory is still counted after all requests have ended")
	})
}

// exceeded returns the log lines of reservations of memory that did not fit.
func (r *fixture) exceeded() []logrus.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memoryLines
}

// lastAttempts returns the logged attempts of the last completed request.
func (r *fixture) lastAttempts() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[len(r.attempts)-1]
}

// slowCaller is a caller that reads only when told.
type slowCaller struct {
	net.Conn
	reader *bufio.Reader
}

// startCall sends a request and reads nothing.
func startCall(r *fixture, fabric *memnet.Fabric, path, body string, headers ...string) *slowCaller {
	conn, err := fabric.Dial(context.Background(), "caller", "front:1")
	assert.NilError(r.t, err)
	var head strings.Builder
	for i := 0; i < len(headers); i += 2 {
		fmt.Fprintf(&head, "%s: %s\r\n", headers[i], headers[i+1])
	}
	go func() { // a server may read the body slowly
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: slow\r\n%sContent-Length: %d\r\n\r\n%s", path, head.String(), len(body), body)
	}()
	r.t.Cleanup(func() { _ = conn.Close() })
	return &slowCaller{conn, bufio.NewReader(conn)}
}

// read reads the response to its end.
func (c *slowCaller) read() reply {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{broken: true}
	}
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), header: resp.Header, broken: err != nil, closes: resp.Close}
}

// respondWith returns a server whose responses have a body of n bytes, of known or unknown length.
func respondWith(n int, knownLength bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		if knownLength {
			w.Header().Set("Content-Length", fmt.Sprint(n))
		}
		_, _ = io.WriteString(w, strings.Repeat("r", n)) // the gateway may have disconnected
	}
}

// TestWriteDeadlineForCallerThatDoesNotRead checks that the request ends soon after its deadline though its response
// does not fit into the connection's buffers.
func TestWriteDeadlineForCallerThatDoesNotRead(t *testing.T) {
	inVirtualTime(t, fixtureLimits, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
		began := time.Now()
		startCall(r, fabric, "/twice/x", "", "Deadline", "100ms")
		assert.Equal(t, <-r.outcomes, "caller-left")
		assert.Assert(t, time.Since(began) <= 3*time.Second, "request ended after %v", time.Since(began))
	}, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Id", req.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		block := make([]byte, 64<<10)
		for req.Context().Err() == nil {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
}

// TestCallerWithoutDeadlineThatDoesNotRead guards against requests that hold memory for good where neither the route nor
// the caller sets a deadline, and against callers that stop sending a body.
func TestCallerWithoutDeadlineThatDoesNotRead(t *testing.T) {
	inVirtualTime(t, fixtureLimits, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
		for i := range r.config.Routes {
			r.config.Routes[i].Timeout = 0
		}
		r.config.Version++
		r.configs.Reset([]objectapi.Object{{Key: "c/main"}}, 2)
		began := time.Now()
		startCall(r, fabric, "/twice/x", "")
		assert.Equal(t, <-r.outcomes, "caller-left")
		assert.Assert(t, time.Since(began) <= 31*time.Second, "request ended after %v", time.Since(began))
		began = time.Now()
		conn, err := fabric.Dial(context.Background(), "caller", "front:1")
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /twice/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: half\r\nContent-Length: 1000\r\n\r\nhalf")
		assert.NilError(t, err)
		assert.Equal(t, <-r.outcomes, "body-not-read")
		assert.Assert(t, time.Since(began) <= 31*time.Second, "request ended after %v", time.Since(began))
	}, respondWith(400<<10, true))
}

// TestUnreadStreamHoldsBackServer guards against streams that are read from the server faster than the caller reads
// them, so that they grow in the gateway's memory.
func TestUnreadStreamHoldsBackServer(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x", "/turn/x"} {
		t.Run(path, func(t *testing.T) {
			var sent atomic.Int64
			inVirtualTime(t, smallestVM, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
				startCall(r, fabric, path, "hello")
				time.Sleep(2500 * time.Millisecond)
				// Two connections and the writers and readers at their ends.
				assert.Assert(t, sent.Load() <= 2*connBytes+20<<10, "the server could send %d bytes", sent.Load())
				assert.Assert(t, sent.Load() > connBytes)
				limit := int64(64 << 10)
				if path == "/turn/x" { // its output is recorded
					limit += 4 * 2 * connBytes
				}
				assert.Assert(t, r.memory.Peak() <= limit, "%d bytes held", r.memory.Peak())
			}, func(w http.ResponseWriter, req *http.Request) {
				w.Header().Set("Id", req.Header.Get("Id"))
				w.Header().Set("Seal", "s")
				for n := 1; req.Context().Err() == nil; n++ {
					written, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("e", 1000))
					if err != nil {
						return
					}
					sent.Add(int64(written))
				}
			})
		})
	}
}

// cutOffUnread sends a response that is aborted once a part of it has not been read for a time.
func cutOffUnread(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
	control := http.NewResponseController(w)
	for n := 1; n < 2000; n++ {
		_ = control.SetWriteDeadline(time.Now().Add(1500 * time.Millisecond))
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("e", 1000)); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// abortWhileRead sends a response that is aborted after a part of it that fits into no buffer has been read.
func abortWhileRead(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
	for n := 1; n < 300; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("e", 1000)) // the gateway may have disconnected
	}
	_ = http.NewResponseController(w).Flush()
	time.Sleep(time.Second)
	panic(http.ErrAbortHandler)
}

// TestServerThatCutsOffUnreadResponse guards against ejecting servers for cutting off responses that slow callers left
// unread, and against excusing servers that abort responses of callers that read.
func TestServerThatCutsOffUnreadResponse(t *testing.T) {
	for _, path := range []string{"/stream/x", "/turn/x", "/once/x"} {
		for _, slow := range []bool{true, false} {
			t.Run(fmt.Sprint(path, slow), func(t *testing.T) {
				server := cutOffUnread
				if !slow {
					server = abortWhileRead
				}
				inVirtualTime(t, smallestVM, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
					for range 4 {
						c := startCall(r, fabric, path, "hello")
						if slow {
							time.Sleep(2 * time.Second)
						}
						got := c.read()
						assert.Equal(t, got.status, http.StatusOK)
						assert.Assert(t, got.broken, "a response that was cut off must not seem complete")
						<-r.outcomes
						failures := len(r.balancer.Failing())
						assert.Equal(t, failures > 0, !slow, "%d failures, attempts %s", failures, r.lastAttempts())
						assert.Equal(t, strings.Contains(r.lastAttempts(), "/unread/"), slow, "%s", r.lastAttempts())
						time.Sleep(10 * time.Second)
					}
				}, server)
			})
		}
	}
}

// TestServerThatFailsAfterCallerReadAgain guards against excusing a server for a failure long after the caller was slow.
func TestServerThatFailsAfterCallerReadAgain(t *testing.T) {
	for _, path := range []string{"/stream/x", "/turn/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			inVirtualTime(t, smallestVM, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
				c := startCall(r, fabric, path, "hello")
				time.Sleep(1200 * time.Millisecond)
				assert.Assert(t, c.read().broken)
				<-r.outcomes
				assert.Equal(t, len(r.balancer.Failing()), 1, "%s", r.lastAttempts())
			}, func(w http.ResponseWriter, r *http.Request) {
				defer time.Sleep(500 * time.Millisecond) // with that of abortWhileRead more than the caller's 1.2 s
				abortWhileRead(w, r)
			})
		})
	}
}

// TestServerThatReadsSlowly checks that a server that does not read a long request holds the memory of that request
// only, until the deadline.
func TestServerThatReadsSlowly(t *testing.T) {
	for _, path := range []string{"/once/x", "/twice/x", "/stream/x", "/turn/x"} {
		t.Run(path, func(t *testing.T) {
			inVirtualTime(t, smallestVM, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
				const size = 1 << 20
				began := time.Now()
				c := startCall(r, fabric, path, strings.Repeat("b", size), "Deadline", "2s")
				time.Sleep(time.Second)
				assert.Equal(t, r.memory.Held(membudget.RequestBodies), int64(size))
				assert.Equal(t, r.sendInMemory(fabric, "/once/small", "small").status, http.StatusOK)
				assert.Equal(t, c.read().status, http.StatusGatewayTimeout)
				assert.Assert(t, time.Since(began) <= 2100*time.Millisecond)
				synctest.Wait()
				assert.Equal(t, r.memory.Total(), int64(0))
			}, func(w http.ResponseWriter, req *http.Request) {
				if req.ContentLength > 1000 {
					time.Sleep(10 * time.Second)
					return
				}
				echo(w, req)
			})
		})
	}
}

// sendInMemory sends a request over the network in memory and reads the response.
func (r *fixture) sendInMemory(fabric *memnet.Fabric, path, body string, headers ...string) reply {
	c := startCall(r, fabric, path, body, append([]string{"Connection", "close"}, headers...)...)
	defer func() { _ = c.Close() }()
	return c.read()
}

// TestCrowdOfSlowCallers checks that a crowd of callers that do not read, on the smallest VM, leaves the gateway within
// its memory limit: what does not fit is refused before it runs, small requests of others are served, and each response
// that was requested from a server is delivered once its caller reads.
func TestCrowdOfSlowCallers(t *testing.T) {
	const crowd, size = 400, 250 << 10
	var runs atomic.Int64
	inVirtualTime(t, smallestVM, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
		assert.Equal(t, len(r.sendInMemory(fabric, "/twice/x", "large").body), size) // the size of the route's responses is learnt
		runs.Store(0)
		callers := make([]*slowCaller, crowd)
		for i := range callers {
			callers[i] = startCall(r, fabric, "/twice/x", "large")
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Assert(t, r.memory.Total() > r.memory.Limit()/2, "%d bytes held", r.memory.Total())
		assert.Equal(t, r.balancer.View(incarnation.ID{Server: "0"}).InFlight, 0, "buffered responses must not occupy servers")
		for range 20 {
			assert.Equal(t, r.sendInMemory(fabric, "/once/x", "small").status, http.StatusOK)
		}
		var wg sync.WaitGroup
		var whole, refused atomic.Int64
		for _, c := range callers {
			wg.Go(func() {
				switch got := c.read(); {
				case got.status == http.StatusOK && len(got.body) == size && !got.broken:
					whole.Add(1)
				case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && got.closes:
					refused.Add(1)
				default:
					assert.Check(t, false, "status %d with %d bytes", got.status, len(got.body))
				}
				_ = c.Close()
			})
		}
		wg.Wait()
		assert.Equal(t, whole.Load()+refused.Load(), int64(crowd))
		assert.Equal(t, whole.Load(), runs.Load(), "a refused request must not have run")
		assert.Assert(t, refused.Load() > 0 && whole.Load() > 50, "%d whole, %d refused", whole.Load(), refused.Load())
		assert.Assert(t, r.memory.Peak() <= r.memory.Limit(), "%d of %d bytes", r.memory.Peak(), r.memory.Limit())
		assert.Equal(t, int64(len(r.exceeded())), refused.Load())
		line := r.exceeded()[0]
		assert.Equal(t, line["outcome"], "refused")
		assert.Assert(t, line["held"].(int64) > line["limit"].(int64)/2, "%v", line)
	}, func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/once/") {
			echo(w, req)
			return
		}
		runs.Add(1)
		respondWith(size, true)(w, req)
	})
}

// TestResponseThatDoesNotFit checks that responses larger than expected are delivered whole though the memory for
// buffering them is missing.
func TestResponseThatDoesNotFit(t *testing.T) {
	limits := membudget.Limits{Total: 60 << 10}
	for _, path := range []string{"/twice/x", "/once/x"} {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprint(path, known), func(t *testing.T) {
				inVirtualTime(t, limits, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
					assert.Equal(t, len(r.sendInMemory(fabric, path, "x").body), 200<<10)
					assert.Assert(t, r.memory.Peak() <= r.memory.Limit())
					assert.Equal(t, r.exceeded()[0]["outcome"], "unbuffered")
				}, respondWith(200<<10, known))
			})
		}
	}
}

// TestEventThatDoesNotFit checks that an event for which memory is missing is delivered in pieces where it need not be
// kept whole, and that a turn whose output can't be held is aborted rather than recorded incompletely.
func TestEventThatDoesNotFit(t *testing.T) {
	for path, whole := range map[string]bool{"/stream/x": true, "/turn/x": false, "/resume/x": false} {
		t.Run(path, func(t *testing.T) {
			text := "id: 1\ndata: " + strings.Repeat("e", 200<<10) + "\ndata: " + strings.Repeat("f", 5000) + "\n\n" + events(2, 3)
			inVirtualTime(t, membudget.Limits{Total: 64 << 10}, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
				got := r.sendInMemory(fabric, path, "x", "Program", "p", "Budget", "1000")
				assert.Assert(t, !got.broken)
				if !whole {
					assert.Equal(t, got.status, http.StatusBadGateway, "nothing of the response was sent")
				}
				if whole {
					assert.Equal(t, got.body, text)
					assert.Equal(t, r.ledger.settled[0].Tokens, int64(9), "three events of three tokens")
				}
				assert.Equal(t, len(r.ledger.turns), 0)
				assert.Equal(t, len(r.ledger.released), 0, "the tokens were generated")
				assert.Assert(t, r.memory.Peak() <= r.memory.Limit())
				assert.Equal(t, len(r.exceeded()), 1)
				assert.Equal(t, len(r.balancer.Failing()), 0)
			}, func(w http.ResponseWriter, req *http.Request) {
				w.Header().Set("Id", req.Header.Get("Id"))
				w.Header().Set("Seal", "s")
				_, _ = io.WriteString(w, text) // the gateway may have disconnected
			})
		})
	}
}

// TestHistoryThatDoesNotFit checks that a turn whose history does not fit into the memory limit is refused before it
// runs, and that its tokens are free again.
func TestHistoryThatDoesNotFit(t *testing.T) {
	var runs atomic.Int64
	inVirtualTime(t, membudget.Limits{Total: 96 << 10}, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
		r.ledger.turns["long"] = &turn.Record{ID: "long", Program: "p", Input: make([]byte, 50<<10), Output: make([]byte, 50<<10)}
		r.ledger.turns["short"] = &turn.Record{ID: "short", Program: "p", Input: []byte("in"), Output: []byte("out")}
		got := r.sendInMemory(fabric, "/turn/x", "x", "Program", "p", "Budget", "1000", "Previous", "long")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.DeepEqual(t, r.ledger.released, []string{"slow"})
		assert.Equal(t, runs.Load(), int64(0))
		assert.Equal(t, r.exceeded()[0]["class"], "histories")
		assert.Equal(t, r.sendInMemory(fabric, "/turn/x", "x", "Program", "p", "Budget", "1000", "Previous", "short").status, http.StatusOK)
	}, countRequests(&runs, serveEvents))
}

// TestEndlessEvent guards against an event of many short lines that grows without a limit.
func TestEndlessEvent(t *testing.T) {
	inVirtualTime(t, membudget.Limits{Total: 64 << 20}, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
		got := r.sendInMemory(fabric, "/turn/x", "x", "Program", "p")
		assert.Equal(t, got.status, http.StatusBadGateway, "nothing of the response was sent")
		assert.Assert(t, r.memory.Peak() < 40<<20, "%d bytes held", r.memory.Peak())
	}, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Id", req.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		for req.Context().Err() == nil {
			if _, err := io.WriteString(w, "data: "+strings.Repeat("e", 1000)+"\n"); err != nil {
				return
			}
		}
	})
}

// TestPlentifulMemoryChangesNothing checks that with free memory responses are buffered whole up to the same size as
// before there was a limit, so that a truncated one is replaced by another server's, and nothing is refused.
func TestPlentifulMemoryChangesNothing(t *testing.T) {
	const size = 255 << 10
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, strings.Repeat("t", size-1))
		panic(http.ErrAbortHandler)
	}
	h := firstThen(truncated, respondWith(size, false))
	inVirtualTime(t, smallestVM, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
		got := r.sendInMemory(fabric, "/twice/x", "x")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, got.body == strings.Repeat("r", size))
		for range 5 {
			assert.Equal(t, r.sendInMemory(fabric, "/once/x", strings.Repeat("b", 1<<20)).status, http.StatusOK)
		}
		assert.Equal(t, len(r.exceeded()), 0)
	}, h, h)
}
