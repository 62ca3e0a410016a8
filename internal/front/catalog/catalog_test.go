package catalog_test

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	table := catalog.NewTable(catalog.Config{Routes: []catalog.Route{
		{Name: "a", Host: "h", Prefix: "/a/"}, {Name: "ab", Host: "h", Prefix: "/a/b/"}, {Name: "root", Host: "other", Prefix: "/"},
	}})
	for path, want := range map[string]string{"/a/x": "a", "/a/b/x": "ab", "/a/b": "a", "/a/bc/": "a", "/a/": "a", "/a": "", "/b/": "", "": "", "*": ""} {
		route := table.Route("h", path)
		name := ""
		if route != nil {
			name = route.Name
		}
		assert.Equal(t, name, want, "path %q", path)
	}
	assert.Equal(t, table.Route("other", "/any/x").Name, "root")
	assert.Assert(t, table.Route("unknown", "/a/x") == nil)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	route := catalog.Route{Targets: []catalog.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.PickService(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, (&catalog.Route{}).PickService(0.5), "")
}

// TestConfigVersionNeverDecreases checks that an older version is not applied, whether it comes in a list or as a
// change.
func TestConfigVersionNeverDecreases(t *testing.T) {
	c := catalog.New()
	decode := func(o objectapi.Object) (catalog.Config, bool, error) {
		version, err := strconv.ParseInt(string(o.Value), 10, 64)
		return catalog.Config{Version: version}, o.Key == "c/main", err
	}
	h := catalog.NewConfigHandler(c, "c/", decode, discardLogger())
	object := func(key, value string) objectapi.Object { return objectapi.Object{Key: key, Value: []byte(value)} }
	assert.Assert(t, c.Table() == nil)
	h.Reset([]objectapi.Object{object("c/other", "99"), object("c/main", "5")}, 1)
	assert.Equal(t, c.Table().Config.Version, int64(5))
	h.Change(objectapi.Event{Object: object("c/main", "4")})
	h.Change(objectapi.Event{Object: object("c/main", "malformed")})
	h.Change(objectapi.Event{Object: object("c/main", "9"), Deleted: true})
	assert.Equal(t, c.Table().Config.Version, int64(5))
	h.Change(objectapi.Event{Object: object("c/main", "7")})
	h.Reset([]objectapi.Object{object("c/main", "6")}, 9)
	assert.Equal(t, c.Table().Config.Version, int64(7))
}

// TestConfigAge checks that the age counts from the latest confirmation, and is not renewed while the newest
// configuration is malformed.
func TestConfigAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := catalog.New()
		decode := func(o objectapi.Object) (catalog.Config, bool, error) {
			version, err := strconv.ParseInt(string(o.Value), 10, 64)
			return catalog.Config{Version: version}, true, err
		}
		h := catalog.NewConfigHandler(c, "c/", decode, discardLogger())
		age := func() time.Duration {
			_, age := c.TableWithAge()
			return age
		}
		assert.Assert(t, age() > 24*time.Hour, "never confirmed")
		h.Reset([]objectapi.Object{{Key: "c/main", Value: []byte("5")}}, 1)
		assert.Assert(t, age() > 24*time.Hour, "a list alone confirms nothing")
		h.Watermark(time.Now().Add(-time.Second))
		assert.Equal(t, age(), time.Second)
		h.Watermark(time.Now().Add(-2 * time.Second))
		assert.Equal(t, age(), time.Second, "an earlier confirmation must not increase the age")
		time.Sleep(time.Second)
		h.Change(objectapi.Event{Object: objectapi.Object{Key: "c/main", Value: []byte("malformed")}})
		h.Watermark(time.Now())
		assert.Equal(t, age(), 2*time.Second, "a malformed configuration must not be confirmed")
		h.Change(objectapi.Event{Object: objectapi.Object{Key: "c/main", Value: []byte("7")}})
		h.Watermark(time.Now())
		assert.Equal(t, age(), time.Duration(0))
	})
}

// TestMetricLabelsAreBounded checks that only the organisations with the highest limits have a label of their own.
func TestMetricLabelsAreBounded(t *testing.T) {
	var config catalog.Config
	for i := range 11_000 {
		config.Organisations = append(config.Organisations, catalog.Organisation{Name: fmt.Sprint("o", i), Limit: quota.Limit{PerSecond: float64(i)}})
	}
	table := catalog.NewTable(config)
	labels := map[string]bool{}
	for _, o := range config.Organisations {
		labels[table.MetricLabel(o.Name)] = true
	}
	assert.Assert(t, len(labels) <= 21, "%d", len(labels))
	assert.Assert(t, labels["o10999"] && labels[catalog.OthersLabel])
}

// newHandler returns a handler of entries written as service@address.
func newHandler(c *catalog.Catalog) *catalog.ServersHandler {
	return catalog.NewServersHandler(handlerOptions(c))
}

func handlerOptions(c *catalog.Catalog) catalog.ServersOptions {
	decode := func(o objectapi.Object) (catalog.Server, error) {
		service, address, _ := strings.Cut(string(o.Value), "@")
		return catalog.Server{ID: id(o.Key[2:]), Service: service, Address: address}, nil
	}
	return catalog.ServersOptions{Catalog: c, Prefix: "s/", Decode: decode, LeaseExpiry: policy.NewLeaseExpiry(1200 * time.Millisecond), Log: discardLogger()}
}

// id returns an incarnation of a server that never restarts.
func id(server string) incarnation.ID { return incarnation.ID{Server: server} }

func entry(name string) objectapi.Object {
	return objectapi.Object{Key: "s/" + name, Value: []byte("svc@" + name)}
}

