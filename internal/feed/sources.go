package feed

import (
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/peerlink"
)

// How long the store itself is left alone after it has failed. Where mirrors answer that they have lost it too, they say
// when it is back; where none answers at all, only the store can.
const (
	directPause      = 3 * time.Second
	directAlonePause = 500 * time.Millisecond
)

// lostSample is how many mirrors are asked at a time while nobody can say, others each time: with 30 of them before 200
// readers that ask 5 times a second, each mirror gets 100 questions a second and not 1,000.
const lostSample = 3

// source is a mirror or the store itself.
type source struct {
	Named
	direct bool
}

// sources returns whom to ask, in order: the one that answered last, the other mirrors, the store itself unless
// it failed just now. While nobody answers, it names a few of the mirrors only. It also returns who answered last.
func (f *Feed) sources() ([]source, string) {
	mirrors := f.mirrors()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unanswered > 0 && len(mirrors) > lostSample {
		from := f.unanswered * lostSample % len(mirrors)
		mirrors = slices.Concat(mirrors[from:], mirrors[:from])[:lostSample]
	}
	sources := make([]source, 0, len(mirrors)+1)
	for _, m := range mirrors {
		sources = append(sources, source{Named: Named{Name: m.Name, Source: m.Mirror}})
		if last := len(sources) - 1; m.Name == f.current {
			sources[0], sources[last] = sources[last], sources[0]
		}
	}
	if len(mirrors) == 0 || time.Since(f.directFailed) >= f.leaveAloneFor() {
		sources = append(sources, source{Named: f.direct, direct: true})
	}
	return sources, f.current
}

// leaveAloneFor returns how long the store is left alone after it failed. It is called with the lock held.
func (f *Feed) leaveAloneFor() time.Duration {
	if f.mirrorAnswered.Before(f.directFailed.Add(-directPause)) {
		return directAlonePause
	}
	return directPause
}

// mirrorsHaveLostIt tells whether a mirror has just said that it can't read the store either.
func (f *Feed) mirrorsHaveLostIt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.mirrorAnswered) < directPause
}

// noteFailure remembers that the store itself failed, or that a mirror that is in reach can't say.
func (f *Feed) noteFailure(s source, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case s.direct:
		f.directFailed = time.Now()
	case !errors.Is(err, peerlink.ErrUnreachable):
		f.mirrorAnswered = time.Now()
	}
}

// noteRound remembers whether any source answered a watch.
func (f *Feed) noteRound(answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered {
		f.unanswered = 0
	} else {
		f.unanswered++
	}
}

// settle notes which source answered; problem tells why those before it did not.
func (f *Feed) settle(name, before string, problem error) {
	if name == before {
		return
	}
	f.mu.Lock()
	f.current = name
	f.mu.Unlock()
	f.log.WithFields(logrus.Fields{"event": "feed-source", "source": name, "before": before, "error": problem}).Info("reading from another source")
}
