package quarantine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// newsTime is the time within which all daemons in touch must know of a quarantine: callers come back later.
const newsTime = 80 * time.Millisecond

// fleet is a set of registrars on an in-memory network, and the clients of front daemons.
type fleet struct {
	t         *testing.T
	fabric    *memnet.Fabric
	addresses []string
	fronts    []*quarantine.Client
	stops     []context.CancelFunc
}

func registrarName(i int) string { return fmt.Sprint("store-", i) }

func newFleet(t *testing.T, fronts int) *fleet {
	f := &fleet{t: t, fabric: memnet.New()}
	for i := range quarantine.RegistrarCount {
		f.addresses = append(f.addresses, registrarName(i)+":1")
		f.startRegistrar(i)
	}
	for range fronts {
		f.startFront()
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		for i := range quarantine.RegistrarCount {
			f.fabric.Kill(registrarName(i))
		}
		time.Sleep(time.Minute) // timers of closed connections expire
	})
	time.Sleep(time.Second)
	return f
}

func (f *fleet) startRegistrar(i int) {
	l, err := f.fabric.Listen(registrarName(i), f.addresses[i])
	assert.NilError(f.t, err)
	service := quarantine.NewService()
	go func() { _ = peerlink.Serve(l, map[string]any{quarantine.ServiceName: service}) }()
}

func frontName(i int) string { return fmt.Sprint("front-", i) }

// startFront starts a front daemon.
func (f *fleet) startFront() {
	name := frontName(len(f.fronts))
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.fabric.Dial(ctx, name, address)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := quarantine.NewClient(peerlink.NewPool(dial), peerlink.NewPool(dial), func() []string { return f.addresses }, log)
	ctx, stop := context.WithCancel(context.Background())
	f.fronts, f.stops = append(f.fronts, c), append(f.stops, stop)
	go func() { _ = c.Run(ctx) }()
}

var content = []quarantine.Key{{1}}

// goodAnswers are more than outweigh what is too much of three ends.
const goodAnswers = 8

// end ends a server under one attempt at a front daemon.
func (f *fleet) end(front int, server string) quarantine.State {
	now := time.Now()
	return f.fronts[front].ServerEnded(context.Background(), content, 0,
		quarantine.End{Server: incarnation.ID{Server: server}, Attempt: server, SentAt: now.Add(-time.Millisecond), EndedAt: now})
}

// endThree ends three servers under the same content at three front daemons, with the pauses of callers.
func (f *fleet) endThree() {
	for i := range 3 {
		state := f.end(i, fmt.Sprint("server-", i))
		assert.Equal(f.t, len(state.Ends), i+1)
		assert.Equal(f.t, state.Quarantined, i == 2, "after %d ends", i+1)
		if i < 2 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (f *fleet) checkAll(quarantined bool) {
	f.t.Helper()
	for i, c := range f.fronts {
		assert.Equal(f.t, c.State(content).Quarantined, quarantined, "front %d", i)
	}
}

// TestAllDaemonsLearnOfQuarantineBeforeCallersReturn guards against a try at another daemon that does not know yet, with 8
// and with 400 daemons.
func TestAllDaemonsLearnOfQuarantineBeforeCallersReturn(t *testing.T) {
	for _, fronts := range []int{8, 400} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, fronts)
			f.endThree()
			time.Sleep(newsTime)
			f.checkAll(true)
			f.startFront()
			time.Sleep(newsTime)
			assert.Assert(t, f.fronts[fronts].Synced() && f.fronts[fronts].State(content).Quarantined, "a daemon that starts later does not learn of it")
		})
	}
}

