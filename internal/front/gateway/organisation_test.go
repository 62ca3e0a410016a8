package gateway_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/secret"
	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

const (
	// maxRevocationDelay and maxAdditionDelay are the times within which a revoked and an added key must be known.
	maxRevocationDelay = 5 * time.Second
	maxAdditionDelay   = 3 * time.Second
)

// fakeQuotas grants all requests, or returns err.
type fakeQuotas struct {
	mu       sync.Mutex
	requests []quota.Request
	err      error
	wait     time.Duration
}

func (c *fakeQuotas) Take(_ context.Context, r quota.Request) (*quota.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
	if c.err != nil {
		return nil, c.err
	}
	return &quota.Grant{Wait: c.wait}, nil
}

// requireKeys applies a configuration that requires keys and was confirmed the given time ago.
func (r *fixture) requireKeys(age time.Duration, organisations ...catalog.Organisation) {
	r.config.Version++
	r.config.RequireKeys, r.config.Organisations = true, organisations
	r.configs.Change(objectapi.Event{Object: objectapi.Object{Key: "c/main"}})
	r.configs.Watermark(time.Now().Add(-age))
}

func organisation(name string, keys ...string) catalog.Organisation {
	o := catalog.Organisation{Name: name}
	for _, key := range keys {
		o.Keys = append(o.Keys, secret.HashOf(key))
	}
	return o
}

// echoOrganisation responds with the organisation that the server was told, or with an error if a header has a key.
func echoOrganisation(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
	text := r.Header.Get("Organisation")
	for name, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), "key-of-") {
			text = "key forwarded in header " + name
		}
	}
	_, _ = w.Write([]byte(text))
}

func TestAPIKeyIdentifiesOrganisation(t *testing.T) {
	r := newFixture(t, echoOrganisation)
	r.config.Routes = append(r.config.Routes, catalog.Route{Name: "open", Host: "127.0.0.1", Prefix: "/open/", Kind: catalog.Idempotent,
		MaxAttempts: 1, Targets: []catalog.Target{{Service: "svc", Weight: 1}}, Public: true})
	r.requireKeys(0, organisation("north", "key-of-north", "key-of-both"), organisation("south", "key-of-south", "key-of-both"))
	for name, c := range map[string]struct {
		path, key string
		status    int
		told      string
	}{
		"known":               {"/twice/", "key-of-south", http.StatusOK, "south"},
		"unknown":             {"/twice/", "key-of-nobody", http.StatusUnauthorized, ""},
		"none":                {"/twice/", "", http.StatusUnauthorized, ""},
		"claimed twice":       {"/twice/", "key-of-both", http.StatusUnauthorized, ""},
		"with more behind it": {"/twice/", "key-of-south, key-of-north", http.StatusUnauthorized, ""},
		"open route":          {"/open/", "", http.StatusOK, ""},
		"open, with a key":    {"/open/", "key-of-nobody", http.StatusOK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := r.send(c.path, "x", "Api-Key", c.key, "X-Rookpass-Tenant", "north")
			assert.Equal(t, got.status, c.status)
			if c.status == http.StatusOK {
				assert.Equal(t, got.body, c.told)
			}
			assert.Assert(t, !strings.Contains(got.body, "key-of"), "response contains a key: %q", got.body)
		})
	}
}

// TestKeysWithStaleConfig checks that a daemon that may have missed a key's revocation or addition refuses with a
// retryable status.
func TestKeysWithStaleConfig(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		key    string
		status int
	}{
		{0, "key-of-north", http.StatusOK},
		{maxAdditionDelay + 100*time.Millisecond, "key-of-north", http.StatusOK},
		{maxAdditionDelay + 100*time.Millisecond, "key-of-nobody", http.StatusServiceUnavailable},
		{maxRevocationDelay, "key-of-north", http.StatusServiceUnavailable},
	} {
		r := newFixture(t, echoOrganisation)
		r.requireKeys(c.age, organisation("north", "key-of-north"))
		got := r.send("/twice/", "x", "Api-Key", c.key)
		assert.Equal(t, got.status, c.status, "%+v", c)
		assert.Equal(t, got.header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable, "%+v", c)
	}
	r := newFixture(t, echoOrganisation)
	r.config.Version++
	r.config.RequireKeys, r.config.Organisations = true, []catalog.Organisation{organisation("north", "key-of-north")}
	r.configs.Reset([]objectapi.Object{{Key: "c/main"}}, 2) // a list that was not confirmed to be the newest
	assert.Equal(t, r.send("/twice/", "x", "Api-Key", "key-of-north").status, http.StatusServiceUnavailable)
}

