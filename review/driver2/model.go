package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	modelService = "lm-pool"
	toolService  = "feed-api"
	// tokensPerEvent and eventsPerTurn are the size of each answer of a model server.
	tokensPerEvent = 3
	eventsPerTurn  = 4
	eventInterval  = 10 * time.Millisecond
)

// model is a backend server of a service. It runs every request that is meant for it.
type model struct {
	id, service, zone, address string
	record                     *recorder
	http                       *http.Server
}

func startModel(id, service, zone string, record *recorder) (*model, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &model{id: id, service: service, zone: zone, address: listener.Addr().String(), record: record}
	m.http = &http.Server{Handler: m}
	go func() { _ = m.http.Serve(listener) }() // ends with close
	return m, nil
}

// entry is what the server writes to the platform's store.
func (m *model) entry() map[string]any {
	return map[string]any{"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 32,
		"state": "ready", "cold_left_ms": 0, "call_seq": 1}
}

// eventData returns the data of the n-th event of the answer to a request.
func eventData(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// ServeHTTP implements http.Handler.
func (m *model) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Rookpass-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Rookpass-Request-Id", id)
	w.Header().Set("X-Rookpass-Instance-Id", m.id)
	switch {
	case id == "":
		w.Header().Set("X-Rookpass-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("X-Rookpass-Expect-Instance") != m.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.record.add("run      %s at %s, %d bytes", id, m.id, len(body))
	w.Header().Set("X-Rookpass-Response-Seal", "seal-"+id)
	if m.service == toolService {
		_, _ = io.WriteString(w, "done "+id) // the client may have left
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= eventsPerTurn; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)) // as above
		w.(http.Flusher).Flush()
		if waitFor(r.Context(), eventInterval) != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (m *model) close() { _ = m.http.Close() }

// waitFor waits for d, or returns the error of ctx if that ends before.
func waitFor(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// operatorConfig is the configuration that the operator writes.
func operatorConfig() json.RawMessage {
	return json.RawMessage(strings.NewReplacer("MODEL", modelService, "TOOL", toolService).Replace(`{"version":7,"routes":[
{"name":"r-turn","host":"agents.example","path_prefix":"/turn/","kind":"stream","timeout_ms":5000,"slo_ms":200,"priority":0,"service":"MODEL","max_attempts":2,"retain":true,"retain_s":60.0,"sticky":true,"can_resume":false,"gap_target_ms":400},
{"name":"r-tool","host":"agents.example","path_prefix":"/tool/","kind":"safe","timeout_ms":2000,"slo_ms":400,"priority":2,"service":"TOOL","max_attempts":3,"retain":false,"sticky":false,"can_resume":false}],
"services":[{"name":"MODEL","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":211374,"event_tokens":3,"most":12,"models":[{"name":"m"}]}},
{"name":"TOOL","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
}
