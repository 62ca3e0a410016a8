package faultmatrix

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/client"
)

// outcome is the outcome of one request from the caller's view.
type outcome struct {
	program string
	call    *rookpassv1.CallRequest
	// answered is set if there was a final event. verdict is its verdict, or that of the last error.
	answered bool
	verdict  verdict.Verdict
	output   []byte
	// attemptErrors are the errors of failed attempts, in order.
	attemptErrors []error
}

// history holds what the caller observed. outcomes are in the order of the requests.
type history struct {
	outcomes []*outcome
	programs map[string]*rookpassv1.Program
	ended    map[string]bool
	// started holds the IDs of started programs by idempotency key.
	started map[string]string
}

func newHistory() *history {
	return &history{programs: map[string]*rookpassv1.Program{}, ended: map[string]bool{}, started: map[string]string{}}
}

// agent is a caller that runs programs through any running daemon and retries failed requests.
type agent struct {
	c       *cluster
	history *history
	// entry is the node that the agent is connected to.
	entry  *node
	client *client.Client
	// beforeStep is called at the start of each step with its number, starting from 0.
	beforeStep func(step int)
	steps      int
}

func newAgent(c *cluster, entry *node) *agent {
	return &agent{c: c, history: newHistory(), entry: entry, client: c.client(entry), beforeStep: func(int) {}}
}

// stepTimeout bounds one step with all its attempts.
const stepTimeout = 3 * time.Minute

// attemptTimeout bounds one attempt, so that the agent leaves a frozen node.
const attemptTimeout = 20 * time.Second

var errStepTimeout = errors.New("step did not succeed within its timeout")

// step repeats a request, on other nodes if necessary, until it succeeds, fails permanently or stepTimeout has passed.
func (a *agent) step(attempt func(ctx context.Context) error) error {
	a.beforeStep(a.steps)
	a.steps++
	for began := time.Now(); time.Since(began) < stepTimeout; {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		err := attempt(ctx)
		cancel()
		if err == nil {
			return nil
		}
		typed := verdict.Of(err)
		if typed.RetryAfter == 0 && typed.Code != verdict.Lost {
			return err
		}
		a.switchNode()
		<-time.After(max(typed.RetryAfter, 50*time.Millisecond))
	}
	return errStepTimeout
}

// switchNode connects to the next running node, as a load balancer would.
func (a *agent) switchNode() {
	if other := a.c.nextAlive(a.entry); other != nil {
		a.entry = other
		a.client = a.c.client(other)
	}
}

func (a *agent) start(key string, budget int64) (string, error) {
	request := &rookpassv1.StartProgramRequest{Definition: "agent", IdempotencyKey: key, BudgetTokens: budget}
	err := a.step(func(ctx context.Context) error {
		program, err := a.client.Caller.StartProgram(a.client.Context(ctx), request)
		if err != nil {
			return verdict.FromGRPC(err)
		}
		a.history.started[key] = program.Id
		return nil
	})
	return a.history.started[key], err
}

func (a *agent) call(call *rookpassv1.CallRequest) (*outcome, error) {
	o := &outcome{program: call.ProgramId, call: call}
	a.history.outcomes = append(a.history.outcomes, o)
	err := a.step(func(ctx context.Context) error {
		answer, err := a.client.Call(ctx, call, nil)
		if err != nil {
			o.verdict = verdict.Of(err).Verdict
			o.attemptErrors = append(o.attemptErrors, err)
			return err
		}
		o.answered, o.verdict, o.output = true, verdict.FromProto(answer.Final.Verdict), answer.Output
		return nil
	})
	return o, err
}

func (a *agent) end(program string) error {
	return a.step(func(ctx context.Context) error {
		_, err := a.client.Caller.EndProgram(a.client.Context(ctx), &rookpassv1.EndProgramRequest{ProgramId: program, Reason: "done"})
		if err != nil {
			return verdict.FromGRPC(err)
		}
		a.history.ended[program] = true
		return nil
	})
}

func (a *agent) read(program string) error {
	return a.step(func(ctx context.Context) error {
		view, err := a.client.Caller.GetProgram(a.client.Context(ctx), &rookpassv1.GetProgramRequest{ProgramId: program})
		if err != nil {
			return verdict.FromGRPC(err)
		}
		a.history.programs[program] = view
		return nil
	})
}

func modelCall(program string, sequence uint64) *rookpassv1.CallRequest {
	return &rookpassv1.CallRequest{
		ProgramId: program, Sequence: sequence, RequestId: fmt.Sprintf("m%d@%s", sequence, program),
		Kind: rookpassv1.CallKind_CALL_KIND_MODEL, Target: "m", Input: fmt.Appendf(nil, "turn %d of %s. ", sequence, program),
	}
}

func toolCall(program string, sequence uint64) *rookpassv1.CallRequest {
	return &rookpassv1.CallRequest{
		ProgramId: program, Sequence: sequence, RequestId: fmt.Sprintf("t%d@%s", sequence, program),
		Kind: rookpassv1.CallKind_CALL_KIND_TOOL, Target: "book", Input: fmt.Appendf(nil, "booking %d of %s", sequence, program),
	}
}

func childCall(program string, sequence uint64, budget int64) *rookpassv1.CallRequest {
	return &rookpassv1.CallRequest{
		ProgramId: program, Sequence: sequence, RequestId: fmt.Sprintf("c%d@%s", sequence, program),
		Kind: rookpassv1.CallKind_CALL_KIND_SUB_AGENT, Target: "agent", ChildBudgetTokens: budget,
	}
}

// script runs one program with model calls, tool calls and a sub-agent, and ends it.
func (a *agent) script(key string) error {
	program, err := a.start(key, 0)
	if err != nil {
		return err
	}
	if _, err := a.call(modelCall(program, 1)); err != nil {
		return err
	}
	if _, err := a.call(toolCall(program, 2)); err != nil {
		return err
	}
	child, err := a.call(childCall(program, 3, 200_000))
	if err != nil {
		return err
	}
	if child.verdict == verdict.Ran {
		if _, err := a.call(modelCall(string(child.output), 1)); err != nil {
			return err
		}
	}
	if _, err := a.call(toolCall(program, 4)); err != nil {
		return err
	}
	if _, err := a.call(modelCall(program, 5)); err != nil {
		return err
	}
	return a.end(program)
}

// readAll reads all started programs and sub-agents into the history, for the checker.
func (a *agent) readAll() error {
	for _, id := range a.history.started {
		if err := a.read(id); err != nil {
			return err
		}
	}
	for _, o := range a.history.outcomes {
		if o.call.Kind == rookpassv1.CallKind_CALL_KIND_SUB_AGENT && o.verdict == verdict.Ran && o.answered {
			if err := a.read(string(o.output)); err != nil {
				return err
			}
		}
	}
	return nil
}

func rootProgram(program string) string {
	root, _, _ := strings.Cut(program, ".")
	return root
}

// isNotRun reports whether an error guarantees that the request did not run.
func isNotRun(err error) bool { return verdict.Of(err).Verdict == verdict.NotRun }
