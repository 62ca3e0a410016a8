package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/catalog"
	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	modelService = "model"
	toolService  = "tool"
	// tokensPerEvent is what one event of the model's stream stands for, eventsPerTurn how many a turn has.
	tokensPerEvent = 3
	eventsPerTurn  = 4
	// eventPause is the time between two events, toolTime what a tool takes.
	eventPause = 15 * time.Millisecond
	toolTime   = 20 * time.Millisecond
)

// server is a backend server of the model or the tool service.
type server struct {
	entry   catalog.Server
	checker *Checker
	http    *http.Server
	link    *proxy
	fault   atomic.Value // Kind
	lives   int
	mu      sync.Mutex
}

func newServer(place int, checker *Checker) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link, err := newProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	service := modelService
	if place%2 == 1 {
		service = toolService
	}
	s := &server{checker: checker, link: link}
	s.fault.Store(Kind(""))
	s.entry = catalog.Server{Service: service, Address: link.address(), DataCentre: fmt.Sprint("dc", place%3), Slots: 32}
	s.rename(place)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// rename begins another life of the server at its address.
func (s *server) rename(place int) catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	s.entry.ID = fmt.Sprintf("i-%d-%d", place, s.lives)
	s.entry.Draining = false
	return s.entry
}

func (s *server) current() catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := platformtest.CallID(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.fault.Load().(Kind)
	w.Header().Set("X-Content-Type-Options", "nosniff")
	switch {
	case platformtest.ExpectedServer(r.Header) != s.current().ID:
		platformtest.Sign(w.Header(), id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case fault == ServerShed:
		platformtest.Sign(w.Header(), id)
		platformtest.SayNotRun(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.checker.Ran(id, string(body))
	if fault == ServerHang {
		<-r.Context().Done()
		return
	}
	platformtest.Sign(w.Header(), id)
	if s.entry.Service == modelService {
		s.stream(w, r, id, fault)
		return
	}
	s.tool(w, id, fault)
}

// event returns the data of a turn's event.
func eventData(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, fault Kind) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= eventsPerTurn; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)) // the caller may have left
		w.(http.Flusher).Flush()
		if fault == ServerCut && n == eventsPerTurn/2 {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

// toolAnswer is the body of a tool's answer.
func toolAnswer(id string) string { return "done " + id + strings.Repeat(".", 200) }

func (s *server) tool(w http.ResponseWriter, id string, fault Kind) {
	time.Sleep(toolTime)
	body := toolAnswer(id)
	switch fault {
	case ServerCut:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case ServerSurplus:
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
