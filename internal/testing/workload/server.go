// Package workload has callers that run programs, backend servers that answer them, and a checker that checks rookpass's
// invariants against what both observe. Package soak runs it against real processes, and the tests of internal/node
// against daemons in virtual time.
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
	// tokensPerEvent is the number of tokens per event of the model's stream, eventsPerTurn the number of events per turn.
	tokensPerEvent = 3
	eventsPerTurn  = 4
	// eventInterval is the time between two events, toolDelay the duration of a tool call.
	eventInterval = 15 * time.Millisecond
	toolDelay     = 20 * time.Millisecond
	// readDelay is how late a server with the fault ReadLate reads a body.
	readDelay = time.Second
	// unreadTimeout is how long a large answer may stay unread before the server cuts it off.
	unreadTimeout = 1500 * time.Millisecond
)

// Fault is a fault of a server's answers. The zero value means none.
type Fault string

// The faults of a server.
const (
	// Hang executes requests and does not answer.
	Hang Fault = "hang"
	// Truncate aborts answers in the middle.
	Truncate Fault = "cut"
	// Duplicate sends each answer twice.
	Duplicate Fault = "surplus"
	// Shed rejects requests with 503, marked as not run.
	Shed Fault = "shed"
	// ReadLate reads the body of a request only after readDelay.
	ReadLate Fault = "read-late"
)

// Server is a backend server of the model or the tool service. It implements http.Handler.
type Server struct {
	index   int
	checker *Checker
	fault   atomic.Value // Fault

	mu        sync.Mutex
	entry     catalog.Server
	instances int
	// ended is closed when the current start ends.
	ended chan struct{}
	// onFatal ends the server's process; nil for servers that survive fatal requests.
	onFatal func()
}

// NewServer returns a server. Its index determines its service and its data centre. address is the address at which
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

// SetFault sets the fault of the server's answers.
func (s *Server) SetFault(f Fault) { s.fault.Store(f) }

// TryFault sets the fault of the server's answers if they have none, and reports whether it did.
func (s *Server) TryFault(f Fault) bool { return s.fault.CompareAndSwap(Fault(""), f) }

// EndFault ends a fault of the server's answers unless another one has replaced it.
func (s *Server) EndFault(f Fault) { s.fault.CompareAndSwap(f, Fault("")) }

// Replace replaces the server by a new one with a new name at the same address, and returns its registry entry.
func (s *Server) Replace() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances++
	s.entry.ID = incarnation.ID{Server: fmt.Sprintf("i-%d-%d", s.index, s.instances), Born: time.Now().UnixMilli()}
	s.entry.Draining = false
	return s.entry
}

// ReplaceAt does the same at another address.
func (s *Server) ReplaceAt(address string) catalog.Server {
	s.mu.Lock()
	s.entry.Address = address
	s.mu.Unlock()
	return s.Replace()
}

// OnFatalRequest sets the function that ends the server's process when it gets a fatal request.
func (s *Server) OnFatalRequest(end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFatal = end
}

// endBy ends the server's process if the body is that of a fatal request, and reports whether it did.
func (s *Server) endBy(body string) bool {
	s.mu.Lock()
	end, start := s.onFatal, s.entry.ID.String()
	s.mu.Unlock()
	if end == nil || !strings.Contains(body, fatalMark) {
		return false
	}
	if strings.HasPrefix(fatalContent(body), slowMark) {
		time.Sleep(slowDelay)
	}
	if strings.HasPrefix(fatalContent(body), delayedMark) {
		time.Sleep(fatalDelay)
	}
	if strings.HasPrefix(fatalContent(body), longDelayedMark) {
		time.Sleep(longFatalDelay)
	}
	if s.checker.spares(fatalContent(body)) {
		return false
	}
	if s.Entry().ID.String() != start {
		return true // a process that has ended meanwhile does not end the next one
	}
	s.checker.RecordServerEnd(fatalContent(body), start)
	end()
	return true
}

// Restart simulates a crash that leaves connections open, and a restart with the same name and address. Requests in
// progress and on existing connections are never answered. It returns the registry entry of the new start.
func (s *Server) Restart() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ended)
	s.ended = make(chan struct{})
	s.entry.ID.Born = max(s.entry.ID.Born+1, time.Now().UnixMilli())
	return s.entry
}

