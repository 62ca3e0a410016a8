// Package crowds plays clients that don't keep to the limits against real daemons. Its tests need the machine for
// themselves.
package crowds

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/platform/platformtest"
)

// TestCrowdDoesNotEndOrHangFront guards against memory that no budget counts and connections that leave none for others.
func TestCrowdDoesNotEndOrHangFront(t *testing.T) {
	s := newSystem(t, 1)
	for i, k := range kinds {
		s.run(k.name, func(t *testing.T) {
			d := s.fronts[0]
			if i > 0 {
				d.kill()
				d.start()
			}
			s.awaitReady()
			s.checkServes(d, "/lookup/")
			check := watchLimits(t, d)
			w := gather(d.callers(), crowdSize, k.act)
			time.Sleep(crowdTime)
			w.leave()
			s.checkServes(d, "/lookup/")
			d.checkGivesBack(platformtest.CallerPort)
			check()
		})
	}
}

// TestFrontLearnsChangesAfterItsDescriptorsWereUsedUp guards against an error of one accept that ends the watches of a front
// daemon.
func TestFrontLearnsChangesAfterItsDescriptorsWereUsedUp(t *testing.T) {
	s := newSystem(t, 1)
	d := s.fronts[0]
	check := watchLimits(t, d)
	w := gather(d.callers(), frontDescriptors+200, kindOf("nothing").act)
	time.Sleep(time.Second)
	peers := gather(d.address(platformtest.FirstPort), 10, func(c *client) { _ = c.send("127.0.0.1:1\n"); c.hold() })
	time.Sleep(crowdTime)
	assert.Check(t, d.connections(platformtest.CallerPort) > 0) // the count sees them
	peers.leave()
	w.leave()
	s.checkServes(d, "/lookup/")
	s.checkServes(d, fmt.Sprintf("/new%d/", s.publishConfig()))
	d.checkGivesBack(platformtest.CallerPort)
	check()
}

// TestCrowdAtOtherAddressesDoesNotEndOrHangFront guards against limits that only the callers' address has.
func TestCrowdAtOtherAddressesDoesNotEndOrHangFront(t *testing.T) {
	s := newSystem(t, 1)
	d := s.fronts[0]
	for _, at := range []struct {
		name string
		port int
	}{{"readiness", platformtest.ReadyPort}, {"metrics", platformtest.FirstPort + 1}, {"peers", platformtest.FirstPort}} {
		for _, name := range []string{"nothing", "fields held", "line without end", "fields without end"} {
			s.run(at.name+"/"+name, func(t *testing.T) {
				d.kill()
				d.start()
				s.awaitReady()
				check := watchLimits(t, d)
				size := crowdSize
				if name == "nothing" {
					size = frontDescriptors + 200
				}
				w := gather(d.address(at.port), size, kindOf(name).act)
				time.Sleep(crowdTime)
				w.leave()
				s.checkServes(d, "/lookup/")
				s.checkServes(d, fmt.Sprintf("/new%d/", s.publishConfig()))
				s.awaitReady()
				d.checkGivesBack(at.port)
				check()
			})
		}
	}
}

// The beginnings of messages of net/rpc that declare so much.
const (
	gobOf9MB   = "\xfd\x90\x00\x00"
	gobOf900MB = "\xfc\x36\x00\x00\x00"
)

// storeKinds are the ways of clients at the address for other daemons.
var storeKinds = []kind{
	kindOf("nothing"), kindOf("fields held"), kindOf("line without end"),
	{"message of 9 MB that does not come", func(c *client) { _ = c.send(gobOf9MB); c.hold() }},
	{"message of 9 MB that trickles", func(c *client) {
		if c.send(gobOf9MB) {
			c.trickle(longText[:1000], 100*time.Millisecond)
		}
	}},
	{"message of 900 MB", func(c *client) {
		if c.send(gobOf900MB) {
			c.repeat(longText)
		}
	}},
}

// TestCrowdDoesNotEndOrHangStores guards against the same faults in store daemons, by what a front needs of them afterwards.
func TestCrowdDoesNotEndOrHangStores(t *testing.T) {
	s := newSystem(t, 1)
	for _, port := range []int{platformtest.ControlPort, platformtest.FirstPort} {
		for _, k := range storeKinds {
			s.run(fmt.Sprint(k.name, " at ", port), func(t *testing.T) {
				var checks []func()
				var crowds []*crowd
				for _, d := range s.stores {
					if !d.alive() {
						d.start()
					}
					checks = append(checks, watchLimits(t, d))
					size := crowdSize
					if k.name == "nothing" {
						size = storeDescriptors + 200
					}
					crowds = append(crowds, gather(d.address(port), size, k.act))
				}
				time.Sleep(crowdTime)
				for _, w := range crowds {
					w.leave()
				}
				s.checkServes(s.fronts[0], "/question/")
				s.checkServes(s.fronts[0], fmt.Sprintf("/new%d/", s.publishConfig()))
				for _, check := range checks {
					check()
				}
			})
		}
	}
}

