package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/client"
)

var callKinds = map[string]rookpassv1.CallKind{
	"model":     rookpassv1.CallKind_CALL_KIND_MODEL,
	"tool":      rookpassv1.CallKind_CALL_KIND_TOOL,
	"plain":     rookpassv1.CallKind_CALL_KIND_PLAIN,
	"sub-agent": rookpassv1.CallKind_CALL_KIND_SUB_AGENT,
}

func callKindOf(name string) (rookpassv1.CallKind, error) {
	if kind, known := callKinds[name]; known {
		return kind, nil
	}
	return 0, usageErrorf("call kind %q is not one of: model, tool, plain, sub-agent", name)
}

func callKindName(kind rookpassv1.CallKind) string {
	for name, known := range callKinds {
		if known == kind {
			return name
		}
	}
	return kind.String()
}

// startOptions holds the options of a program to start.
type startOptions struct {
	Definition string `long:"definition" required:"true" description:"program definition"`
	Key        string `long:"key" required:"true" description:"idempotency key"`
	Budget     int64  `long:"budget" description:"budget in tokens (default: the definition's)"`
	Priority   int32  `long:"priority" description:"priority, 0 to 9"`
}

func (o startOptions) request() *rookpassv1.StartProgramRequest {
	return &rookpassv1.StartProgramRequest{
		Definition: o.Definition, IdempotencyKey: o.Key, BudgetTokens: o.Budget, Priority: o.Priority,
	}
}

type startCommand struct {
	*app `no-flag:"true"`
	startOptions
}

// Execute starts a program, or finds the one started with the same key, and prints it.
func (c *startCommand) Execute([]string) error {
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	program, err := conn.Caller.StartProgram(conn.Context(ctx), c.request())
	if err != nil {
		return verdict.FromGRPC(err)
	}
	if c.Output == "json" {
		return c.message(program)
	}
	return c.printf("%s\n", program.Id)
}

// step describes one call, in the options of the call command and in the files of the run command.
type step struct {
	Kind        string `long:"kind" default:"model" description:"model, tool, plain or sub-agent" json:"kind"`
	Target      string `long:"target" required:"true" description:"model, service or definition" json:"target"`
	Input       string `long:"input" description:"text that is sent" json:"input"`
	MaxTokens   int64  `long:"max-tokens" description:"bound on generated tokens" json:"max_tokens"`
	Idempotent  bool   `long:"idempotent" description:"the call may be repeated" json:"idempotent"`
	ChildBudget int64  `long:"child-budget" description:"budget of a sub-agent, in tokens" json:"child_budget"`
	// Steps are the steps of a sub-agent; they are set only in files.
	Steps []step `json:"steps"`
}

func (s step) request(programID, requestID string, sequence uint64) (*rookpassv1.CallRequest, error) {
	kind, err := callKindOf(s.Kind)
	if err != nil {
		return nil, err
	}
	return &rookpassv1.CallRequest{
		ProgramId: programID, Sequence: sequence, RequestId: requestID, Kind: kind, Target: s.Target,
		Input: []byte(s.Input), MaxTokens: s.MaxTokens, Idempotent: s.Idempotent, ChildBudgetTokens: s.ChildBudget,
	}, nil
}

type callCommand struct {
	*app      `no-flag:"true"`
	Program   string `long:"program" required:"true" description:"program id"`
	Sequence  uint64 `long:"sequence" description:"sequence of the call (default: the program's next)"`
	RequestID string `long:"request-id" description:"request id (default: derived from the sequence)"`
	step
}

