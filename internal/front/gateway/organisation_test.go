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
	// keyWithdrawal and keyAddition are when a withdrawn and an added key must be known.
	keyWithdrawal = 5 * time.Second
	keyAddition   = 3 * time.Second
)

// limits grants requests, or answers with an error.
type limits struct {
	mu    sync.Mutex
	asked []quota.Request
	err   error
	wait  time.Duration
}

func (c *limits) Take(_ context.Context, r quota.Request) (*quota.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, r)
	if c.err != nil {
		return nil, c.err
	}
	return &quota.Grant{Wait: c.wait}, nil
}

// keyed puts a configuration in force whose callers need keys, as of an age.
func (r *rig) keyed(age time.Duration, organisations ...catalog.Organisation) {
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

// who answers with the organisation that a server was told.
func who(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
	text := r.Header.Get("Organisation")
	for name, values := range r.Header {
		if strings.Contains(strings.Join(values, " "), "key-of-") {
			text = "the key came along in " + name
		}
	}
	_, _ = w.Write([]byte(text))
}

func TestKeyProvesAnOrganisation(t *testing.T) {
	r := newRig(t, who)
	r.config.Routes = append(r.config.Routes, catalog.Route{Name: "open", Host: "127.0.0.1", Prefix: "/open/", Kind: catalog.Idempotent,
		MaxAttempts: 1, Targets: []catalog.Target{{Service: "svc", Weight: 1}}, Public: true})
	r.keyed(0, organisation("north", "key-of-north", "key-of-both"), organisation("south", "key-of-south", "key-of-both"))
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
			assert.Assert(t, !strings.Contains(got.body, "key-of"), "an answer holds a key: %q", got.body)
		})
	}
}

// TestOldConfigurationProvesNothing: a daemon that may have missed a key's withdrawal or addition says that it isn't sure.
func TestOldConfigurationProvesNothing(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		key    string
		status int
	}{
		{0, "key-of-north", http.StatusOK},
		{keyAddition + 100*time.Millisecond, "key-of-north", http.StatusOK},
		{keyAddition + 100*time.Millisecond, "key-of-nobody", http.StatusServiceUnavailable},
		{keyWithdrawal, "key-of-north", http.StatusServiceUnavailable},
	} {
		r := newRig(t, who)
		r.keyed(c.age, organisation("north", "key-of-north"))
		got := r.send("/twice/", "x", "Api-Key", c.key)
		assert.Equal(t, got.status, c.status, "%+v", c)
		assert.Equal(t, got.header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable, "%+v", c)
	}
	r := newRig(t, who)
	r.config.Version++
	r.config.RequireKeys, r.config.Organisations = true, []catalog.Organisation{organisation("north", "key-of-north")}
	r.configs.Reset([]objectapi.Object{{Key: "c/main"}}, 2) // an old copy: nobody has said that it is the newest
	assert.Equal(t, r.send("/twice/", "x", "Api-Key", "key-of-north").status, http.StatusServiceUnavailable)
}

// awaitWaiting returns once so many turns wait for a place.
func (r *rig) awaitWaiting(n int) {
	for r.gate.Waiting() < n {
		runtime.Gosched()
	}
}

// TestWithdrawnWhileItWaited: a turn that waited for a place is looked at again before it goes to a server.
func TestWithdrawnWhileItWaited(t *testing.T) {
	release := make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		<-release
		stream(w, req)
	})
	r.keyed(0, organisation("north", "key-of-north"), organisation("south", "key-of-south"))
	var done sync.WaitGroup
	for i := range 8 { // more than the server takes
		done.Go(func() { r.send("/turn/", strings.Repeat("x", i+1), "Api-Key", "key-of-north", "Program", "p") })
	}
	r.awaitWaiting(1)
	waiting := make(chan reply)
	go func() { waiting <- r.send("/turn/", "waits", "Api-Key", "key-of-south", "Program", "q") }()
	r.awaitWaiting(r.gate.Waiting() + 1)
	r.keyed(0, organisation("north", "key-of-north"))
	close(release)
	assert.Equal(t, (<-waiting).status, http.StatusUnauthorized)
	done.Wait()
}

// TestOrganisationsShareNoTurns: ids of two organisations may be equal, and nobody goes on from another's turn.
func TestOrganisationsShareNoTurns(t *testing.T) {
	var prompts []string
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body) // it is compared below
		prompts = append(prompts, string(body))
		stream(w, req)
	})
	r.keyed(0, organisation("north", "key-of-north"), organisation("south", "key-of-south"))
	assert.Equal(t, r.send("/turn/", "a", "Api-Key", "key-of-north", "Program", "p").status, http.StatusOK)
	assert.Equal(t, r.send("/turn/", "b", "Api-Key", "key-of-south", "Program", "p", "Previous", "id-a").status, http.StatusNotFound)
	assert.Equal(t, r.send("/turn/", "b", "Api-Key", "key-of-north", "Program", "p", "Previous", "id-a").status, http.StatusOK)
	assert.Equal(t, r.send("/turn/", "a", "Api-Key", "key-of-south", "Program", "p").status, http.StatusOK, "the same id is another turn")
	assert.Equal(t, len(prompts), 3)
	assert.Equal(t, prompts[2], "a")
}

func TestLimitOfAnOrganisation(t *testing.T) {
	r := newRig(t, who)
	bounded := organisation("north", "key-of-north")
	bounded.Limit = quota.Limit{PerSecond: 5, Burst: 5}
	r.keyed(0, bounded, organisation("south", "key-of-south"))
	assert.Equal(t, r.send("/twice/", "x", "Api-Key", "key-of-south").status, http.StatusOK)
	assert.Equal(t, len(r.quotas.asked), 0, "nobody counts what has no limit")
	assert.Equal(t, r.send("/twice/", "x", "Api-Key", "key-of-north").status, http.StatusOK)
	assert.DeepEqual(t, r.quotas.asked, []quota.Request{{Organisation: "north", Limit: bounded.Limit, Version: r.config.Version}})
	r.quotas.err = &quota.OverLimitError{Wait: 700 * time.Millisecond}
	got := r.send("/twice/", "x", "Api-Key", "key-of-north")
	assert.Equal(t, got.status, http.StatusTooManyRequests)
	assert.Assert(t, got.header.Get("Retry-After") > "0.4", got.header.Get("Retry-After"))
	r.quotas.err = quota.ErrUnavailable
	assert.Equal(t, r.send("/twice/", "x", "Api-Key", "key-of-north").status, http.StatusServiceUnavailable)
	r.quotas.err = nil
	r.send("/turn/", "first", "Api-Key", "key-of-north", "Program", "p")
	assert.Assert(t, r.quotas.asked[len(r.quotas.asked)-1].First, "a program begins")
	r.send("/turn/", "next", "Api-Key", "key-of-north", "Program", "p", "Previous", "id-first")
	assert.Assert(t, !r.quotas.asked[len(r.quotas.asked)-1].First)
}
