package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/node"
)

func TestShow(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == node.StatusPath && r.URL.Query().Get("program") == "p 1" && r.URL.Query().Get("organisation") == "o 1")
		_, _ = w.Write([]byte(`{"node":"front-1"}`))
	}))
	defer server.Close()
	var out bytes.Buffer
	assert.NilError(t, show(&out, server.Listener.Addr().String(), "o 1", "p 1"))
	assert.Equal(t, out.String(), "{\n  \"node\": \"front-1\"\n}")
	assert.ErrorContains(t, show(&out, "", "", ""), "--address")
	assert.ErrorContains(t, show(&out, "127.0.0.1:1", "", ""), "refused")
}

func TestMissingSettings(t *testing.T) {
	t.Setenv("ROOKPASS_NODE_FILE", "")
	assert.ErrorContains(t, run(options{}), "ROOKPASS_NODE_FILE")
}
