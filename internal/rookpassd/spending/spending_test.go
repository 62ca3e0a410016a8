package spending_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/rookpassd/spending"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

const budget = 10_000

// ledgers simulates several daemons that share one object API.
type ledgers struct {
	api  *apitest.API
	mu   sync.Mutex
	dead map[string]bool
}

func (l *ledgers) ended(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead[incarnation]
}

func (l *ledgers) kill(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead[incarnation] = true
}

func (l *ledgers) open(incarnation string) *spending.Ledger {
	return spending.New(spending.Options{
		API: l.api, Limiter: rate.NewLimiter(rate.Inf, 1), Incarnation: incarnation,
		Budget: func(organisation string) int64 {
			if organisation == "unbounded" {
				return 0
			}
			return budget
		},
		Ended: l.ended,
	})
}

func newLedgers() *ledgers {
	return &ledgers{api: apitest.New(memapi.New()), dead: map[string]bool{}}
}

// spendAll spends from a ledger until the budget is exhausted and returns the tokens spent.
func spendAll(ctx context.Context, l *spending.Ledger, cost int64) (int64, error) {
	var spent int64
	for {
		settle, err := l.Reserve(ctx, "o", 100)
		if verdict.IsCode(err, verdict.BudgetExhausted) {
			return spent, err
		}
		if err != nil {
			<-time.After(time.Second)
			continue
		}
		settle(cost)
		spent += cost
	}
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault apitest.Fault
		// kill ends the incarnation of one daemon during the test.
		kill bool
	}{
		{"no fault", apitest.None, false},
		{"answers are lost", apitest.LostResponses, false},
		{"requests are lost", apitest.LostRequests, false},
		{"outage", apitest.Down, false},
		{"a daemon dies", apitest.None, true},
		{"a daemon dies while answers are lost", apitest.LostResponses, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				all := newLedgers()
				all.api.SetDelay(3 * time.Millisecond)
				all.api.SetFault(row.fault)
				time.AfterFunc(5*time.Second, func() { all.api.SetFault(apitest.None) })
				spent := make(chan int64, 3)
				for i := range 3 {
					l := all.open(fmt.Sprintf("d%d", i))
					go func() {
						s, err := spendAll(t.Context(), l, 100)
						assert.Check(t, verdict.Of(err).Verdict == verdict.NotRun)
						spent <- s
					}()
				}
				if row.kill {
					time.AfterFunc(6*time.Second, func() { all.kill("d0") })
				}
				total := <-spent + <-spent + <-spent
				assert.Assert(t, total <= budget, "spent %d", total)
				assert.Assert(t, total >= budget/2, "only %d of %d could be spent", total, budget)
			})
		})
	}
}

func TestUnusedSlicesGoBack(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		all := newLedgers()
		first, second := all.open("d1"), all.open("d2")
		settle, err := first.Reserve(t.Context(), "o", 100)
		assert.NilError(t, err)
		settle(40)
		first.SettleAll(t.Context()) // Counts the used tokens as spent.
		first.SettleAll(t.Context()) // Returns the rest, because nothing was reserved since.
		spent, _ := spendAll(t.Context(), second, 100)
		assert.Equal(t, spent, int64((budget-40)/100*100))
	})
}

func TestNoBudgetNoBound(t *testing.T) {
	all := newLedgers()
	all.api.SetFault(apitest.Down)
	settle, err := all.open("d1").Reserve(t.Context(), "unbounded", 1<<40)
	assert.NilError(t, err)
	settle(1 << 40)
}

func TestRefusalChangesNothing(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		all := newLedgers()
		l := all.open("d1")
		_, err := l.Reserve(t.Context(), "o", budget+1)
		assert.Equal(t, verdict.Of(err).Code, verdict.BudgetExhausted)
		settle, err := l.Reserve(t.Context(), "o", budget)
		assert.NilError(t, err)
		settle(budget)
		_, err = l.Reserve(t.Context(), "o", 1)
		assert.Equal(t, verdict.Of(err).Code, verdict.BudgetExhausted)
	})
}
