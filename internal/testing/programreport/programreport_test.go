package programreport_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/telemetry"
	"github.com/rookpass/rookpass/internal/testing/programreport"
)

// refusedLog has a program whose first request is refused at two front daemons, one of which had lost its hub before.
const refusedLog = `
10.00 front-a-1 level=info msg="exchange failed; trying another hub" error="dial: refused" event=exchange-failed place=2
10.50 front-a-1 level=info msg="turn prepared" before=0 event=turn id=r1 ms=20 previous= program=p1 reserve=10 spent=0
10.90 front-a-1 level=info fields.level=2 msg="turn waited for a slot" alone_ms=300 begun=false event=wait id=r1 ms=400 organisation=acme outcome=refused route=chat running=8 slack_ms=150 waiting=31
10.90 front-a-1 level=info msg="request ended" attempts= error="no slot in time" event=request id=r1 ms=420 organisation=acme outcome=no-place-in-time program=p1 route=chat status=503
11.40 front-b-1 level=info msg="turn prepared" event=turn id=r1 ms=10 previous= program=p1
11.41 front-b-1 level=info fields.level=2 msg="turn waited for a slot" alone_ms=300 begun=false event=wait id=r1 ms=0 organisation=acme outcome=refused route=chat running=8 slack_ms=-300 waiting=40
11.41 front-b-1 level=info msg="request ended" attempts= event=request id=r1 ms=20 organisation=acme outcome=no-place-in-time program=p1 route=chat status=503
`

// lateLog has a program whose second turn waited so long that it could not end in time, and a program without a
// problem.
const lateLog = `
20.30 front-a-1 level=info event=turn id=s1 ms=5 previous= program=p2
20.60 front-a-1 level=info attempts=m1@7/200/290ms/3/5 event=request id=s1 ms=300 organisation=acme outcome=answered program=p2 route=chat
20.71 front-a-1 level=info event=turn id=s2 ms=10 previous=s1 program=p2
21.61 front-a-1 level=info fields.level=0 alone_ms=300 begun=true event=wait id=s2 ms=900 organisation=acme outcome=let-go route=chat running=8 slack_ms=-120 waiting=12
22.10 front-a-1 level=info attempts=m2@7/200/480ms/7/5/1200t event=request id=s2 ms=1400 organisation=acme outcome=answered program=p2 route=chat
22.20 front-a-1 level=info event=turn id=u1 ms=10 previous= program=fine
22.50 front-a-1 level=info attempts=m1@7/200/280ms/3/5 event=request id=u1 ms=300 organisation=acme outcome=answered program=fine route=chat
`

// killedLog has a program whose server was killed, and that was answered when its turn was sent again. Another server
// restarted too.
const killedLog = `
30.50 front-c-1 level=info event=turn id=k1 ms=10 previous= program=p3
30.90 front-c-1 level=warning calls=4 event=server-restarted server=m9@44
31.00 front-c-1 level=warning calls=4 event=server-restarted server=m3@99
31.01 front-c-1 level=info attempts=m3@7/restarted/500ms/2/5/40t/kept error="restarted: read" event=request id=k1 ms=510 organisation=globex outcome=no-whole-answer program=p3 route=chat status=502
31.26 front-c-2 level=info event=turn id=k1 ms=10 previous= program=p3
31.61 front-c-2 level=info attempts=m1@7/200/340ms/0/5 event=request id=k1 ms=360 organisation=globex outcome=answered program=p3 route=chat
`

func analyse(t *testing.T, logs ...string) *programreport.Report {
	t.Helper()
	analysis := programreport.New(1000)
	for i, log := range logs {
		assert.NilError(t, analysis.Read(fmt.Sprintf("log-%d", i), strings.NewReader(log)))
	}
	return analysis.Report()
}

func onlyProgram(t *testing.T, r *programreport.Report) *programreport.Program {
	t.Helper()
	assert.Equal(t, len(r.Programs), 1)
	return r.Programs[0]
}

const ms = time.Millisecond

