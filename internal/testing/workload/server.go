// Package workload has callers that run programs, backend servers that answer them, and a checker that holds
// rookpass's promises against what both see. The soak puts real processes between them, the fault matrix of
// internal/node daemons in virtual time.
package workload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	modelService = "model"
	toolService  = "tool"
	// tokensPerEvent is what one event of the model's stream stands for, eventsPerTurn how many a turn has.
	tokensPerEvent = 3
	eventsPerTurn  = 4
	// eventInterval is the time between two events, toolTime what a tool takes.
	eventInterval = 15 * time.Millisecond
	toolDelay     = 20 * time.Millisecond
)

// Fault is how a server spoils its answers; the zero value is none.
type Fault string

// The faults of a server.
const (
	// Hang runs requests and says nothing.
	Hang Fault = "hang"
	// Truncate breaks answers off in the middle.
	Truncate Fault = "cut"
	// Duplicate sends each answer twice.
	Duplicate Fault = "surplus"
	// Shed turns requests away as not run.
	Shed Fault = "shed"
)

// Server is a backend server of the model or the tool service. It implements http.Handler.
type Server struct {
	index   int
	checker *Checker
	fault   atomic.Value // Fault

	mu        sync.Mutex
	entry     catalog.Server
	instances int
	// ended is closed when the present start ends.
	ended chan struct{}
}

// NewServer returns the server at a place, whose number picks its service and data centre. address is where
// daemons reach it.
func NewServer(index int, address string, checker *Checker) *Server {
	service := modelService
	if index%2 == 1 {
		service = toolService
	}
	s := &Server{index: index, checker: checker, ended: make(chan struct{})}
	s.SetFault("")
	s.entry = catalog.Server{Service: service, Address: address, DataCentre: fmt.Sprint("dc", index%3), Slots: 32}
	s.Replace()
	return s
}

// SetFault sets how the server spoils its answers.
func (s *Server) SetFault(f Fault) { s.fault.Store(f) }

// Replace begins another life of the server at its address, and returns its entry.
func (s *Server) Replace() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances++
	s.entry.ID = incarnation.ID{Server: fmt.Sprintf("i-%d-%d", s.index, s.instances), Born: time.Now().UnixMilli()}
	s.entry.Draining = false
	return s.entry
}

// Restart ends the server as a crash behind a cut does, and starts it again under its name and at its address: what was
// under way stays silent, and so do the connections of before. It returns the new start's entry.
func (s *Server) Restart() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ended)
	s.ended = make(chan struct{})
	s.entry.ID.Born = max(s.entry.ID.Born+1, time.Now().UnixMilli())
	return s.entry
}

// startKey is the context key of the start that accepted a connection.
type startKey struct{}

// ConnContext is the server's http.Server.ConnContext: it ties a connection to the start that accepted it.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithValue(ctx, startKey{}, s.ended)
}

// blockIfEnded says nothing more on a connection to a start that has ended.
func blockIfEnded(r *http.Request) {
	ended, _ := r.Context().Value(startKey{}).(chan struct{}) // none without ConnContext
	select {
	case <-ended:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}

// Drain makes the server say that it leaves, and returns its entry.
func (s *Server) Drain() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Draining = true
	s.checker.RecordDraining(s.entry.ID.Server)
	return s.entry
}

// Entry returns the server's entry as it is now.
func (s *Server) Entry() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := platformtest.RequestID(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	blockIfEnded(r)
	fault := s.fault.Load().(Fault)
	entry := s.Entry()
	w.Header().Set("X-Content-Type-Options", "nosniff")
	switch {
	case platformtest.ExpectedServer(r.Header) != entry.ID.Server:
		platformtest.Sign(w.Header(), id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case fault == Shed:
		platformtest.Sign(w.Header(), id)
		platformtest.MarkNotRun(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.checker.RecordArrival(entry.ID.Server, id)
	s.checker.RecordIdentity(id, platformtest.ForwardedOrganisation(r.Header), containsKey(r.Header))
	s.checker.RecordRun(id, string(body))
	if fault == Hang {
		<-r.Context().Done()
		return
	}
	platformtest.Sign(w.Header(), id)
	if entry.Service == modelService {
		s.writeStream(w, r, answerKey(r, id, string(body)), fault)
		return
	}
	time.Sleep(toolDelay)
	blockIfEnded(r)
	writeToolAnswer(w, id, fault)
}

// containsKey tells whether a caller's key is anywhere in the headers.
func containsKey(h http.Header) bool {
	for _, values := range h {
		if strings.Contains(strings.Join(values, "\n"), keyPrefix) {
			return true
		}
	}
	return false
}

// answerKey returns what the events of an answer depend on: an answer that may be resumed is the same under every
// id that its caller asks again with.
func answerKey(r *http.Request, id, body string) string {
	if strings.HasPrefix(r.URL.Path, resumablePath) {
		return body
	}
	return id
}

// eventData returns the data of an answer's event.
func eventData(key string, n int) string { return fmt.Sprintf("%s/%d", key, n) }

// eventText returns some events of an answer as they are sent.
func eventText(key string, from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", n, eventData(key, n))
	}
	return text.String()
}

func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, key string, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := platformtest.LastEvent(r.Header) + 1; n <= eventsPerTurn; n++ {
		blockIfEnded(r)
		_, _ = io.WriteString(w, eventText(key, n, n)) // the caller may have left
		w.(http.Flusher).Flush()
		if fault == Truncate && n == eventsPerTurn/2 {
			_, _ = io.WriteString(w, "id: 9\nda") // half an event, which must not reach the caller
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler) // to return would end the answer as if it were whole
		}
	}
}

// toolAnswer is the body of a tool's answer.
func toolAnswer(id string) string { return "done " + id + strings.Repeat(".", 200) }

func writeToolAnswer(w http.ResponseWriter, id string, fault Fault) {
	body := toolAnswer(id)
	switch fault {
	case Truncate:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case Duplicate:
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for range 2 {
			_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n")
			_ = w.Header().Write(buffered)
			_, _ = fmt.Fprintf(buffered, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		_ = buffered.Flush()
	default:
		_, _ = io.WriteString(w, body)
	}
}
