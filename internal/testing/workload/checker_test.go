package workload

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestCheckerDetectsViolations: the checker reports each violated invariant and nothing else.
func TestCheckerDetectsViolations(t *testing.T) {
	for name, c := range map[string]struct {
		events func(*Checker)
		want   string
	}{
		"nothing wrong": {func(c *Checker) {
			c.RecordSent("a", "x", false)
			c.RecordRun("a", "x")
			c.RecordSent("b", "x", true)
			c.RecordRun("b", "x")
			c.RecordRun("b", "x")
			c.RecordSent("d", "x", false)
			c.RecordRefusal("d", 503)
			c.RecordTokens("p", 10, 10)
		}, ""},
		"ran twice":                {func(c *Checker) { c.RecordSent("a", "x", false); c.RecordRun("a", "x"); c.RecordRun("a", "x") }, "must run at most once"},
		"refused then ran":         {func(c *Checker) { c.RecordSent("a", "x", false); c.RecordRefusal("a", 503); c.RecordRun("a", "x") }, "ran later"},
		"ran then refused":         {func(c *Checker) { c.RecordSent("a", "x", false); c.RecordRun("a", "x"); c.RecordRefusal("a", 402) }, "was rejected with status 402"},
		"changed":                  {func(c *Checker) { c.RecordSent("a", "x", false); c.RecordRun("a", "y") }, "with 1 bytes"},
		"nobody sent":              {func(c *Checker) { c.RecordRun("a", "x") }, "no caller sent"},
		"beyond budget":            {func(c *Checker) { c.RecordTokens("p", 6, 10); c.RecordTokens("p", 6, 10) }, "12 tokens, limit 10"},
		"late at a leaving server": {func(c *Checker) { c.RecordDraining("s"); time.Sleep(3 * time.Second); c.RecordArrival("s", "a") }, "after it started draining"},
		"soon at a leaving server": {func(c *Checker) { c.RecordDraining("s"); time.Sleep(time.Second); c.RecordArrival("s", "a") }, ""},
		"went back":                {func(c *Checker) { c.RecordConfigVersion("f", 4, true); c.RecordConfigVersion("f", 3, false) }, "reverted its configuration"},
		"not yet there":            {func(c *Checker) { c.RecordConfigVersion("f", 4, true); c.RecordConfigVersion("f", 5, false) }, ""},
		"answered": {func(c *Checker) {
			c.RecordSent("a", "x", false)
			c.RecordRun("a", "x")
			c.RecordAnswered("a")
			c.RecordComplete("a")
		}, ""},
		"answered by another server": {func(c *Checker) {
			c.RecordSent("a", "x", true)
			c.RecordRun("a", "x")
			c.RecordRun("a", "x")
			c.RecordAnswered("a")
			c.RecordComplete("a")
		}, ""},
		"broken off but complete": {func(c *Checker) { c.RecordSent("a", "x", false); c.RecordRun("a", "x"); c.RecordComplete("a") }, "but not yet for any"},
		"ended by itself":         {func(c *Checker) { c.AddViolation("%s ended by itself", "front-1") }, "ended by itself"},
	} {
		synctest.Test(t, func(t *testing.T) {
			checker := NewChecker()
			c.events(checker)
			broken := strings.Join(checker.Violations(), "; ")
			assert.Equal(t, broken == "", c.want == "", "%s: %s", name, broken)
			assert.Assert(t, strings.Contains(broken, c.want), "%s: %s", name, broken)
		})
	}
}