// Execute makes the call and prints its answer.
func (c *callCommand) Execute([]string) error {
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	if c.Sequence == 0 {
		summary := &rookpassv1.GetProgramRequest{ProgramId: c.Program, Summary: true}
		program, err := conn.Caller.GetProgram(conn.Context(ctx), summary)
		if err != nil {
			return verdict.FromGRPC(err)
		}
		c.Sequence = program.NextSequence
	}
	if c.RequestID == "" {
		c.RequestID = fmt.Sprintf("call-%d", c.Sequence)
	}
	request, err := c.request(c.Program, c.RequestID, c.Sequence)
	if err != nil {
		return err
	}
	answer, err := conn.CallUntil(ctx, request, nil)
	if err != nil {
		return err
	}
	return c.showAnswer(answer)
}

func (a *app) showAnswer(answer client.Answer) error {
	if a.Output == "json" {
		return a.value(map[string]any{"output": string(answer.Output), "final": answer.Final})
	}
	if err := a.printf("%s\n", strings.TrimRight(string(answer.Output), "\n")); err != nil {
		return err
	}
	final := answer.Final
	return a.printf("-- sequence %d, %s, %d prompt tokens (%d cached), %d generated, %d spent in all%s\n",
		final.Sequence, verdict.FromProto(final.Verdict), final.PromptTokens, final.CachedTokens,
		final.CompletionTokens, final.SpentTokens, failureText(final.Failure))
}

func failureText(failure string) string {
	if failure == "" {
		return ""
	}
	return ", failure: " + failure
}

type resumeCommand struct {
	*app      `no-flag:"true"`
	Program   string `long:"program" required:"true" description:"program id"`
	RequestID string `long:"request-id" required:"true" description:"request id of the call"`
}

// Execute waits for a call in flight or finished, and prints its answer.
func (c *resumeCommand) Execute([]string) error {
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	answer, err := conn.Resume(ctx, c.Program, c.RequestID)
	if err != nil {
		return err
	}
	return c.showAnswer(answer)
}

// script is the content of a file for the run command.
type script struct {
	Definition string `json:"definition"`
	Key        string `json:"key"`
	Budget     int64  `json:"budget"`
	Priority   int32  `json:"priority"`
	Steps      []step `json:"steps"`
}

type runCommand struct {
	*app `no-flag:"true"`
	File string `short:"f" long:"file" required:"true" description:"program of steps (JSON with comments)"`
	Key  string `long:"key" description:"idempotency key (default: the file's)"`
	Keep bool   `long:"keep" description:"do not end the program"`
}

// Execute runs the steps in order. When repeated with the same key it continues where it stopped: finished calls are
// answered from the program's history.
func (c *runCommand) Execute([]string) error {
	s, err := readScript(c.File)
	if err != nil {
		return err
	}
	if c.Key != "" {
		s.Key = c.Key
	}
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	program, err := conn.Caller.StartProgram(conn.Context(ctx), &rookpassv1.StartProgramRequest{
		Definition: s.Definition, IdempotencyKey: s.Key, BudgetTokens: s.Budget, Priority: s.Priority,
	})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	if err := c.printf("program %s\n", program.Id); err != nil {
		return err
	}
	if err := c.runSteps(ctx, conn, program.Id, s.Steps); err != nil {
		return err
	}
	if c.Keep {
		return nil
	}
	_, err = conn.Caller.EndProgram(conn.Context(ctx), &rookpassv1.EndProgramRequest{ProgramId: program.Id, Reason: "finished"})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	return c.printf("program %s ended\n", program.Id)
}

// runSteps makes a program's calls in order; a sub-agent's steps run before the next step of its parent.
func (c *runCommand) runSteps(ctx context.Context, conn *client.Client, programID string, steps []step) error {
	for i, s := range steps {
		sequence := uint64(i + 1)
		request, err := s.request(programID, fmt.Sprintf("step-%d", sequence), sequence)
		if err != nil {
			return err
		}
		answer, err := conn.CallUntil(ctx, request, nil)
		if err != nil {
			return err
		}
		if err := c.printf("[%s %d] %s %s\n", programID, sequence, s.Kind, s.Target); err != nil {
			return err
		}
		if err := c.showAnswer(answer); err != nil {
			return err
		}
		if len(s.Steps) == 0 {
			continue
		}
		child := string(answer.Output)
		if err := c.runSteps(ctx, conn, child, s.Steps); err != nil {
			return err
		}
		if _, err := conn.Caller.EndProgram(conn.Context(ctx), &rookpassv1.EndProgramRequest{ProgramId: child, Reason: "finished"}); err != nil {
			return verdict.FromGRPC(err)
		}
	}
	return nil
}

