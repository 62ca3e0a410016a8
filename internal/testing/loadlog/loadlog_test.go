package loadlog_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/loadlog"
)

const lines = `
 0.1 front-1 time="2026-01-01T00:00:00.1Z" level=info msg="turn prepared" event=turn id=a
 0.1 front-1 time="2026-01-01T00:00:01.0Z" level=info msg="request ended" attempts=s1/200/900ms/0/2 event=request id=a ms=1000
 0.1 front-2 time="2026-01-01T00:00:00.2Z" level=info msg="turn prepared" event=turn id=b
 0.1 front-2 time="2026-01-01T00:00:00.8Z" level=info msg="request ended" attempts="s1/shed/5ms/0/2,s2/200/300ms/0/2" event=request id=b ms=600
 0.1 front-2 time="2026-01-01T00:00:00.8Z" level=info msg="request ended" attempts=t1/200/300ms/0/2 event=request id=tool ms=600
 0.1 front-2 time="2026-01-01T00:00:00.8Z" level=info msg="request ended" attempts= event=request id=c ms=600 outcome="budget spent"
`

func TestTableOfActiveTurns(t *testing.T) {
	turns, err := loadlog.Read(strings.NewReader(lines))
	assert.NilError(t, err)
	assert.Equal(t, len(turns), 2, "tool calls and rejected turns do not count")
	var table strings.Builder
	assert.NilError(t, loadlog.Write(&table, turns, 500*time.Millisecond))
	assert.Equal(t, table.String(), `second  turns  ended  p50 ms  p90 ms  turns on each server
   0.0      1      0       0       0  [0 1]
   0.5      2      2    1000    1000  [1 1]
`)
}

func TestErrorsNameTheLine(t *testing.T) {
	for _, bad := range []string{"attempts=s1 event=request id=a", "attempts=s1/200/soon event=request id=a",
		"attempts=s1/200/9ms event=request id=a time=yesterday", `attempts=s1/200/9ms event=request id=a time="2026-01-01T00:00:00Z" ms=x`} {
		_, err := loadlog.Read(strings.NewReader("\n" + bad))
		assert.ErrorContains(t, err, "line 2")
	}
	assert.ErrorContains(t, loadlog.Write(&strings.Builder{}, nil, time.Second), "no turn")
}