// TestQuarantineSurvivesRegistrars guards against ends that are forgotten when one registrar is killed, cut off, silent or
// started again with nothing, between the ends or after them.
func TestQuarantineSurvivesRegistrars(t *testing.T) {
	restart := func(f *fleet) {
		f.fabric.Kill(registrarName(0))
		f.fabric.Restart(registrarName(0))
		f.startRegistrar(0)
	}
	for name, fault := range map[string]func(f *fleet){
		"killed":  func(f *fleet) { f.fabric.Kill(registrarName(0)) },
		"silent":  func(f *fleet) { f.fabric.Freeze(registrarName(0)) },
		"restart": restart,
	} {
		for _, after := range []int{0, 1, 2, 3} {
			t.Run(fmt.Sprint(name, " after ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 8)
					for i := range 3 {
						if i == after {
							fault(f)
						}
						f.end(i, fmt.Sprint("server-", i))
						time.Sleep(100 * time.Millisecond)
					}
					if after == 3 {
						fault(f)
					}
					time.Sleep(5 * time.Second) // a poll of the registrar has timed out
					f.checkAll(true)
					f.startFront()
					time.Sleep(2 * time.Second)
					f.checkAll(true)
					f.fabric.Thaw(registrarName(0))
				})
			})
		}
	}
}

// TestDaemonWithoutRegistrarsGoesByItsOwn guards against ends without limit at a daemon that reaches no registrar, and
// against requests that wait for one.
func TestDaemonWithoutRegistrarsGoesByItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		for i := range quarantine.RegistrarCount {
			f.fabric.Freeze(registrarName(i))
		}
		began := time.Now()
		for i := range 3 {
			assert.Equal(t, f.end(0, fmt.Sprint("server-", i)).Quarantined, i == 2)
		}
		assert.Assert(t, time.Since(began) < 300*time.Millisecond, "took %v", time.Since(began))
		for i := range quarantine.RegistrarCount {
			f.fabric.Thaw(registrarName(i))
		}
	})
}

// TestDaemonThatKnowsBetterObjects guards against refusals of requests that another daemon has seen answered, and because
// of servers that respond to another daemon.
func TestDaemonThatKnowsBetterObjects(t *testing.T) {
	for name, know := range map[string]func(c *quarantine.Client){
		"answered before the ends": func(c *quarantine.Client) { c.Answered(content, 0) },
		"answered after it":        nil,
		"server responds":          func(c *quarantine.Client) { c.Responded(incarnation.ID{Server: "server-1"}, time.Now(), time.Time{}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8)
				if name == "answered before the ends" {
					know(f.fronts[7])
				}
				for i := range 3 { // at once, as by a common cause
					go f.end(i, fmt.Sprint("server-", i))
				}
				time.Sleep(newsTime)
				switch name {
				case "answered after it":
					f.checkAll(true)
					f.fronts[7].Answered(content, 0)
				case "server responds":
					f.checkAll(true)
					know(f.fronts[7])
				}
				time.Sleep(newsTime)
				f.checkAll(false)
			})
		})
	}
}

// TestLateResponseOfEndedServerIsNoObjection guards against an end that is taken back because a response that the server sent
// before was read later.
func TestLateResponseOfEndedServerIsNoObjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		sentAt := time.Now()
		time.Sleep(100 * time.Millisecond)
		f.endThree()
		time.Sleep(newsTime)
		f.fronts[7].Responded(incarnation.ID{Server: "server-1"}, sentAt, time.Time{})
		time.Sleep(newsTime)
		f.checkAll(true)
	})
}

// TestQuarantineIsLiftedEverywhere guards against daemons that go on refusing a request after it was cleared, the one whose
// registrar was away meanwhile included.
func TestQuarantineIsLiftedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.endThree()
		time.Sleep(newsTime)
		f.fabric.Kill(registrarName(1))
		for range goodAnswers {
			f.fronts[0].Answered(content, 0)
		}
		time.Sleep(newsTime)
		f.fabric.Restart(registrarName(1))
		f.startRegistrar(1)
		time.Sleep(5 * time.Second)
		f.checkAll(false)
	})
}

