// Package loadlog derives the load of backend servers from the logs of front daemons: the number of active turns per
// server over time, and the durations of turns.
package loadlog

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("loadlog")

// Turn is the last attempt of a turn, as logged by a front daemon.
type Turn struct {
	Server string
	// Began and Ended are the times of the attempt; Arrived is the time of the request.
	Arrived, Began, Ended time.Time
}

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

var fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Read returns the turns in a log, sorted by their ends. Lines of other events are ignored, and so is any text before a
// line's first field.
func Read(r io.Reader) ([]Turn, error) {
	turnIDs := map[string]bool{}
	requests := map[string]Turn{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for n := 1; scanner.Scan(); n++ {
		fields := parseFields(scanner.Text())
		switch fields["event"] {
		case "turn":
			turnIDs[fields["id"]] = true
		case "request":
			turn, sent, err := decodeRequest(fields)
			if err != nil {
				return nil, Error.New("line %d: %w", n, err)
			}
			if sent {
				requests[fields["id"]] = turn
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	var turns []Turn
	for id, turn := range requests {
		if turnIDs[id] {
			turns = append(turns, turn)
		}
	}
	slices.SortFunc(turns, func(a, b Turn) int { return a.Ended.Compare(b.Ended) })
	return turns, nil
}

func parseFields(line string) map[string]string {
	fields := map[string]string{}
	for _, m := range fieldPattern.FindAllStringSubmatch(line, -1) {
		value := m[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		fields[m[1]] = value
	}
	return fields
}

// decodeRequest returns the last attempt of a request, or false if it was never sent.
func decodeRequest(fields map[string]string) (Turn, bool, error) {
	if fields["attempts"] == "" {
		return Turn{}, false, nil
	}
	attempts := strings.Split(fields["attempts"], ",")
	last := strings.Split(attempts[len(attempts)-1], "/")
	if len(last) < 3 {
		return Turn{}, false, Error.New("attempt %q is not server/outcome/duration", attempts[len(attempts)-1])
	}
	duration, err := time.ParseDuration(last[2])
	if err != nil {
		return Turn{}, false, err
	}
	ended, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return Turn{}, false, err
	}
	ms, err := strconv.ParseInt(fields["ms"], 10, 64)
	if err != nil {
		return Turn{}, false, err
	}
	return Turn{Server: last[0], Ended: ended, Began: ended.Add(-duration), Arrived: ended.Add(-time.Duration(ms) * time.Millisecond)}, true, nil
}

// Write prints a table with a line per step: the number of active turns in total and per server, and the median and the
// 90th percentile of the durations of the turns that ended in the step, in milliseconds.
func Write(w io.Writer, turns []Turn, step time.Duration) error {
	if len(turns) == 0 {
		return Error.New("log has no turns")
	}
	servers := map[string]int{}
	for _, t := range turns {
		servers[t.Server] = 0
	}
	start := slices.MinFunc(turns, func(a, b Turn) int { return a.Began.Compare(b.Began) }).Began
	end := turns[len(turns)-1].Ended
	if _, err := fmt.Fprintln(w, "second  turns  ended  p50 ms  p90 ms  turns on each server"); err != nil {
		return err
	}
	for at := start; at.Before(end); at = at.Add(step) {
		counts, durations := activeTurns(turns, servers, at, step)
		total := 0
		for _, n := range counts {
			total += n
		}
		_, err := fmt.Fprintf(w, "%6.1f  %5d  %5d  %6d  %6d  %v\n", at.Sub(start).Seconds(), total, len(durations), quantile(durations, 0.5), quantile(durations, 0.9), counts)
		if err != nil {
			return err
		}
	}
	return nil
}

// activeTurns returns the number of active turns of each server at a time, sorted, and the sorted durations of the turns
// that end within the step.
func activeTurns(turns []Turn, servers map[string]int, at time.Time, step time.Duration) ([]int, []time.Duration) {
	clear(servers)
	var durations []time.Duration
	for _, t := range turns {
		servers[t.Server] += 0
		if !t.Began.After(at) && t.Ended.After(at) {
			servers[t.Server]++
		}
		if !t.Ended.Before(at) && t.Ended.Before(at.Add(step)) {
			durations = append(durations, t.Ended.Sub(t.Arrived))
		}
	}
	var counts []int
	for _, n := range servers {
		counts = append(counts, n)
	}
	slices.Sort(counts)
	slices.Sort(durations)
	return counts, durations
}

// quantile returns the q-quantile of sorted durations in milliseconds, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Milliseconds()
}
