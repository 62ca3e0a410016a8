package objectapi_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/objects/objectapi/httpapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/testing/standin"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// harness is one implementation under test, with access to its backing store and to injected faults.
type harness struct {
	api   objectapi.API
	store *memapi.API
	fault *apitest.API
}

// implementations holds the in-memory API and the HTTP client connected to the stand-in server.
var implementations = map[string]func(t *testing.T) harness{
	"memory": func(*testing.T) harness {
		store := memapi.New()
		fault := apitest.New(store)
		return harness{api: fault, store: store, fault: fault}
	},
	"http": func(t *testing.T) harness {
		store := memapi.New()
		fault := apitest.New(store)
		listener := fasthttputil.NewInmemoryListener()
		server := &fasthttp.Server{Handler: standin.ObjectAPI(fault), NoDefaultDate: true}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(listener)
		}()
		client := httpapi.New("127.0.0.1:1", func(string) (net.Conn, error) { return listener.Dial() })
		t.Cleanup(func() {
			client.Close()
			_ = listener.Close()
			_ = server.Shutdown()
			<-done
		})
		return harness{api: client, store: store, fault: fault}
	},
}

var contract = []struct {
	name string
	run  func(ctx context.Context, t *testing.T, h harness)
}{
	{"create, read, replace, delete", func(ctx context.Context, t *testing.T, h harness) {
		created, err := h.api.Put(ctx, "a/1", []byte("one"), objectapi.MustNotExist)
		assert.NilError(t, err)
		read, err := h.api.Get(ctx, "a/1")
		assert.NilError(t, err)
		assert.Equal(t, string(read.Value), "one")
		assert.Equal(t, read.Version, created.Version)
		replaced, err := h.api.Put(ctx, "a/1", []byte("two"), created.Version)
		assert.NilError(t, err)
		assert.Assert(t, replaced.Version > created.Version)
		_, err = h.api.Delete(ctx, "a/1", replaced.Version)
		assert.NilError(t, err)
		_, err = h.api.Get(ctx, "a/1")
		assert.ErrorIs(t, err, objectapi.ErrNotFound)
	}},
	{"a condition that does not hold changes nothing", func(ctx context.Context, t *testing.T, h harness) {
		created, err := h.api.Put(ctx, "a/1", []byte("one"), objectapi.MustNotExist)
		assert.NilError(t, err)
		_, err = h.api.Put(ctx, "a/1", []byte("two"), objectapi.MustNotExist)
		assert.ErrorIs(t, err, objectapi.ErrConflict)
		_, err = h.api.Put(ctx, "a/1", []byte("two"), created.Version+7)
		assert.ErrorIs(t, err, objectapi.ErrConflict)
		_, err = h.api.Delete(ctx, "a/1", created.Version+7)
		assert.ErrorIs(t, err, objectapi.ErrConflict)
		_, err = h.api.Delete(ctx, "a/2", 1)
		assert.ErrorIs(t, err, objectapi.ErrNotFound)
		read, err := h.api.Get(ctx, "a/1")
		assert.NilError(t, err)
		assert.Equal(t, string(read.Value), "one")
	}},
	{"a list is ordered and bounded by its prefix", func(ctx context.Context, t *testing.T, h harness) {
		for _, key := range []string{"b/2", "a/9", "b/1", "c/1"} {
			_, err := h.api.Put(ctx, key, []byte(key), objectapi.MustNotExist)
			assert.NilError(t, err)
		}
		listed, err := h.api.List(ctx, "b/")
		assert.NilError(t, err)
		assert.Equal(t, len(listed.Objects), 2)
		assert.Equal(t, listed.Objects[0].Key, "b/1")
		assert.Equal(t, listed.Objects[1].Key, "b/2")
		assert.Equal(t, listed.Version, uint64(4))
	}},
	{"a watch wakes at a change below its prefixes only", func(ctx context.Context, t *testing.T, h harness) {
		go func() {
			<-time.After(time.Second)
			_, _ = h.store.Put(ctx, "x/1", nil, objectapi.MustNotExist)
			<-time.After(time.Second)
			_, _ = h.store.Put(ctx, "b/1", nil, objectapi.MustNotExist)
		}()
		began := time.Now()
		batch, err := h.api.Wait(ctx, []string{"a/", "b/"}, 0, 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Events), 1)
		assert.Equal(t, batch.Events[0].Key, "b/1")
		assert.Equal(t, time.Since(began), 2*time.Second)
	}},
	{"a watch without a change ends after its wait", func(ctx context.Context, t *testing.T, h harness) {
		began := time.Now()
		batch, err := h.api.Wait(ctx, []string{"a/"}, 0, 3*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Events), 0)
		assert.Equal(t, time.Since(began), 3*time.Second)
	}},
	{"a watch resumes over a gap and sees deletions", func(ctx context.Context, t *testing.T, h harness) {
		created, err := h.api.Put(ctx, "a/1", nil, objectapi.MustNotExist)
		assert.NilError(t, err)
		_, err = h.api.Delete(ctx, "a/1", created.Version)
		assert.NilError(t, err)
		batch, err := h.api.Wait(ctx, []string{"a/"}, 0, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Events), 2)
		assert.Assert(t, batch.Events[1].Deleted)
	}},
	{"a watch from a version that is gone says so", func(ctx context.Context, t *testing.T, h harness) {
		_, err := h.api.Put(ctx, "a/1", nil, objectapi.MustNotExist)
		assert.NilError(t, err)
		h.store.Compact()
		_, err = h.api.Wait(ctx, []string{"a/"}, 0, time.Second)
		assert.ErrorIs(t, err, objectapi.ErrGone)
	}},
	{"a value above the bound is refused", func(ctx context.Context, t *testing.T, h harness) {
		_, err := h.api.Put(ctx, "a/1", make([]byte, objectapi.MaxValueBytes+1), objectapi.MustNotExist)
		assert.ErrorIs(t, err, objectapi.ErrTooLarge)
	}},
	{"an outage is no effect", func(ctx context.Context, t *testing.T, h harness) {
		h.fault.SetFault(apitest.Down)
		_, err := h.api.Put(ctx, "a/1", nil, objectapi.MustNotExist)
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		_, err = h.api.Get(ctx, "a/1")
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		_, err = h.store.Get(ctx, "a/1")
		assert.ErrorIs(t, err, objectapi.ErrNotFound)
	}},
	{"a lost answer is an unknown outcome", func(ctx context.Context, t *testing.T, h harness) {
		h.fault.SetFault(apitest.LostResponses)
		_, err := h.api.Put(ctx, "a/1", []byte("one"), objectapi.MustNotExist)
		assert.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
		read, err := h.api.Get(ctx, "a/1")
		assert.NilError(t, err)
		assert.Equal(t, string(read.Value), "one")
	}},
	{"a hung write is an unknown outcome, a hung read is none", func(ctx context.Context, t *testing.T, h harness) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		h.fault.SetFault(apitest.Hang)
		defer h.fault.SetFault(apitest.None)
		_, err := h.api.Put(ctx, "a/1", nil, objectapi.MustNotExist)
		assert.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
		_, err = h.api.Get(ctx, "a/1")
		assert.Assert(t, errors.Is(err, objectapi.ErrUnavailable))
	}},
}

func TestObjectAPIContract(t *testing.T) {
	for name, open := range implementations {
		for _, row := range contract {
			t.Run(name+"/"+row.name, func(t *testing.T) {
				testbubble.Run(t, func(t *testing.T) { row.run(t.Context(), t, open(t)) })
			})
		}
	}
}

func TestMain(m *testing.M) {
	testbubble.Prepare()
	m.Run()
}
