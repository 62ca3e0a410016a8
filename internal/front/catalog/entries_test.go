package catalog_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// entryFixture is a handler whose entries are "good BORN", or else the reason for which they are refused.
type entryFixture struct {
	*catalog.ServersHandler
	catalog  *catalog.Catalog
	refusals map[catalog.RefusalReason]int
	started  []incarnation.ID
	// logLines counts log lines by event.
	logLines map[string]int
}

// Levels implements logrus.Hook.
func (l *entryFixture) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (l *entryFixture) Fire(e *logrus.Entry) error {
	l.logLines[fmt.Sprint(e.Data["event"])]++
	return nil
}

func newEntryFixture() *entryFixture {
	l := &entryFixture{catalog: catalog.New(), refusals: map[catalog.RefusalReason]int{}, logLines: map[string]int{}}
	o := handlerOptions(l.catalog)
	o.Decode = func(object objectapi.Object) (catalog.Server, error) {
		server := catalog.Server{ID: id(object.Key[2:]), Service: "svc"}
		if _, err := fmt.Sscanf(string(object.Value), "good %d", &server.ID.Born); err != nil {
			return catalog.Server{}, &catalog.EntryError{Reason: catalog.RefusalReason(object.Value), Field: "field"}
		}
		return server, nil
	}
	o.OnRefused = func(reason catalog.RefusalReason) { l.refusals[reason]++ }
	o.OnStarted = func(id incarnation.ID) { l.started = append(l.started, id) }
	log := logrus.New()
	log.SetOutput(new(strings.Builder))
	log.AddHook(l)
	o.Log = log
	l.ServersHandler = catalog.NewServersHandler(o)
	return l
}

func objectAt(name, value string, revision uint64) objectapi.Object {
	return objectapi.Object{Key: "s/" + name, Value: []byte(value), Version: revision}
}

func (l *entryFixture) change(revision uint64, objects ...objectapi.Object) {
	for _, o := range objects {
		l.Change(objectapi.Event{Object: o})
	}
	l.Confirm(revision, time.Now())
}

// usableServers returns the servers that requests may use.
func (l *entryFixture) usableServers() []string {
	var names []string
	for _, server := range l.catalog.Servers().All() {
		names = append(names, server.ID.String())
	}
	return names
}

// TestRefusedEntryRemovesServer checks that a server with a refused entry is removed at once and until a valid entry
// comes; other servers stay.
func TestRefusedEntryRemovesServer(t *testing.T) {
	invalid := string(catalog.RefusedFieldMistyped)
	for how, write := range map[string]func(*entryFixture){
		"as a change": func(l *entryFixture) { l.change(5, objectAt("a", invalid, 5)) },
		"in a list": func(l *entryFixture) {
			l.Reset([]objectapi.Object{objectAt("a", invalid, 5), objectAt("b", "good 1", 2)}, 5)
			l.Confirm(5, time.Now())
		},
		"after an outage": func(l *entryFixture) {
			l.SourceUnavailable()
			time.Sleep(4 * time.Second)
			l.change(5, objectAt("a", invalid, 5))
		},
		"for a missing entry": func(l *entryFixture) {
			l.SourceUnavailable()
			l.Change(deletion("a"))
			l.change(5, objectAt("a", invalid, 5))
		},
		"for a held entry": func(l *entryFixture) {
			l.SourceUnavailable()
			time.Sleep(4 * time.Second)
			l.Change(deletion("a"))
			l.Confirm(4, time.Now())
			assert.DeepEqual(t, l.usableServers(), []string{"a@1", "b@1"})
			l.change(5, objectAt("a", invalid, 5))
		},
	} {
		t.Run(strings.ReplaceAll(how, " ", "-"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newEntryFixture()
				l.Reset([]objectapi.Object{objectAt("a", "good 1", 1), objectAt("b", "good 1", 2)}, 3)
				l.Confirm(3, time.Now())
				write(l)
				assert.DeepEqual(t, l.usableServers(), []string{"b@1"})
				time.Sleep(10 * time.Second) // the grace period must not bring it back
				assert.DeepEqual(t, l.usableServers(), []string{"b@1"})
				l.Change(deletion("a"))
				l.Confirm(6, time.Now())
				assert.DeepEqual(t, l.usableServers(), []string{"b@1"}) // a deleted refused entry has no grace period
				l.change(7, objectAt("a", "good 1", 7))
				assert.DeepEqual(t, l.usableServers(), []string{"a@1", "b@1"})
			})
		})
	}
}