// startKey is the context key for the ended channel of the start that accepted a connection.
type startKey struct{}

// ConnContext implements http.Server.ConnContext. It associates a connection with the start that accepted it.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithValue(ctx, startKey{}, s.ended)
}

// blockIfEnded blocks a request for good, without an answer, if its connection was accepted by a start that has ended.
func blockIfEnded(r *http.Request) {
	if hasEnded(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// hasEnded reports whether the start that accepted a request's connection has ended.
func hasEnded(r *http.Request) bool {
	ended, _ := r.Context().Value(startKey{}).(chan struct{}) // nil if ConnContext is not used
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// Drain marks the server as draining and returns its registry entry.
func (s *Server) Drain() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Draining = true
	s.checker.RecordDraining(s.entry.ID.Server)
	return s.entry
}

// Entry returns the server's current registry entry.
func (s *Server) Entry() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := platformtest.RequestID(r.Header)
	if s.fault.Load().(Fault) == ReadLate {
		time.Sleep(readDelay)
	}
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
	if !endsLate(string(body)) && s.endBy(string(body)) {
		panic(http.ErrAbortHandler)
	}
	if fault == Hang {
		<-r.Context().Done()
		return
	}
	platformtest.Sign(w.Header(), id)
	if entry.Service == modelService {
		s.writeStream(w, r, id, string(body), fault)
		return
	}
	time.Sleep(toolDelay)
	blockIfEnded(r)
	if e, ok := endings[fault]; ok {
		s.writeEnding(w, r, id, []string{toolAnswer(id)}, e.forPlain())
		return
	}
	s.writeToolAnswer(w, id, fault)
}

// containsKey reports whether any header contains a caller's key.
func containsKey(h http.Header) bool {
	for _, values := range h {
		if strings.Contains(strings.Join(values, "\n"), keyPrefix) {
			return true
		}
	}
	return false
}

// answerKey returns the key that determines the events of an answer. A resumable answer depends on the body only,
// because each attempt has its own request ID.
func answerKey(r *http.Request, id, body string) string {
	if strings.HasPrefix(r.URL.Path, resumablePath) {
		return body
	}
	return id
}

// eventData returns the data of the n-th event of an answer.
func eventData(key string, n int) string { return fmt.Sprintf("%s/%d", key, n) }

// eventText returns a range of an answer's events as server-sent events.
func eventText(key string, from, to int) string {
	var text strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", n, eventData(key, n))
	}
	return text.String()
}

func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, id, body string, fault Fault) {
	key := answerKey(r, id, body)
	w.Header().Set("Content-Type", "text/event-stream")
	first := platformtest.LastEvent(r.Header) + 1
	if e, ok := endings[fault]; ok {
		var events []string
		for n := first; n <= eventsPerTurn; n++ {
			events = append(events, eventText(key, n, n))
		}
		s.writeEnding(w, r, id, events, e)
		return
	}
	for n := first; n <= eventsPerTurn; n++ {
		blockIfEnded(r)
		if endsLate(body) && n > eventsPerTurn/2 && s.endBy(body) {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, eventText(key, n, n)) // the caller may have disconnected
		w.(http.Flusher).Flush()
		if fault == Truncate && n == eventsPerTurn/2 {
			_, _ = io.WriteString(w, "id: 9\nda") // a partial event, which must not reach the caller
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler) // a return would end the answer as if it were complete
		}
	}
	s.checker.RecordAnswered(id)
}

// toolAnswer returns the body of a tool's answer.
func toolAnswer(id string) string {
	if strings.HasPrefix(id, largeAnswerPrefix) {
		return "done " + id + strings.Repeat(".", largeAnswerBytes)
	}
	return "done " + id + strings.Repeat(".", 200)
}

func (s *Server) writeToolAnswer(w http.ResponseWriter, id string, fault Fault) {
	body := toolAnswer(id)
	if len(body) > largeAnswerBytes {
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout)) // not supported: the answer is not cut off
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
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
		s.checker.RecordAnswered(id)
		for range 2 {
			_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n")
			_ = w.Header().Write(buffered)
			_, _ = fmt.Fprintf(buffered, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		_ = buffered.Flush()
	default:
		if _, err := io.WriteString(w, body); err == nil {
			s.checker.RecordAnswered(id)
		}
	}
}
