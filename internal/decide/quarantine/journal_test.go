package quarantine

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// openService starts a registrar on a disk, and returns it with a function that ends its process.
func openService(t *testing.T, disk filesystem.FS, path string) (*Service, func()) {
	log := logrus.New()
	log.SetOutput(t.Output())
	s := NewService().WithJournal(OpenJournal(disk, path, log))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx) // it ends with ctx
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return s, stop
}

// freshEnd is an end that has just been seen, under an attempt of its own.
func freshEnd(server string, evidence Evidence) WireEnd {
	return WireEnd{Server: incarnation.ID{Server: server, Born: 7}, Attempt: server, SentAgo: time.Millisecond, Evidence: evidence}
}

func reportEnds(t *testing.T, s *Service, key Key, ends ...WireEnd) Status {
	var reply ReportReply
	assert.NilError(t, s.Report(&ReportArgs{Requests: []Status{{Key: key, Owner: 3, Ends: ends}}}, &reply))
	return reply.Requests[0]
}

// TestEndsOutliveAllDaemons guards against a request that ends three servers more after each power loss of all VMs.
func TestEndsOutliveAllDaemons(t *testing.T) {
	disk, path, key := faultfs.New(), filepath.Join(t.TempDir(), "data", "ends"), keyOf("x")
	for _, server := range []string{"a", "b", "c"} {
		s, stop := openService(t, disk, path)
		reportEnds(t, s, key, freshEnd(server, Refused))
		reportEnds(t, s, keyOf("of "+server), freshEnd(server, Refused))
		stop()
		assert.NilError(t, disk.LosePower())
	}
	s, _ := openService(t, disk, path)
	status := reportEnds(t, s, key)
	assert.Assert(t, status.Quarantined)
	assert.Equal(t, len(status.Ends), 3)
	assert.Equal(t, len(reportEnds(t, s, keyOf("of a")).Ends), 1)
	var reply PollReply
	assert.NilError(t, s.Poll(&PollArgs{}, &reply))
	assert.Assert(t, len(reply.Changes) == 4, "a front that starts is not told: %v", reply.Changes)
}

// TestQuarantineOutlivesItsEnds guards against a request that is sent on after a restart, since the ends for which it was quarantined
// are older by then than those that count anew.
func TestQuarantineOutlivesItsEnds(t *testing.T) {
	for _, after := range []time.Duration{time.Second, endLifetime + time.Second, quarantineTime - time.Second, quarantineTime + time.Second} {
		before, key := NewTracker(), keyOf("x")
		before.Add(at(1), key, 0, end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5), end("c", "3", 0.8, 1))
		before.Answered(at(1), key, answers(1, 1))
		before.Withdraw(at(1), key, Withdrawal{Server: incarnation.ID{Server: "d"}, Attempt: "4"})
		stored, restored, now := storeRequest(key, before.entries[key]), NewTracker(), at(1).Add(after)
		assert.NilError(t, stored.restore(restored, now))
		assert.Equal(t, restored.State(now, key).Quarantined, after < quarantineTime, "after %v", after)
	}
}

// TestClockSetBackKeepsEnds guards against ends that seem to lie in the future for good, since a VM's clock was set back.
func TestClockSetBackKeepsEnds(t *testing.T) {
	before, key := NewTracker(), keyOf("x")
	before.Add(at(9), key, 0, end("a", "1", 7, 8), end("b", "2", 8, 9))
	before.Sent(at(9), key, 0, permit{id: 4, grantedAt: at(9), until: at(13), server: incarnation.ID{Server: "c"}, attempt: "3"})
	stored, restored := storeRequest(key, before.entries[key]), NewTracker()
	assert.NilError(t, stored.restore(restored, at(2)))
	state := restored.State(at(2), key)
	assert.Equal(t, len(state.Ends), 3)
	assert.Assert(t, state.Age(at(2)) >= 0, "%v", state.Age(at(2)))
}

