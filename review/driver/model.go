package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	eventsPerTurn  = 4
	tokensPerEvent = 4
	eventPause     = 15 * time.Millisecond
	// firstEventAfter is the time to the first event.
	firstEventAfter = 30 * time.Millisecond
	serverSlots     = 64
)

// modelServer is a model server that follows PROTOCOL.md.
type modelServer struct {
	id      string
	address string
	record  *record
	http    *http.Server
}

// startModel starts a server.
func startModel(id string, r *record) (*modelServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &modelServer{id: id, address: listener.Addr().String(), record: r}
	m.http = &http.Server{Handler: m}
	go func() { _ = m.http.Serve(listener) }()
	return m, nil
}

// ServeHTTP implements http.Handler.
func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Rookpass-Instance-Id", m.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get("X-Rookpass-Request-Id")
	w.Header().Set("X-Rookpass-Request-Id", request)
	if expected := r.Header.Get("X-Rookpass-Expect-Instance"); expected != "" && expected != m.id {
		w.Header().Set("X-Rookpass-Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.record.event("server %s runs %s", m.id, request)
	w.Header().Set("X-Rookpass-Response-Seal", "seal."+request)
	w.Header().Set("X-Rookpass-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(firstEventAfter)
	for n := 1; n <= eventsPerTurn; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, request, n) // the caller may have gone
		w.(http.Flusher).Flush()
		time.Sleep(eventPause)
	}
}
