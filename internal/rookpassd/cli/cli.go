// Package cli implements the command-line tool of operators and callers.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/client"
)

// Exit codes of Run. They tell scripts whether a request may have run.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitBadInput   = 2
	ExitNotRun     = 3
	ExitMayHaveRun = 4
	ExitConflict   = 5
)

// globals holds the options common to all commands.
type globals struct {
	Address string        `long:"address" env:"ROOKPASS_ADDRESS" default:"127.0.0.1:7100" description:"IP:port of a daemon"`
	CA      string        `long:"ca" env:"ROOKPASS_CA" description:"PEM file of the daemons' authority; plain text without"`
	Name    string        `long:"name" env:"ROOKPASS_NAME" default:"root" description:"operator or organisation"`
	Secret  string        `long:"secret" env:"ROOKPASS_SECRET" description:"its secret (better given in the environment)"`
	Output  string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"bound on the whole command"`
}

// app holds the common options and the output streams of all commands.
type app struct {
	globals
	out io.Writer
	err io.Writer
}

// connect returns a client, the command's context and a function that releases both.
func (a *app) connect() (*client.Client, context.Context, context.CancelFunc, error) {
	c, err := client.New(client.Options{Address: a.Address, CA: a.CA, Name: a.Name, Secret: a.Secret})
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	done := func() {
		cancel()
		_ = c.Close()
	}
	return c, ctx, done, nil
}

// usageError marks errors in arguments and input files.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

func usageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// command describes a command that Run adds to the parser.
type command struct {
	name, short string
	data        flags.Commander
}

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	a := &app{out: out, err: errOut}
	parser := flags.NewNamedParser("rookpass", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Connection", "", &a.globals); err != nil {
		return a.fail(err)
	}
	for _, c := range []command{
		{"apply", "create or change the objects in files", &applyCommand{app: a}},
		{"get", "show one object", &getCommand{app: a}},
		{"list", "list the objects of a kind", &listCommand{app: a}},
		{"delete", "delete an object", &deleteCommand{app: a}},
		{"status", "show daemons, partitions and backend servers", &statusCommand{app: a}},
		{"drain", "take a daemon or backend server out of service", &drainCommand{app: a}},
		{"start", "start a program", &startCommand{app: a}},
		{"call", "make the next call of a program", &callCommand{app: a}},
		{"resume", "fetch the answer of a call again", &resumeCommand{app: a}},
		{"run", "run a program from a file of steps", &runCommand{app: a}},
		{"show", "show a program and its history", &showCommand{app: a}},
		{"end", "end a program", &endCommand{app: a}},
		{"send", "send one request to a plain service", &sendCommand{app: a}},
		{"trace", "show the path of a request from trace files", &traceCommand{app: a}},
		{"secret", "make a secret and its hash", &secretCommand{app: a}},
		{"dev-keys", "make a development authority and keys", &devKeysCommand{app: a}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			return a.fail(err)
		}
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case flags.WroteHelp(err):
		_, _ = fmt.Fprintln(out, err)
		return ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(errOut, err)
		return ExitBadInput
	default:
		return a.fail(err)
	}
}

// fail prints an error and returns its exit code.
func (a *app) fail(err error) int {
	if err == nil {
		return ExitOK
	}
	var bad usageError
	if errors.As(err, &bad) || errors.Is(err, os.ErrNotExist) {
		_, _ = fmt.Fprintln(a.err, "rookpass:", err)
		return ExitBadInput
	}
	var typed *verdict.Error
	if !errors.As(err, &typed) {
		_, _ = fmt.Fprintln(a.err, "rookpass:", err)
		return ExitFailed
	}
	_, _ = fmt.Fprintln(a.err, "rookpass:", typed)
	if typed.RetryAfter > 0 {
		_, _ = fmt.Fprintf(a.err, "rookpass: retry after %v\n", typed.RetryAfter)
	}
	switch {
	case typed.Code == verdict.Conflict:
		return ExitConflict
	case typed.Code == verdict.Invalid:
		return ExitBadInput
	case typed.Verdict == verdict.NotRun:
		return ExitNotRun
	default:
		return ExitMayHaveRun
	}
}