// TestTakenBackEndsStayTakenBack guards against a refusal by ends that were taken back before a restart.
func TestTakenBackEndsStayTakenBack(t *testing.T) {
	disk, path, key := faultfs.New(), filepath.Join(t.TempDir(), "ends"), keyOf("x")
	s, stop := openService(t, disk, path)
	reportEnds(t, s, key, freshEnd("a", Broken), freshEnd("b", Broken))
	withdrawn := Withdrawal{Server: incarnation.ID{Server: "a", Born: 7}, Attempt: "a"}
	assert.NilError(t, s.Report(&ReportArgs{Withdrawn: []WithdrawnEnd{{key, withdrawn}}}, &ReportReply{}))
	stop()
	s, _ = openService(t, disk, path)
	assert.Equal(t, len(reportEnds(t, s, key).Ends), 1)
	assert.Equal(t, len(reportEnds(t, s, key, freshEnd("a", Broken)).Ends), 1, "a daemon that does not know has told it again")
}

// TestTornJournalIsRead guards against a registrar that knows nothing since its VM lost power in a write.
func TestTornJournalIsRead(t *testing.T) {
	path, key := filepath.Join(t.TempDir(), "ends"), keyOf("x")
	s, stop := openService(t, faultfs.New(), path)
	reportEnds(t, s, key, freshEnd("a", Refused))
	reportEnds(t, s, key, freshEnd("b", Refused))
	stop()
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	for cut := range len(whole) {
		assert.NilError(t, os.WriteFile(path, whole[:cut], 0o600))
		s, stop := openService(t, faultfs.New(), path)
		n := len(reportEnds(t, s, key).Ends)
		assert.Assert(t, n <= 2, "%d ends of %d bytes", n, cut)
		if cut == len(whole)-1 {
			assert.Equal(t, n, 2)
		}
		reportEnds(t, s, key, freshEnd("c", Refused)) // written behind what was torn
		stop()
		s, stop = openService(t, faultfs.New(), path)
		assert.Equal(t, len(reportEnds(t, s, key).Ends), n+1, "cut to %d bytes", cut)
		stop()
	}
}

// TestRegistrarWithFullDiskCounts guards against requests that are sent on because a registrar's disk takes no writes, and against
// ends that are never saved after it does again.
func TestRegistrarWithFullDiskCounts(t *testing.T) {
	for _, op := range faultfs.FullDisk {
		disk, path, key := faultfs.New(), filepath.Join(t.TempDir(), "ends"), keyOf("x")
		s, stop := openService(t, disk, path)
		reportEnds(t, s, key, freshEnd("a", Refused))
		disk.Refuse(syscall.ENOSPC, op)
		reportEnds(t, s, key, freshEnd("b", Refused))
		assert.Equal(t, len(reportEnds(t, s, key).Ends), 2, "%s", op)
		disk.Repair()
		reportEnds(t, s, key, freshEnd("c", Refused))
		stop()
		s, stop = openService(t, disk, path)
		assert.Equal(t, len(reportEnds(t, s, key).Ends), 3, "%s", op)
		stop()
	}
}

// TestRegistrarWithHangingDiskAnswers guards against fronts that wait for a registrar whose disk hangs.
func TestRegistrarWithHangingDiskAnswers(t *testing.T) {
	disk, path, key := faultfs.New(), filepath.Join(t.TempDir(), "ends"), keyOf("x")
	s, _ := openService(t, disk, path)
	reportEnds(t, s, key, freshEnd("a", Refused))
	disk.Delay(time.Second, faultfs.Write, faultfs.Sync)
	began := time.Now()
	assert.Equal(t, len(reportEnds(t, s, key, freshEnd("b", Refused)).Ends), 2)
	assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
}

// TestUnreadableJournalIsReported guards against a registrar that does not start since its disk can't be read.
func TestUnreadableJournalIsReported(t *testing.T) {
	disk, path := faultfs.New(), filepath.Join(t.TempDir(), "ends")
	disk.Refuse(errors.New("input/output error"), faultfs.Open)
	s, _ := openService(t, disk, path)
	disk.Repair()
	assert.Equal(t, len(reportEnds(t, s, keyOf("x"), freshEnd("a", Refused)).Ends), 1)
}