func TestRefusedProgram(t *testing.T) {
	p := onlyProgram(t, analyse(t, refusedLog))
	assert.Equal(t, p.ID, "p1")
	assert.Equal(t, p.State, programreport.Failed)
	assert.Equal(t, p.Cause, "refused: no-place-in-time")
	assert.Equal(t, p.Level, "2", "the severity of a line is not the level of its request")
	assert.Equal(t, p.Organisation, "acme")
	assert.Equal(t, p.First, 10480*ms)
	assert.Equal(t, p.Total, 930*ms)
	assert.Equal(t, p.Times, programreport.Times{Refused: 440 * ms, RetryPause: 490 * ms})
	assert.Equal(t, len(p.Requests), 2)
	assert.Equal(t, p.Requests[0].VM, "front-a-1")
	assert.Equal(t, p.Requests[0].Queue, 400*ms)
	assert.Equal(t, p.Requests[0].Waiting, 31)
	assert.Equal(t, p.Requests[1].VM, "front-b-1")
	assert.Equal(t, len(p.Events), 1)
	assert.Equal(t, p.Events[0].At, -480*ms)
	assert.Assert(t, strings.Contains(p.Events[0].Text, "exchange-failed place=2 error=dial: refused"), p.Events[0].Text)
}

func TestLateProgramThatQueued(t *testing.T) {
	r := analyse(t, lateLog)
	assert.Equal(t, r.Seen, 2)
	p := onlyProgram(t, r)
	assert.Equal(t, p.ID, "p2")
	assert.Equal(t, p.State, programreport.Late)
	assert.Equal(t, p.Cause, "queue")
	assert.Equal(t, p.Level, "0")
	assert.Equal(t, p.Times, programreport.Times{Queue: 900 * ms, Server: 770 * ms, Ledger: 15 * ms, Caller: 100 * ms, Other: 15 * ms})
	assert.Equal(t, p.Requests[1].Slack, -120*ms)
	assert.DeepEqual(t, p.Requests[1].Attempts, []programreport.Attempt{{Server: "m2@7", Outcome: "200", Took: 480 * ms, InFlight: 7, Candidates: 5, Uncached: "1200"}})
	assert.DeepEqual(t, r.ByLevel, []programreport.Row{{Name: "0", Seen: 2, Programs: 1, Late: 1, Waited: 1}})
}

// TestProgramAtKilledServer also guards against events of servers that the program did not use.
func TestProgramAtKilledServer(t *testing.T) {
	p := onlyProgram(t, analyse(t, killedLog))
	assert.Equal(t, p.State, programreport.Recovered)
	assert.Equal(t, p.Cause, "server")
	assert.Equal(t, p.Times.RetryPause, 240*ms)
	assert.Equal(t, p.Times.Server, 840*ms)
	assert.Equal(t, len(p.Events), 1)
	assert.Equal(t, p.Events[0].Text, "server-restarted server=m3@99 calls=4")

	// Without the second request the program failed at the server.
	lines := strings.SplitAfter(killedLog, "\n")
	p = onlyProgram(t, analyse(t, strings.Join(lines[:5], "")))
	assert.Equal(t, p.State, programreport.Failed)
	assert.Equal(t, p.Cause, "server: restarted")
}

// TestServerErrorMarksProgram guards against server errors that are forwarded, whose request is logged as answered.
func TestServerErrorMarksProgram(t *testing.T) {
	p := onlyProgram(t, analyse(t, "1.00 f event=request id=x ms=10 outcome=answered program=p attempts=m1/500/9ms/0/1\n"))
	assert.Equal(t, p.State, programreport.Failed)
	assert.Equal(t, p.Cause, "server: 500")
}

func TestLedgerFailure(t *testing.T) {
	p := onlyProgram(t, analyse(t, "1.00 f event=turn id=x ms=90 program=p\n1.00 f event=request id=x ms=100 outcome=history-unsure status=503 program=p attempts=\n"))
	assert.Equal(t, p.Cause, "ledger: history-unsure")
	assert.Equal(t, p.Times, programreport.Times{Ledger: 100 * ms})
}

// TestUnfinishedProgram checks requests without an end: only a program's last one marks it, and the start of its daemon
// is reported though it comes after the program's last line.
func TestUnfinishedProgram(t *testing.T) {
	const first = "40.00 f-1 event=turn id=v1 ms=10 program=p4\n43.00 f-1 event=start role=front\n"
	p := onlyProgram(t, analyse(t, first))
	assert.Equal(t, p.State, programreport.Unfinished)
	assert.Equal(t, p.Cause, "unfinished")
	assert.Equal(t, len(p.Events), 1)

	r := analyse(t, first+"41.00 f-2 event=request id=v1 ms=300 outcome=answered program=p4 attempts=m1/200/290ms/0/1\n")
	assert.Equal(t, len(r.Programs), 0)
	assert.Equal(t, r.Seen, 1)
}

