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

// list is a handler whose entries read "good BORN" or name the reason why they are refused.
type list struct {
	*catalog.ServersHandler
	catalog *catalog.Catalog
	refused map[catalog.RefusalReason]int
	started []incarnation.ID
	// logged counts log lines by event.
	logged map[string]int
}

// Levels implements logrus.Hook.
func (l *list) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (l *list) Fire(e *logrus.Entry) error {
	l.logged[fmt.Sprint(e.Data["event"])]++
	return nil
}

func newList() *list {
	l := &list{catalog: catalog.New(), refused: map[catalog.RefusalReason]int{}, logged: map[string]int{}}
	o := options(l.catalog)
	o.Decode = func(object objectapi.Object) (catalog.Server, error) {
		server := catalog.Server{ID: id(object.Key[2:]), Service: "svc"}
		if _, err := fmt.Sscanf(string(object.Value), "good %d", &server.ID.Born); err != nil {
			return catalog.Server{}, &catalog.EntryError{Reason: catalog.RefusalReason(object.Value), Field: "field"}
		}
		return server, nil
	}
	o.OnRefused = func(reason catalog.RefusalReason) { l.refused[reason]++ }
	o.OnStarted = func(id incarnation.ID) { l.started = append(l.started, id) }
	log := logrus.New()
	log.SetOutput(new(strings.Builder))
	log.AddHook(l)
	o.Log = log
	l.ServersHandler = catalog.NewServersHandler(o)
	return l
}

func at(name, value string, revision uint64) objectapi.Object {
	return objectapi.Object{Key: "s/" + name, Value: []byte(value), Version: revision}
}

func (l *list) change(revision uint64, objects ...objectapi.Object) {
	for _, o := range objects {
		l.Change(objectapi.Event{Object: o})
	}
	l.Confirm(revision, time.Now())
}

// inUse returns the servers that requests may go to.
func (l *list) inUse() []string {
	var names []string
	for _, server := range l.catalog.Servers().All() {
		names = append(names, server.ID.String())
	}
	return names
}

// TestRefusedEntryTakesItsServerOutOfUse: at once, however it comes, and until a good one comes; the others hold.
func TestRefusedEntryTakesItsServerOutOfUse(t *testing.T) {
	odd := string(catalog.RefusedFieldMistyped)
	for how, write := range map[string]func(*list){
		"as a change": func(l *list) { l.change(5, at("a", odd, 5)) },
		"in a list": func(l *list) {
			l.Reset([]objectapi.Object{at("a", odd, 5), at("b", "good 1", 2)}, 5)
			l.Confirm(5, time.Now())
		},
		"after an outage": func(l *list) {
			l.SourceUnavailable()
			time.Sleep(4 * time.Second)
			l.change(5, at("a", odd, 5))
		},
		"for a missing entry": func(l *list) {
			l.SourceUnavailable()
			l.Change(gone("a"))
			l.change(5, at("a", odd, 5))
		},
		"for a held entry": func(l *list) {
			l.SourceUnavailable()
			time.Sleep(4 * time.Second)
			l.Change(gone("a"))
			l.Confirm(4, time.Now())
			assert.DeepEqual(t, l.inUse(), []string{"a@1", "b@1"})
			l.change(5, at("a", odd, 5))
		},
	} {
		t.Run(strings.ReplaceAll(how, " ", "-"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newList()
				l.Reset([]objectapi.Object{at("a", "good 1", 1), at("b", "good 1", 2)}, 3)
				l.Confirm(3, time.Now())
				write(l)
				assert.DeepEqual(t, l.inUse(), []string{"b@1"})
				time.Sleep(10 * time.Second) // nothing that is held brings it back
				assert.DeepEqual(t, l.inUse(), []string{"b@1"})
				l.Change(gone("a"))
				l.Confirm(6, time.Now())
				assert.DeepEqual(t, l.inUse(), []string{"b@1"}) // a refused entry leaves nothing behind
				l.change(7, at("a", "good 1", 7))
				assert.DeepEqual(t, l.inUse(), []string{"a@1", "b@1"})
			})
		})
	}
}

// TestRepeatedRefusalIsLoggedOnce: a writer that goes on writing the same is counted, and not logged again.
func TestRepeatedRefusalIsLoggedOnce(t *testing.T) {
	l := newList()
	l.Reset([]objectapi.Object{at("a", "good 1", 1)}, 1)
	for revision := range uint64(50) {
		l.change(revision+2, at("a", string(catalog.RefusedUnknownState), revision+2))
	}
	assert.Equal(t, l.logged["server-refused"], 1)
	assert.DeepEqual(t, l.refused, map[catalog.RefusalReason]int{catalog.RefusedUnknownState: 50})
	l.change(90, at("a", string(catalog.RefusedFieldMissing), 90))
	assert.Equal(t, l.logged["server-refused"], 2, "another reason is news")
}

// TestErrorsWithoutAReasonAreRefusals: what a decoder can't explain is no server either.
func TestErrorsWithoutAReasonAreRefusals(t *testing.T) {
	c := catalog.New()
	o := options(c)
	o.Decode = func(objectapi.Object) (catalog.Server, error) { return catalog.Server{}, errors.New("no reason") }
	catalog.NewServersHandler(o).Reset([]objectapi.Object{entry("a")}, 1)
	assert.Equal(t, c.Servers().Len(), 0)
}

// TestServersStartAgain: the newest start is the one in use and the others are told of it; what the list said before,
// told again, changes nothing.
func TestServersStartAgain(t *testing.T) {
	l := newList()
	l.Reset([]objectapi.Object{at("a", "good 100", 1), at("b", "good 1", 2)}, 3)
	l.change(5, at("a", "good 200", 5))
	assert.DeepEqual(t, l.inUse(), []string{"a@200", "b@1"})
	assert.Assert(t, !l.catalog.Servers().Has(incarnation.ID{Server: "a", Born: 100}))
	l.change(6, at("a", "good 100", 1))
	l.Reset([]objectapi.Object{at("a", "good 100", 1), at("b", "good 1", 2)}, 6)
	assert.DeepEqual(t, l.inUse(), []string{"a@200", "b@1"}) // word of an earlier start, told late
	l.change(8, at("a", "good 200", 8))
	want := []incarnation.ID{{Server: "a", Born: 100}, {Server: "b", Born: 1}, {Server: "a", Born: 200}}
	byName := func(a, b incarnation.ID) int { return strings.Compare(a.String(), b.String()) }
	slices.SortFunc(l.started, byName)
	slices.SortFunc(want, byName)
	assert.DeepEqual(t, l.started, want)
	l.change(9, at("a", "good 150", 9))
	assert.DeepEqual(t, l.inUse(), []string{"a@150", "b@1"}) // the store's order decides: the VM's clock may have been set back
}

// TestChangesToldTwiceEndWhereTheyWere: a watch that begins before its list tells of entries that were replaced since.
func TestChangesToldTwiceEndWhereTheyWere(t *testing.T) {
	l := newList()
	l.Reset([]objectapi.Object{at("a", string(catalog.RefusedUnknownState), 7), at("b", "good 3", 6)}, 7)
	for _, o := range []objectapi.Object{at("a", "good 1", 3), at("b", "good 2", 4), at("b", "good 3", 6), at("a", string(catalog.RefusedUnknownState), 7)} {
		l.change(7, o)
		assert.DeepEqual(t, l.inUse(), []string{"b@3"})
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(l.refused)), []catalog.RefusalReason{catalog.RefusedUnknownState})
}