// troubles are what happens to a system beside a crowd.
var troubles = []struct {
	name string
	play func(s *system)
}{
	{"reload", func(s *system) {
		for range 10 {
			for _, d := range s.fronts {
				d.signal(syscall.SIGHUP)
			}
			s.publishConfig()
			time.Sleep(crowdTime / 10)
		}
	}},
	{"platform's store away", func(s *system) {
		s.store.SetFault(func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, false)
		time.Sleep(crowdTime)
		s.store.SetFault(nil, false)
	}},
	{"pause", func(s *system) {
		s.fronts[0].signal(syscall.SIGSTOP)
		time.Sleep(crowdTime / 2)
		s.fronts[0].signal(syscall.SIGCONT)
		time.Sleep(crowdTime / 2)
	}},
	{"store daemon away", func(s *system) {
		s.stores[0].kill()
		time.Sleep(crowdTime)
		s.stores[0].start()
	}},
}

// TestCrowdBesideTroubles guards against faults that only a crowd beside another trouble shows, at several fronts.
func TestCrowdBesideTroubles(t *testing.T) {
	s := newSystem(t, 3)
	for _, trouble := range troubles {
		for _, name := range []string{"nothing", "fields held", "many fields and part of a body", "fields without end"} {
			s.run(trouble.name+"/"+name, func(t *testing.T) {
				var checks []func()
				var crowds []*crowd
				for _, d := range s.fronts {
					d.kill()
					d.start()
				}
				s.awaitReady()
				for _, d := range s.fronts {
					checks = append(checks, watchLimits(t, d))
					crowds = append(crowds, gather(d.callers(), crowdSize, kindOf(name).act))
				}
				trouble.play(s)
				for _, w := range crowds {
					w.leave()
				}
				for i, d := range s.fronts {
					s.checkServes(d, "/lookup/")
					s.checkServes(d, fmt.Sprintf("/new%d/", s.publishConfig()))
					checks[i]()
				}
			})
		}
	}
}

// TestFrontStopsBesideCrowd guards against clients that keep a daemon from its stop.
func TestFrontStopsBesideCrowd(t *testing.T) {
	s := newSystem(t, 1)
	d := s.fronts[0]
	for _, name := range []string{"nothing", "fields held", "many fields and part of a body", "fields without end", "body that trickles", "pipelined requests whose answers are not read"} {
		s.run(name, func(t *testing.T) {
			w := gather(d.callers(), crowdSize, kindOf(name).act)
			time.Sleep(crowdTime / 4)
			d.signal(syscall.SIGTERM)
			select {
			case <-d.exited:
			case <-time.After(graceSeconds*time.Second + answerPatience):
				t.Error("still running long after its stop grace")
				d.kill()
			}
			assert.Check(t, d.cmd.ProcessState.ExitCode() == 0, "%s", d.cmd.ProcessState)
			w.leave()
			d.start()
			s.awaitReady()
			s.checkServes(d, "/lookup/")
		})
	}
}

// TestOrdinaryCallersAreAnsweredBesideCrowd guards against a crowd that takes all connections or all memory.
func TestOrdinaryCallersAreAnsweredBesideCrowd(t *testing.T) {
	checkAnsweredBeside(t, "nothing", "fields held", "fields inside the limit held", "long field held", "trickling head", "body that trickles",
		"small bodies that don't come", "expectation without a body")
}

// TestOrdinaryCallersAreAnsweredBesideRequestsWithoutEnd guards against clients that hold their connections with requests
// that are always served.
func TestOrdinaryCallersAreAnsweredBesideRequestsWithoutEnd(t *testing.T) {
	checkAnsweredBeside(t, "pipelined requests whose answers are not read")
}

// checkAnsweredBeside checks that an ordinary request is answered beside crowds of some kinds, one after the other, each of
// which is larger than the front's descriptors.
func checkAnsweredBeside(t *testing.T, kinds ...string) {
	s := newSystem(t, 1)
	d := s.fronts[0]
	for _, name := range kinds {
		s.run(name, func(t *testing.T) {
			w := gather(d.callers(), frontDescriptors+200, kindOf(name).act)
			defer w.leave()
			time.Sleep(crowdTime / 2)
			status, body := lookup(d.callers(), "/lookup/")
			for deadline := time.Now().Add(answerPatience); status != http.StatusOK && time.Now().Before(deadline); {
				t.Logf("ordinary request: %d %q", status, body)
				status, body = lookup(d.callers(), "/lookup/")
			}
			assert.Check(t, status == http.StatusOK, "no ordinary request was answered: %d %q", status, body)
		})
	}
}