// waitUntilQueued returns once the scheduler has at least n queued turns.
func (r *fixture) waitUntilQueued(n int) {
	for r.scheduler.Waiting() < n {
		runtime.Gosched()
	}
}

// TestKeyRevokedWhileQueued checks that the key is checked again before a queued turn is sent to a server.
func TestKeyRevokedWhileQueued(t *testing.T) {
	release := make(chan struct{})
	r := newFixture(t, func(w http.ResponseWriter, req *http.Request) {
		<-release
		stream(w, req)
	})
	r.requireKeys(0, organisation("north", "key-of-north"), organisation("south", "key-of-south"))
	var done sync.WaitGroup
	for i := range 8 { // more than the server has slots
		done.Go(func() { r.send("/turn/", strings.Repeat("x", i+1), "Api-Key", "key-of-north", "Program", "p") })
	}
	r.waitUntilQueued(1)
	waiting := make(chan reply)
	go func() { waiting <- r.send("/turn/", "waits", "Api-Key", "key-of-south", "Program", "q") }()
	r.waitUntilQueued(r.scheduler.Waiting() + 1)
	r.requireKeys(0, organisation("north", "key-of-north"))
	close(release)
	assert.Equal(t, (<-waiting).status, http.StatusUnauthorized)
	done.Wait()
}

// TestTurnsAreScopedToOrganisation checks that ids of two organisations may be equal, and no caller can continue
// another organisation's turn.
func TestTurnsAreScopedToOrganisation(t *testing.T) {
	var prompts []string
	r := newFixture(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body) // a truncated body fails the comparison below
		prompts = append(prompts, string(body))
		stream(w, req)
	})
	r.requireKeys(0, organisation("north", "key-of-north"), organisation("south", "key-of-south"))
	assert.Equal(t, r.send("/turn/", "a", "Api-Key", "key-of-north", "Program", "p").status, http.StatusOK)
	assert.Equal(t, r.send("/turn/", "b", "Api-Key", "key-of-south", "Program", "p", "Previous", "id-a").status, http.StatusNotFound)
	assert.Equal(t, r.send("/turn/", "b", "Api-Key", "key-of-north", "Program", "p", "Previous", "id-a").status, http.StatusOK)
	assert.Equal(t, r.send("/turn/", "a", "Api-Key", "key-of-south", "Program", "p").status, http.StatusOK, "the same id of another organisation is another turn")
	assert.Equal(t, len(prompts), 3)
	assert.Equal(t, prompts[2], "a")
}

func TestOrganisationRateLimit(t *testing.T) {
	r := newFixture(t, echoOrganisation)
	bounded := organisation("north", "key-of-north")
	bounded.Limit = quota.Limit{PerSecond: 5, Burst: 5}
	r.requireKeys(0, bounded, organisation("south", "key-of-south"))
	assert.Equal(t, r.send("/twice/", "x", "Api-Key", "key-of-south").status, http.StatusOK)
	assert.Equal(t, len(r.quotas.requests), 0, "requests without a limit must not be counted")
	assert.Equal(t, r.send("/twice/", "x", "Api-Key", "key-of-north").status, http.StatusOK)
	assert.DeepEqual(t, r.quotas.requests, []quota.Request{{Organisation: "north", Limit: bounded.Limit, Version: r.config.Version}})
	r.quotas.err = &quota.OverLimitError{Wait: 700 * time.Millisecond}
	got := r.send("/twice/", "x", "Api-Key", "key-of-north")
	assert.Equal(t, got.status, http.StatusTooManyRequests)
	assert.Assert(t, got.header.Get("Retry-After") > "0.4", got.header.Get("Retry-After"))
	r.quotas.err = quota.ErrUnavailable
	assert.Equal(t, r.send("/twice/", "x", "Api-Key", "key-of-north").status, http.StatusServiceUnavailable)
	r.quotas.err = nil
	r.send("/turn/", "first", "Api-Key", "key-of-north", "Program", "p")
	assert.Assert(t, r.quotas.requests[len(r.quotas.requests)-1].First, "the first turn of a program must be marked")
	r.send("/turn/", "next", "Api-Key", "key-of-north", "Program", "p", "Previous", "id-first")
	assert.Assert(t, !r.quotas.requests[len(r.quotas.requests)-1].First)
}