func readScript(file string) (script, error) {
	var s script
	text, err := readFile(file)
	if err != nil {
		return s, err
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return s, usageErrorf("%s: %v", file, err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(standard)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, usageErrorf("%s: %v", file, err)
	}
	return s, nil
}

// programArg is the argument that identifies a program.
type programArg struct {
	Program string `positional-arg-name:"program"`
}

type showCommand struct {
	*app `no-flag:"true"`
	Args programArg `positional-args:"true" required:"true"`
}

// Execute prints the program and its history.
func (c *showCommand) Execute([]string) error {
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	program, err := conn.Caller.GetProgram(conn.Context(ctx), &rookpassv1.GetProgramRequest{ProgramId: c.Args.Program})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	if c.Output == "json" {
		return c.message(program)
	}
	state := strings.ToLower(strings.TrimPrefix(program.State.String(), "PROGRAM_STATE_"))
	if err := c.printf("program %s (%s) %s, %d of %d tokens spent\n", program.Id, program.Definition, state,
		program.SpentTokens, program.BudgetTokens); err != nil {
		return err
	}
	var rows [][]string
	for _, turn := range program.History {
		rows = append(rows, []string{
			fmt.Sprint(turn.Sequence), callKindName(turn.Kind), turn.Target, verdict.FromProto(turn.Verdict).String(),
			fmt.Sprint(turn.CostTokens), shorten(turn.Input), shorten(turn.Output),
		})
	}
	return c.table([]string{"SEQUENCE", "KIND", "TARGET", "VERDICT", "TOKENS", "INPUT", "OUTPUT"}, rows)
}

// shortBytes is the maximum length of a text in a table, in bytes.
const shortBytes = 40

func shorten(text []byte) string {
	line := strings.Join(strings.Fields(string(text)), " ")
	if len(line) > shortBytes {
		return line[:shortBytes] + "…"
	}
	return line
}

type endCommand struct {
	*app   `no-flag:"true"`
	Args   programArg `positional-args:"true" required:"true"`
	Reason string     `long:"reason" description:"kept with the program"`
}

// Execute ends the program and its sub-agents.
func (c *endCommand) Execute([]string) error {
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	program, err := conn.Caller.EndProgram(conn.Context(ctx), &rookpassv1.EndProgramRequest{ProgramId: c.Args.Program, Reason: c.Reason})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	return c.printf("program %s ended, %d tokens spent\n", program.Id, program.SpentTokens)
}

type sendCommand struct {
	*app       `no-flag:"true"`
	Target     string `long:"target" required:"true" description:"plain service"`
	Path       string `long:"path" default:"/" description:"path and query"`
	Body       string `long:"body" description:"what is sent"`
	Idempotent bool   `long:"idempotent" description:"the request may be repeated"`
	RequestID  string `long:"request-id" required:"true" description:"a request that is not idempotent runs once for each"`
}

// Execute sends the request and prints the response.
func (c *sendCommand) Execute([]string) error {
	conn, ctx, done, err := c.connect()
	if err != nil {
		return err
	}
	defer done()
	response, err := conn.Caller.Send(conn.Context(ctx), &rookpassv1.SendRequest{
		Target: c.Target, Path: c.Path, Body: []byte(c.Body), Idempotent: c.Idempotent, RequestId: c.RequestID,
	})
	if err != nil {
		return verdict.FromGRPC(err)
	}
	return c.printf("%d %s\n", response.Status, strings.TrimRight(string(response.Body), "\n"))
}
