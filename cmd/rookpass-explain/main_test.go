package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const failedLine = "1.00 f event=request id=x ms=10 outcome=timeout status=504 program=p attempts=m1/timeout/9ms/0/1\n"

func newOptions(logs ...string) *options {
	opts := &options{Top: 5, Programs: 10}
	opts.Files.Logs = logs
	return opts
}

func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "front.log")
	assert.NilError(t, os.WriteFile(file, []byte(failedLine), 0o600))
	for _, opts := range []*options{newOptions(), newOptions("-"), newOptions(file)} {
		var out strings.Builder
		assert.NilError(t, run(opts, strings.NewReader(failedLine), &out))
		assert.Assert(t, strings.Contains(out.String(), "program p: failed, cause: server: timeout"), out.String())
	}
}

// TestRunReportsBadInput guards against reports on inputs that are no logs.
func TestRunReportsBadInput(t *testing.T) {
	folder := t.TempDir()
	noLog := filepath.Join(folder, "notes.txt")
	assert.NilError(t, os.WriteFile(noLog, []byte("nothing\n"), 0o600))
	for _, c := range []struct {
		opts *options
		want string
	}{
		{newOptions(filepath.Join(folder, "missing.log")), "missing.log"},
		{newOptions(folder), "is a directory"},
		{newOptions(noLog), "notes.txt has no log events in its 1 lines"},
		{&options{Top: -1, Programs: 1}, "--top"},
		{&options{Top: 1}, "--programs"},
	} {
		var out strings.Builder
		assert.ErrorContains(t, run(c.opts, strings.NewReader(""), &out), c.want)
		assert.Equal(t, out.String(), "")
	}
}