// TestInterleavedVMs checks that lines of several VMs are not mixed up, in one log or in one log for each VM.
func TestInterleavedVMs(t *testing.T) {
	all := refusedLog + lateLog + killedLog
	lines := strings.Split(all, "\n")
	for seed := range uint64(20) {
		// Lines of one VM keep their order; those of others come in between.
		random := rand.New(rand.NewPCG(seed, 0))
		perVM := map[string][]string{}
		var order []string
		for _, line := range lines {
			if words := strings.Fields(line); len(words) > 1 {
				perVM[words[1]] = append(perVM[words[1]], line)
				order = append(order, words[1])
			}
		}
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		var mixed []string
		for _, name := range order {
			mixed = append(mixed, perVM[name][0])
			perVM[name] = perVM[name][1:]
		}
		r := analyse(t, strings.Join(mixed, "\n"))
		assert.DeepEqual(t, summary(r), []string{"p1 failed refused: no-place-in-time 930ms", "p2 late queue 1.8s", "p3 recovered server 1.11s"})
	}
	assert.DeepEqual(t, summary(analyse(t, killedLog, lateLog, refusedLog)), summary(analyse(t, all)))
}

func summary(r *programreport.Report) []string {
	var texts []string
	for _, p := range r.Programs {
		texts = append(texts, fmt.Sprintf("%s %s %s %s", p.ID, p.State, p.Cause, p.Total))
	}
	return texts
}

// TestSameIDAtTwoVMs guards against requests with one ID that run at two front daemons at once.
func TestSameIDAtTwoVMs(t *testing.T) {
	p := onlyProgram(t, analyse(t, `
1.00 f-1 event=turn id=a ms=10 program=p
1.10 f-2 event=turn id=a ms=30 program=p
2.00 f-1 event=request id=a ms=1010 outcome=timeout status=504 program=p attempts=m1/timeout/1000ms/0/1
1.50 f-2 event=request id=a ms=430 outcome=answered program=p attempts=m2/200/400ms/0/1
`))
	assert.Equal(t, len(p.Requests), 2)
	assert.Equal(t, p.Requests[0].Ledger, 10*ms)
	assert.Equal(t, p.Requests[1].Ledger, 30*ms)
}

func TestGarbageLinesAreCounted(t *testing.T) {
	r := analyse(t, "\x00\xff\xfe\n=== run 5 ===\n[gateway] | note: key=\"unterminated\n"+
		"10.5s [front-x-1] > level=info event=request id=g1 ms=soon outcome=timeout program=p9\n"+
		"10.6 front-x-1 event=request ms=5 outcome=timeout program=p9\n"+
		"10.7 front-x-1 event=request id=g2 ms=5 outcome=timeout program=p8 attempts=m1/timeout\n"+
		"10.8 front-x-1 event=request id=g3 ms=5 program=p7 attempts=m1/200/4ms/0/1\n"+
		"10.8 front-x-1 event=unheard-of key=1\n"+
		"level=warning event=log-dropped lines=17\n"+
		strings.Repeat("x", 2<<20)+"\n"+lateLog+"truncat")
	assert.DeepEqual(t, summary(r), []string{"p8 failed refused: timeout 5ms", "p2 late queue 1.8s"})
	notes := strings.Join(r.Notes, "\n")
	for _, want := range []string{"18 lines read", "4 lines without an event", "4 lines of requests were malformed", `log-0:4: event=request: ms="soon"`,
		"1 lines longer than", "17 lines were dropped by daemons", "1 lines without a time"} {
		assert.Assert(t, strings.Contains(notes, want), "%q is missing in:\n%s", want, notes)
	}
}

