package programreport

import (
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// line is a parsed log line.
type line struct {
	// vm is the VM name in front of the fields, or else the daemon field; empty if there is neither.
	vm string
	// at is the time of the line: simulated seconds in front of the fields, or the time field as Unix time.
	at        time.Duration
	hasTime   bool
	simulated bool
	fields    map[string]string
}

var keyPattern = regexp.MustCompile(`^[A-Za-z_][\w.-]*$`)

// parseLine parses a line of key=value pairs. Words in front of the first pair may be a simulated time in seconds and a
// VM name; others are ignored. It returns false if the line has no event.
func parseLine(text string) (line, bool) {
	l := line{fields: map[string]string{}}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeftFunc(text, unicode.IsSpace) {
		end := strings.IndexFunc(text, func(r rune) bool { return r == '=' || unicode.IsSpace(r) })
		if end < 0 || text[end] != '=' || !keyPattern.MatchString(text[:end]) {
			var word string
			word, text = cutWord(text)
			if len(l.fields) == 0 {
				l.addPrefix(strings.Trim(word, "[]():|"))
			}
			continue
		}
		key := text[:end]
		text = text[end+1:]
		var value string
		if quoted, err := strconv.QuotedPrefix(text); err == nil {
			value, _ = strconv.Unquote(quoted) // QuotedPrefix returns only valid literals
			text = text[len(quoted):]
		} else {
			value, text = cutWord(text)
		}
		l.add(key, value)
	}
	if l.vm == "" {
		l.vm = l.fields["daemon"]
	}
	l.setTime()
	return l, l.fields["event"] != ""
}

// cutWord splits text after its first word.
func cutWord(text string) (word, rest string) {
	if end := strings.IndexFunc(text, unicode.IsSpace); end >= 0 {
		return text[:end], text[end:]
	}
	return text, ""
}

func (l *line) addPrefix(word string) {
	seconds, err := strconv.ParseFloat(strings.TrimSuffix(word, "s"), 64)
	switch {
	case word == "":
	case err == nil && seconds >= 0 && seconds < 1e9:
		if !l.hasTime {
			l.at, l.hasTime, l.simulated = time.Duration(seconds*float64(time.Second)), true, true
		}
	case l.vm == "":
		l.vm = word
	}
}

// add stores a field. The priority level of a request has the same key as the severity of the line: logrus renames the
// former, and otherwise the one that is a number is kept.
func (l *line) add(key, value string) {
	if key == "fields.level" {
		key = "level"
	}
	if key == "level" {
		if _, err := strconv.Atoi(value); err != nil {
			return
		}
	}
	l.fields[key] = value
}

func (l *line) setTime() {
	if l.hasTime {
		return
	}
	if at, err := time.Parse(time.RFC3339Nano, l.fields["time"]); err == nil {
		l.at, l.hasTime = time.Duration(at.UnixNano()), true
	}
}

// milliseconds returns a field in milliseconds; ok is false if it is missing or not a number.
func (l *line) milliseconds(key string) (d time.Duration, ok bool) {
	ms, err := strconv.ParseInt(l.fields[key], 10, 64)
	if err != nil || ms > maxMS || ms < -maxMS {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// maxMS bounds durations in a log, so that sums can't overflow: 11 days.
const maxMS = 1_000_000_000

// integer returns a field as a number; 0 if it is missing.
func (l *line) integer(key string) int {
	n, _ := strconv.Atoi(l.fields[key]) // 0 on failure, as documented
	return n
}

// Attempt is an attempt of a request at a backend server.
type Attempt struct {
	Server, Outcome      string
	Took                 time.Duration
	InFlight, Candidates int
	Uncached             string
}

// parseAttempts parses the attempts field of a request. It returns false if any of them is malformed.
func parseAttempts(text string) ([]Attempt, bool) {
	if text == "" {
		return nil, true
	}
	var attempts []Attempt
	for part := range strings.SplitSeq(text, ",") {
		words := strings.Split(part, "/")
		if len(words) < 3 {
			return attempts, false
		}
		ms, err := strconv.ParseInt(strings.TrimSuffix(words[2], "ms"), 10, 64)
		if err != nil || ms < 0 || ms > maxMS {
			return attempts, false
		}
		a := Attempt{Server: words[0], Outcome: words[1], Took: time.Duration(ms) * time.Millisecond}
		for i, word := range words[3:] {
			n, numberErr := strconv.Atoi(word)
			switch {
			case numberErr == nil && i == 0:
				a.InFlight = n
			case numberErr == nil && i == 1:
				a.Candidates = n
			case strings.HasSuffix(word, "t"):
				if _, err := strconv.Atoi(strings.TrimSuffix(word, "t")); err == nil {
					a.Uncached = strings.TrimSuffix(word, "t")
				}
			}
		}
		if len(attempts) < maxAttempts {
			attempts = append(attempts, a)
		}
	}
	return attempts, true
}

// maxAttempts bounds the attempts kept of one request.
const maxAttempts = 16