// TestEndBesideOtherFailuresCounts guards against a fourth server that ends under a request since the third ended while a daemon saw
// other requests fail.
func TestEndBesideOtherFailuresCounts(t *testing.T) {
	for ends, want := range map[int]bool{0: false, 2: true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8)
			fail := func(keys []quarantine.Key, server string) {
				now := time.Now()
				f.fronts[0].AttemptFailed(context.Background(), quarantine.Suspect{Keys: keys, Counts: true, End: quarantine.End{
					Server: incarnation.ID{Server: server}, Attempt: server, SentAt: now.Add(-time.Millisecond), EndedAt: now, Evidence: quarantine.Broken}})
			}
			for i := range ends {
				f.end(0, fmt.Sprint("server-", i))
				time.Sleep(100 * time.Millisecond)
			}
			for i := range 4 {
				fail([]quarantine.Key{{2, byte(i)}}, fmt.Sprint("other-", i))
			}
			for i := range 3 - ends {
				fail(content, fmt.Sprint("last-", i))
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(newsTime)
			f.checkAll(want)
		})
	}
}

// giveUp records a copy at a server that a front daemon has given up.
func (f *fleet) giveUp(front int, server string, tell bool) *quarantine.AtRisk {
	return f.fronts[front].GivenUp(&quarantine.Copy{Keys: content, Server: incarnation.ID{Server: server}, Attempt: server, SentAt: time.Now()}, nil, tell)
}

// TestGivenUpCopiesHoldBackOthersUntilDecided guards against copies at other daemons that are sent while three may still end their
// servers, and against refusals for the sake of copies whose servers have not ended.
func TestGivenUpCopiesHoldBackOthersUntilDecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		var copies []*quarantine.AtRisk
		for i := range 3 {
			copies = append(copies, f.giveUp(i, fmt.Sprint("server-", i), true))
			time.Sleep(newsTime)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		permit, _ := f.fronts[7].Admit(ctx, content, 0, 0)
		cancel()
		assert.Assert(t, permit == nil, "a fourth copy was admitted")

		f.fronts[0].Decided(copies[0])
		time.Sleep(newsTime)
		permit, state := f.fronts[7].Admit(t.Context(), content, 0, 0)
		assert.Assert(t, permit != nil && !state.Quarantined, "held back although a server has outlived its copy")
		f.fronts[7].Release(permit)

		f.giveUp(3, "server-3", true)
		time.Sleep(newsTime)
		began := time.Now()
		_, state = f.fronts[6].Admit(t.Context(), content, 0, 0)
		assert.Assert(t, !state.Quarantined, "refused although no server has ended")
		assert.Assert(t, time.Since(began) > time.Second, "sent before the fates of the copies were known")
	})
}

// TestUntoldCopiesAreDisclosed guards against copies that registrars don't know of since too many were told, under a request that has
// ended servers.
func TestUntoldCopiesAreDisclosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		f.giveUp(0, "server-0", false)
		f.end(1, "server-1")
		time.Sleep(newsTime)
		f.end(2, "server-2")
		time.Sleep(newsTime)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		permit, _ := f.fronts[7].Admit(ctx, content, 0, 0)
		assert.Assert(t, permit == nil, "two servers have ended and a third may")
	})
}

// TestTakenBackEndDoesNotCount guards against ends of servers that stood still and are known to live.
func TestTakenBackEndDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		for i := range 2 {
			server := incarnation.ID{Server: fmt.Sprint("server-", i)}
			open := quarantine.End{Server: server, Attempt: server.Server, SentAt: time.Now(), EndedAt: time.Now(), Evidence: quarantine.Silent}
			f.fronts[i].AttemptFailed(t.Context(), quarantine.Suspect{Keys: content, End: open, Counts: true})
			time.Sleep(newsTime)
		}
		assert.Equal(t, len(f.fronts[7].State(content).Ends), 2)
		f.fronts[0].TakeBack(&quarantine.Copy{Keys: content, Server: incarnation.ID{Server: "server-0"}, Attempt: "server-0"})
		time.Sleep(newsTime)
		assert.Equal(t, len(f.fronts[7].State(content).Ends), 1)
	})
}