// TestDaemonLogFormat guards against a parser that differs from the format that daemons write: values that need quotes,
// and a priority level beside the severity.
func TestDaemonLogFormat(t *testing.T) {
	var log strings.Builder
	logger, err := telemetry.NewLog(&log, "info", "front-z-1")
	assert.NilError(t, err)
	logger.WithFields(logrus.Fields{"event": "turn", "id": "t1", "program": "p", "ms": 7, "previous": ""}).Info("turn prepared")
	logger.WithFields(logrus.Fields{"event": "wait", "id": "t1", "route": "chat", "level": 3, "outcome": "let-go", "ms": 40, "slack_ms": -3, "begun": true}).Info("turn waited for a slot")
	logger.WithFields(logrus.Fields{"event": "request", "id": "t1", "program": "p", "route": "chat", "outcome": "no-whole-answer", "status": 502, "ms": 90, "organisation": "a b",
		"attempts": "m1@1/shed/1ms/2/3,m2@1/restarted/30ms/0/3/40t/kept", "error": errors.New(`restarted: "io" = closed`)}).Info("request ended")
	p := onlyProgram(t, analyse(t, log.String()))
	assert.Equal(t, p.State, programreport.Failed)
	assert.Equal(t, p.Level, "3")
	assert.Equal(t, p.Organisation, "a b")
	assert.Equal(t, p.Requests[0].VM, "front-z-1")
	assert.Equal(t, p.Requests[0].Slack, -3*ms)
	assert.DeepEqual(t, p.Requests[0].Attempts, []programreport.Attempt{{Server: "m1@1", Outcome: "shed", Took: ms, InFlight: 2, Candidates: 3},
		{Server: "m2@1", Outcome: "restarted", Took: 30 * ms, Candidates: 3, Uncached: "40"}})
}

// TestWallClockLogs checks logs without a prefix or a daemon: the VM is the name of the log.
func TestWallClockLogs(t *testing.T) {
	r := analyse(t, `time="2026-01-01T00:00:01.5Z" level=info msg="request ended" event=request id=w ms=500 outcome=timeout status=504 program=p attempts=m1/timeout/490ms/0/1`)
	p := onlyProgram(t, r)
	assert.Equal(t, p.Requests[0].VM, "log-0")
	var out strings.Builder
	assert.NilError(t, r.Write(&out, 1))
	assert.Assert(t, strings.Contains(out.String(), "first request at 2026-01-01T00:00:01.000Z"), out.String())
}

// TestMemoryIsBounded checks that at the limit, programs without a problem are forgotten first, and that the report
// says so.
func TestMemoryIsBounded(t *testing.T) {
	analysis := programreport.New(10)
	var log strings.Builder
	for i := range 1000 {
		outcome := "answered"
		if i%200 == 0 {
			outcome = "timeout"
		}
		fmt.Fprintf(&log, "%d.0 f event=turn id=lost%d ms=1 program=q%d\n", i, i, i) // never ends
		fmt.Fprintf(&log, "%d.5 f event=request id=r%d ms=100 outcome=%s organisation=acme program=p%d attempts=m1/200/90ms/0/1\n", i, i, outcome, i)
	}
	assert.NilError(t, analysis.Read("log", strings.NewReader(log.String())))
	r := analysis.Report()
	failed := 0
	for _, p := range r.Programs {
		if p.State == programreport.Failed {
			failed++
		}
	}
	assert.Equal(t, failed, 5)
	assert.Assert(t, len(r.Programs) <= 10, "%d", len(r.Programs))
	notes := strings.Join(r.Notes, "\n")
	assert.Assert(t, strings.Contains(notes, "forgotten at the limit of 10 programs"), notes)
	assert.Assert(t, strings.Contains(notes, "990 requests without an end were forgotten at the limit of 10"), notes)
	for _, row := range r.ByOrganisation {
		if row.Name == "acme" {
			assert.Equal(t, row.Seen, 1000)
		}
	}

	// Programs with a problem beyond the limit are counted.
	analysis = programreport.New(2)
	for i := range 5 {
		assert.NilError(t, analysis.Read("log", strings.NewReader(fmt.Sprintf("1.0 f event=request id=r%d ms=1 outcome=timeout program=p%d attempts=", i, i))))
	}
	r = analysis.Report()
	assert.Equal(t, len(r.Programs), 2)
	assert.Assert(t, strings.Contains(strings.Join(r.Notes, "\n"), "3 requests belong to programs beyond the limit of 2"), r.Notes)
}