// TestCopiesOfDaemonsThatEndedCount guards against ends that nobody counts since the daemon that sent the copy has ended too.
func TestCopiesOfDaemonsThatEndedCount(t *testing.T) {
	key, server := keyOf("x"), incarnation.ID{Server: "a"}
	inFlight := permit{id: 9, daemon: 5, grantedAt: at(1), until: at(4), server: server, attempt: "1"}
	for name, c := range map[string]struct {
		happens func(*Tracker)
		want    []Evidence
	}{
		"nothing":                 {func(*Tracker) {}, nil},
		"the server ends":         {func(tr *Tracker) { tr.Recognise(at(3), server, Lapsed) }, []Evidence{Lapsed}},
		"the daemon ends":         {func(tr *Tracker) { tr.DaemonEnded(at(3), 5) }, []Evidence{Unheard}},
		"another daemon ends":     {func(tr *Tracker) { tr.DaemonEnded(at(3), 6) }, nil},
		"the copy is overdue":     {func(tr *Tracker) { tr.Expire(at(5.1)) }, []Evidence{Unheard}},
		"both end":                {func(tr *Tracker) { tr.DaemonEnded(at(3), 5); tr.Recognise(at(4), server, Lapsed) }, []Evidence{Lapsed}},
		"it ended well":           {func(tr *Tracker) { tr.Release(key, 9); tr.Expire(at(5.1)) }, nil},
		"it ended well, but late": {func(tr *Tracker) { tr.Expire(at(5.1)); tr.Release(key, 9) }, nil},
		"its end is told later": {func(tr *Tracker) {
			tr.DaemonEnded(at(3), 5)
			tr.Add(at(3), key, 0, End{Server: server, Attempt: "1", SentAt: at(1), EndedAt: at(3), Evidence: Silent})
			tr.Release(key, 9)
		}, []Evidence{Silent}},
	} {
		tracker := NewTracker()
		tracker.Sent(at(1.5), key, 0, inFlight)
		c.happens(tracker)
		evidence := tracker.State(at(5), key).Evidence()
		assert.Equal(t, len(evidence), len(c.want), "%s: %v", name, evidence)
		for i := range evidence {
			assert.Equal(t, evidence[i], c.want[i], name)
		}
	}
}

// TestCopiesOfDaemonsThatEndedLimitCopies guards against a fourth server that ends while copies of ended daemons are undecided.
func TestCopiesOfDaemonsThatEndedLimitCopies(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(1), key, 0, end("a", "1", 0, 1))
	for id := range uint64(2) {
		assert.Equal(t, tracker.Admit(at(2), key, id, at(4)), Admitted)
		tracker.Sent(at(2), key, 0, permit{id: id, daemon: id + 1, grantedAt: at(2), until: at(4), server: incarnation.ID{Server: string('b' + rune(id))}, attempt: "2"})
	}
	assert.Equal(t, tracker.Admit(at(3), key, 8, at(5)), Busy)
	tracker.DaemonEnded(at(3), 1)
	assert.Equal(t, tracker.Admit(at(3), key, 8, at(5)), Busy)
	tracker.Expire(at(5))
	assert.Equal(t, tracker.Admit(at(5), key, 8, at(7)), Forbidden)
}

// TestReleaseBeforeItsCopyIsTold guards against a copy that counts as in flight since the call that tells of it arrives after the one
// that releases it, or once more.
func TestReleaseBeforeItsCopyIsTold(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(1), key, 0, end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5))
	inFlight := permit{id: 9, grantedAt: at(1), until: at(5), server: incarnation.ID{Server: "c"}, attempt: "3"}
	tracker.Release(key, 9)
	tracker.Sent(at(1), key, 0, inFlight)
	tracker.Expire(at(2))
	tracker.Sent(at(2), key, 0, inFlight)
	assert.Equal(t, tracker.Admit(at(2), key, 10, at(5)), Admitted)
	tracker.Release(key, 10)
	assert.Equal(t, tracker.Admit(at(2), key, 10, at(5)), Admitted, "once more")
	assert.Equal(t, tracker.Admit(at(2), key, 11, at(5)), Admitted)
	tracker.Expire(at(7))
	assert.Equal(t, len(tracker.State(at(7), key).Ends), 2)
}