// TestRepeatedRefusalIsLoggedOnce checks that further refusals for the same reason are counted but not logged.
func TestRepeatedRefusalIsLoggedOnce(t *testing.T) {
	l := newEntryFixture()
	l.Reset([]objectapi.Object{objectAt("a", "good 1", 1)}, 1)
	for revision := range uint64(50) {
		l.change(revision+2, objectAt("a", string(catalog.RefusedUnknownState), revision+2))
	}
	assert.Equal(t, l.logLines["server-refused"], 1)
	assert.DeepEqual(t, l.refusals, map[catalog.RefusalReason]int{catalog.RefusedUnknownState: 50})
	l.change(90, objectAt("a", string(catalog.RefusedFieldMissing), 90))
	assert.Equal(t, l.logLines["server-refused"], 2, "a new reason must be logged")
}

func TestUntypedDecodeErrorIsRefusal(t *testing.T) {
	c := catalog.New()
	o := handlerOptions(c)
	o.Decode = func(objectapi.Object) (catalog.Server, error) { return catalog.Server{}, errors.New("no reason") }
	catalog.NewServersHandler(o).Reset([]objectapi.Object{entry("a")}, 1)
	assert.Equal(t, c.Servers().Len(), 0)
}

// TestServerRestart checks that the newest incarnation is used and reported once; stale entries of earlier ones change
// nothing.
func TestServerRestart(t *testing.T) {
	l := newEntryFixture()
	l.Reset([]objectapi.Object{objectAt("a", "good 100", 1), objectAt("b", "good 1", 2)}, 3)
	l.change(5, objectAt("a", "good 200", 5))
	assert.DeepEqual(t, l.usableServers(), []string{"a@200", "b@1"})
	assert.Assert(t, !l.catalog.Servers().Has(incarnation.ID{Server: "a", Born: 100}))
	l.change(6, objectAt("a", "good 100", 1))
	l.Reset([]objectapi.Object{objectAt("a", "good 100", 1), objectAt("b", "good 1", 2)}, 6)
	assert.DeepEqual(t, l.usableServers(), []string{"a@200", "b@1"}) // stale entries of an earlier incarnation
	l.change(8, objectAt("a", "good 200", 8))
	want := []incarnation.ID{{Server: "a", Born: 100}, {Server: "b", Born: 1}, {Server: "a", Born: 200}}
	byName := func(a, b incarnation.ID) int { return strings.Compare(a.String(), b.String()) }
	slices.SortFunc(l.started, byName)
	slices.SortFunc(want, byName)
	assert.DeepEqual(t, l.started, want)
	l.change(9, objectAt("a", "good 150", 9))
	assert.DeepEqual(t, l.usableServers(), []string{"a@150", "b@1"}) // the store's revision decides, as the VM's clock may have been set back
}

// TestStaleChangesAreIgnored checks a watch that begins before its list and repeats entries that have been replaced
// since.
func TestStaleChangesAreIgnored(t *testing.T) {
	l := newEntryFixture()
	l.Reset([]objectapi.Object{objectAt("a", string(catalog.RefusedUnknownState), 7), objectAt("b", "good 3", 6)}, 7)
	for _, o := range []objectapi.Object{objectAt("a", "good 1", 3), objectAt("b", "good 2", 4), objectAt("b", "good 3", 6), objectAt("a", string(catalog.RefusedUnknownState), 7)} {
		l.change(7, o)
		assert.DeepEqual(t, l.usableServers(), []string{"b@3"})
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(l.refusals)), []catalog.RefusalReason{catalog.RefusedUnknownState})
}