func TestBadInput(t *testing.T) {
	analysis := programreport.New(10)
	err := analysis.Read("notes.txt", strings.NewReader("dear diary\nnothing here\n"))
	assert.ErrorContains(t, err, "notes.txt has no log events in its 2 lines")
	err = analysis.Read("disk.log", iotest.ErrReader(errors.New("input/output error")))
	assert.ErrorContains(t, err, "failed to read disk.log: input/output error")
	assert.NilError(t, analysis.Read("empty.log", strings.NewReader("")))
	assert.Assert(t, strings.Contains(strings.Join(analysis.Report().Notes, "\n"), "empty logs: empty.log"))
}

// TestWrite holds the whole text of a report, and that control characters of a log don't reach the terminal.
func TestWrite(t *testing.T) {
	hostile := "50.00 f event=request id=h ms=5 outcome=\"\\x1b[2J\" program=\"\\x1b]0;p\\a\" attempts=\n"
	var out strings.Builder
	assert.NilError(t, analyse(t, refusedLog+lateLog+killedLog+hostile).Write(&out, 2))
	assert.Equal(t, out.String(), wantReport)
	assert.Assert(t, !strings.ContainsAny(out.String(), "\x1b\a"))
}

const wantReport = `program p1: failed, cause: refused: no-place-in-time
  route chat, organisation acme, level 2, first request at 10.480 s, 930 ms in all
  time: retry pause 490 ms, refused 440 ms
  +0 ms front-a-1 r1: no-place-in-time (503) after 420 ms, ledger 20 ms, queue 400 ms (31 waiting, 8 running), slack 150 ms
  +910 ms front-b-1 r1: no-place-in-time (503) after 20 ms, ledger 10 ms, slack -300 ms
  event -480 ms front-a-1 exchange-failed place=2 error=dial: refused

program ?]0;p?: failed, cause: refused: ?[2J
  route (unknown), organisation (unknown), level (unknown), first request at 49.995 s, 5 ms in all
  time: refused 5 ms
  +0 ms f h: ?[2J after 5 ms

2 more programs are not shown

4 of 5 programs were refused, failed, late or unfinished

cause          programs  failed  unfinished  late  recovered  waited  refused
queue          1         0       0           1     0          1       0
refused: ?[2J  1         1       0           0     0          0       1
(2 more)

priority level  programs  of all  failed  unfinished  late  recovered  waited  refused
(unknown)       2         2       1       0           0     1          0       1
0               1         2       0       0           1     0          1       0
(1 more)

organisation  programs  of all  failed  unfinished  late  recovered  waited  refused
acme          2         3       1       0           1     0          2       1
(unknown)     1         1       1       0           0     0          0       1
(1 more)

note: 21 lines read
`

// TestReportTellsWhyRequestWasQuarantined guards against reports of refused requests that don't lead to the servers that ended.
func TestReportTellsWhyRequestWasQuarantined(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, analyse(t, "1.00 f event=server-ended id=w server=s3 content=ab12 ms=7\n"+
		"1.20 f event=request id=x ms=1 program=p attempts= content=ab12 ended_servers=\"[s1 s2 s3]\" ends=3 knowledge_age_ms=200 outcome=quarantined status=503\n").Write(&out, 5))
	assert.Assert(t, strings.Contains(out.String(), "3 servers ended under this content (ab12, [s1 s2 s3]), the last 200 ms before"), out.String())
}

// TestReportTellsHowResponseEnded guards against reports that hide whether a failed request's response was broken off.
func TestReportTellsHowResponseEnded(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"attempts=m1/read/9ms/0/1 error=\"read: reset\" events=3 framing=connection outcome=no-whole-answer status=502 unfinished_bytes=5",
			"response framed by connection after 3 events and 5 unfinished bytes"},
		{"attempts=m1/read/9ms/0/1 framing=length outcome=no-whole-answer status=502", "response framed by length\n"},
	} {
		var out strings.Builder
		assert.NilError(t, analyse(t, "1.00 f event=request id=x ms=10 program=p "+c.line+"\n").Write(&out, 5))
		assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
	}
	var out strings.Builder
	assert.NilError(t, analyse(t, "1.00 f event=request id=x ms=10 program=p attempts=m1/timeout/9ms/0/1 outcome=timeout status=504\n").Write(&out, 5))
	assert.Assert(t, !strings.Contains(out.String(), "framed"), out.String())
}
