package dispatch

import (
	"maps"
	"math"
	"time"

	"github.com/rookpass/rookpass/internal/decide/admission"
	"github.com/rookpass/rookpass/internal/decide/fairqueue"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/share"
)

// serviceQueue holds the calls of one service. It is guarded by Scheduler.mu.
type serviceQueue struct {
	queue   fairqueue.Queue
	running share.Demand
	slots   int
	// peers is the demand of all other daemons together.
	peers Demand
	// started is how many calls run, or wait and belong to a started program.
	started map[account]int
	// lastWait is when a call last had to wait.
	lastWait time.Time
	// admitted is the rate of admitted calls, admittedNew that of calls of new programs, by level.
	admitted, admittedNew map[int]*rate
}

// account names the calls of an organisation at a level.
type account struct {
	level        int
	organisation string
}

func newServiceQueue() *serviceQueue {
	return &serviceQueue{running: share.Demand{}, started: map[account]int{}, admitted: map[int]*rate{}, admittedNew: map[int]*rate{}}
}

func accountOf(c *Call) account { return account{c.Level, c.Organisation} }

// demand returns how many calls are under way or waiting.
func (q *serviceQueue) demand() Demand {
	d := Demand{All: maps.Clone(q.running), Started: share.Demand{}}
	q.queue.AddTo(d.All)
	for a, calls := range q.started {
		d.Started[a.level] += calls
	}
	return d
}

// addStarted counts calls that run, or wait and belong to a started program.
func (q *serviceQueue) addStarted(c *Call, by int) {
	if q.started[accountOf(c)] += by; q.started[accountOf(c)] == 0 {
		delete(q.started, accountOf(c))
	}
}

// share returns how many calls this daemon may have under way; at least 1.
func (q *serviceQueue) share() int {
	return max(1, int(share.Slots(q.slots, q.demand().All, q.peers.All)+0.5))
}

// grant admits as many calls as this daemon's share of the slots allows, the most urgent level first.
func (q *serviceQueue) grant() {
	for _, level := range q.queue.Levels() {
		for q.running.Total() < q.share() {
			next := q.queue.Pop(level, q.mayGo)
			if next == nil {
				break
			}
			q.admit(next.Value.(*waiter))
		}
	}
}

// mayGo reports whether a waiting call may take a slot.
func (q *serviceQueue) mayGo(call *policy.QueuedCall) bool {
	w := call.Value.(*waiter)
	return w.call.ProgramStarted || !w.call.Competing || admission.MayStart(q.loadFor(w.call))
}

// admit lets a call go ahead that was taken from the queue.
func (q *serviceQueue) admit(w *waiter) {
	now, level := time.Now(), w.call.Level
	q.running[level]++
	rateOf(q.admitted, level).add(now)
	if !w.call.ProgramStarted {
		q.addStarted(w.call, 1)
	}
	if w.queued.Class == policy.NewOnTime {
		rateOf(q.admittedNew, level).add(now)
	}
	close(w.granted)
}

// loadFor returns the load that decides whether a call's program may start.
func (q *serviceQueue) loadFor(c *Call) admission.Load {
	l := admission.Load{Slots: q.slots, Started: q.peers.Started.UpTo(c.Level), OfOrganisation: q.started[accountOf(c)]}
	for a, calls := range q.started {
		if a.level <= c.Level {
			l.Started += calls
		}
		if a.level == c.Level {
			l.Organisations++
			l.OwnTotal += calls
		}
	}
	return l
}

// remove removes a call that is not going to be admitted.
func (q *serviceQueue) remove(w *waiter) {
	q.queue.Remove(w.call.Level, w.queued)
	if w.call.ProgramStarted {
		q.addStarted(w.call, -1)
	}
}

// ended counts an admitted call as ended.
func (q *serviceQueue) ended(c *Call) {
	if q.running[c.Level]--; q.running[c.Level] == 0 {
		delete(q.running, c.Level)
	}
	q.addStarted(c, -1)
	q.grant()
}

// rateFor returns the rate at which slots become available to a call: those of its level and, since they yield, of the
// less urgent ones. A new program only gets those of its level that started programs leave.
func (q *serviceQueue) rateFor(c *Call, now time.Time) float64 {
	sum := 0.0
	for level, r := range q.admitted {
		switch {
		case level > c.Level, level == c.Level && c.ProgramStarted:
			sum += r.read(now)
		case level == c.Level:
			sum += rateOf(q.admittedNew, level).read(now)
		}
	}
	return sum
}

// rateOf returns the rate of a level.
func rateOf(rates map[int]*rate, level int) *rate {
	r := rates[level]
	if r == nil {
		r = &rate{}
		rates[level] = r
	}
	return r
}

// rate is the exponentially weighted number of events per second, with the time constant rateWindow.
type rate struct {
	events float64
	at     time.Time
}

// rateWindow is the time constant over which rates of calls are averaged.
const rateWindow = time.Second

func (r *rate) add(now time.Time) {
	r.events = r.read(now)*rateWindow.Seconds() + 1
	r.at = now
}

func (r *rate) read(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.events * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds()) / rateWindow.Seconds()
}