func deletion(name string) objectapi.Event {
	return objectapi.Event{Object: objectapi.Object{Key: "s/" + name}, Deleted: true}
}

func TestServersFollowEntries(t *testing.T) {
	c := catalog.New()
	h := newHandler(c)
	h.Reset([]objectapi.Object{entry("a"), entry("b")}, 1)
	h.Change(objectapi.Event{Object: entry("c")})
	h.Change(deletion("a"))
	h.Confirm(2, time.Now())
	assert.Equal(t, len(c.Servers().Pool("svc").Servers), 2)
	assert.Assert(t, !c.Servers().Has(id("a")))
	for _, name := range []string{"b", "c"} {
		address, known := c.Servers().Address(id(name))
		assert.Assert(t, known)
		assert.Equal(t, address, name)
	}
	h.Reset([]objectapi.Object{entry("c")}, 5)
	assert.Equal(t, c.Servers().Len(), 1)
}

// TestExpiredEntriesKeptForGracePeriodAfterOutage checks that a server whose entry is missing when the store is back
// is kept for as long as a live server needs to renew its entry, and no longer.
func TestExpiredEntriesKeptForGracePeriodAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := catalog.New()
		h := newHandler(c)
		h.Reset([]objectapi.Object{entry("back"), entry("dead")}, 1)
		h.SourceUnavailable()
		time.Sleep(3 * time.Second)
		h.SourceUnavailable()
		assert.Equal(t, c.Servers().Len(), 2, "the last list stays in use during an outage")
		h.Change(deletion("back"))
		h.Change(deletion("dead"))
		h.Confirm(5, time.Now())
		assert.Equal(t, c.Servers().Len(), 2)
		time.Sleep(2 * time.Second)
		h.Change(objectapi.Event{Object: entry("back")})
		h.Confirm(6, time.Now())
		assert.Equal(t, c.Servers().Len(), 2)
		time.Sleep(300 * time.Millisecond)
		h.Confirm(7, time.Now())
		assert.Assert(t, c.Servers().Has(id("back")))
		assert.Assert(t, !c.Servers().Has(id("dead")))
		h.Change(deletion("back"))
		h.Confirm(8, time.Now())
		assert.Equal(t, c.Servers().Len(), 0, "without an outage a server is removed with its entry")
	})
}

func TestShortOutageHasNoGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := catalog.New()
		h := newHandler(c)
		h.Reset([]objectapi.Object{entry("a")}, 1)
		h.Confirm(1, time.Now())
		h.SourceUnavailable()
		time.Sleep(500 * time.Millisecond)
		h.Reset(nil, 2)
		h.Confirm(2, time.Now())
		assert.Equal(t, c.Servers().Len(), 0)
	})
}

// TestShortOutageDoesNotEndGracePeriod checks a second, short outage after a long one in which entries expired.
func TestShortOutageDoesNotEndGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := catalog.New()
		h := newHandler(c)
		h.Reset([]objectapi.Object{entry("a"), entry("b")}, 1)
		h.Confirm(1, time.Now())
		h.SourceUnavailable()
		time.Sleep(3 * time.Second)
		h.Change(deletion("a"))
		h.Confirm(2, time.Now())
		h.SourceUnavailable()
		time.Sleep(500 * time.Millisecond)
		h.Change(deletion("b"))
		h.Confirm(3, time.Now())
		assert.Equal(t, c.Servers().Len(), 2)
		time.Sleep(1800 * time.Millisecond)
		assert.Equal(t, c.Servers().Len(), 0)
	})
}

// TestGracePeriodEndsWithoutConfirmation checks that a server whose entry is not back is removed when the period ends,
// though the store sends nothing then.
func TestGracePeriodEndsWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := catalog.New()
		h := newHandler(c)
		h.Reset([]objectapi.Object{entry("dead")}, 1)
		h.Confirm(1, time.Now())
		time.Sleep(3 * time.Second)
		h.SourceUnavailable()
		h.Change(deletion("dead"))
		assert.Equal(t, c.Servers().Len(), 1)
		h.Confirm(2, time.Now().Add(-500*time.Millisecond)) // a mirror's state of half a second ago
		time.Sleep(1600 * time.Millisecond)
		assert.Equal(t, c.Servers().Len(), 1)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, c.Servers().Len(), 0)
	})
}

// TestOutageCountsFromLastConfirmation checks an outage of 3 s, of which 2.5 s passed before it was detected.
func TestOutageCountsFromLastConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := catalog.New()
		h := newHandler(c)
		h.Reset([]objectapi.Object{entry("lapsed"), entry("leaving")}, 1)
		h.Confirm(1, time.Now())
		time.Sleep(2500 * time.Millisecond)
		h.SourceUnavailable()
		time.Sleep(500 * time.Millisecond)
		h.Change(deletion("lapsed"))
		h.Confirm(2, time.Now())
		assert.Assert(t, c.Servers().Has(id("lapsed")))
		time.Sleep(time.Second)
		h.Change(objectapi.Event{Object: entry("lapsed")})
		h.Confirm(3, time.Now())
		time.Sleep(5 * time.Second)
		assert.Assert(t, c.Servers().Has(id("lapsed")))
	})
}

// BenchmarkManyServersAdded adds 3,000 servers in one batch.
func BenchmarkManyServersAdded(b *testing.B) {
	for b.Loop() {
		h := newHandler(catalog.New())
		for i := range 3000 {
			h.Change(objectapi.Event{Object: entry(strconv.Itoa(i))})
		}
		h.Confirm(1, time.Now())
	}
}
