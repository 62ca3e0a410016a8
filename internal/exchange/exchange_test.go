package exchange_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/exchange"
)

func swap(t *testing.T, s *exchange.Service, from string, suspects ...string) exchange.Reply {
	t.Helper()
	var reply exchange.Reply
	assert.NilError(t, s.Swap(&exchange.Args{From: from, Suspects: suspects}, &reply))
	slices.Sort(reply.Peers)
	return reply
}

func TestDaemonsLearnOfOneAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := exchange.NewService()
		swap(t, s, "a", "s1", "s2")
		swap(t, s, "b", "s2")
		got := swap(t, s, "c")
		assert.DeepEqual(t, got, exchange.Reply{Peers: []string{"a", "b"}, Suspects: map[string]int{"s1": 1, "s2": 2}})
		// A daemon's own word does not come back to it, and only its newest counts.
		assert.DeepEqual(t, swap(t, s, "a"), exchange.Reply{Peers: []string{"b", "c"}, Suspects: map[string]int{"s2": 1}})
		time.Sleep(4 * time.Second)
		assert.DeepEqual(t, swap(t, s, "c"), exchange.Reply{Suspects: map[string]int{}})
	})
}
