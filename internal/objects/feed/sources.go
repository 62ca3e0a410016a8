package feed

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// How long the store itself is left alone after it has failed. Where mirrors answer that they have lost it too, they say
// when it is back; where none answers at all, only the store can.
const (
	directPause      = 3 * time.Second
	directAlonePause = 500 * time.Millisecond
	// firstListPause is the first pause before a daemon that knows nothing, and has no mirror in reach, asks for its first list
	// again, doubled with each failure up to directAlonePause: power may return just as an outage ends.
	firstListPause = 50 * time.Millisecond
)

// manyMirrors is from how many mirrors on their word that they have lost the store is all but certain: where the store turns
// away a third of the VMs, all of so many are among them once in some thousand times. Readers then ask the store itself
// the less often the more mirrors there are, and not at once: each call has a price.
const manyMirrors = 8

// mostMirrors is how many mirrors a reader turns to within ticks of one another in one round, the best first and others in the
// next round where none of them answers. Each that it asks costs both a connection, so readers that ask all make as many as
// readers times mirrors. As many more, from all over the list, are asked slowTicks apart: the best stand in one data centre,
// which may be dark as a whole.
const (
	mostMirrors = 6
	slowTicks   = 8
)

// lostSample is how many mirrors are asked at a time while nobody can say, others each time: readers ask
// several times a second.
const lostSample = 3

// source is a mirror or the store itself.
type source struct {
	NamedSource
	direct bool
}

// sources returns whom to ask, in order: the one that answered last, the other mirrors, the store itself unless
// it failed just now. While nobody answers, it names a few of the mirrors only. It also returns who answered last.
func (f *FailoverSource) sources() ([]source, string) {
	mirrors := f.mirrors()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = len(mirrors)
	switch {
	case f.unanswered > 0 && len(mirrors) > lostSample:
		from := f.unanswered * lostSample % len(mirrors)
		mirrors = slices.Concat(mirrors[from:], mirrors[:from])[:lostSample]
	case len(mirrors) > 2*mostMirrors:
		best, rest := mirrors[:mostMirrors:mostMirrors], mirrors[mostMirrors:]
		for i := range mostMirrors {
			best = append(best, rest[i*len(rest)/mostMirrors])
		}
		mirrors = best
	}
	sources := make([]source, 0, len(mirrors)+1)
	for _, m := range mirrors {
		sources = append(sources, source{NamedSource: NamedSource{Name: m.Name, Source: m.Mirror}})
		if last := len(sources) - 1; m.Name == f.current {
			sources[0], sources[last] = sources[last], sources[0]
		}
	}
	if f.directIsDue() {
		sources = append(sources, source{NamedSource: f.direct, direct: true})
	}
	return sources, f.current
}

// directIsDue tells whether the store itself may be asked now. It is called with the lock held.
func (f *FailoverSource) directIsDue() bool { return f.known == 0 || !time.Now().Before(f.directDue) }

// leaveAloneFor returns how long the store is left alone after it has failed now. It is called with the lock held.
func (f *FailoverSource) leaveAloneFor(now time.Time) time.Duration {
	if f.mirrorAnswered.Before(now.Add(-directPause)) {
		return directAlonePause
	}
	return directPause * time.Duration(max(manyMirrors, f.known)) / manyMirrors
}

// mayAsk tells whether a source may be asked now: while sources were tried, mirrors may have said that they have lost the
// store.
func (f *FailoverSource) mayAsk(s source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !s.direct || f.directIsDue()
}

// tooSoon tells whether the next source, before which so many were asked, is to be asked later than after so many ticks of
// silence. The store itself is asked no sooner than if every mirror had had its tick: where a fleet starts all mirrors are slow,
// and each reader's calls to the store have a price.
func (f *FailoverSource) tooSoon(s source, asked, ticks int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.direct {
		return ticks < f.known
	}
	return asked >= mostMirrors && ticks < mostMirrors+slowTicks*(asked-mostMirrors)
}

// mirrorsHaveLostIt tells whether a mirror has just said that it can't read the store either.
func (f *FailoverSource) mirrorsHaveLostIt() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.mirrorAnswered) < directPause
}

// noteFailure remembers that the store itself failed, or that a mirror that is in reach can't say.
func (f *FailoverSource) noteFailure(s source, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case s.direct:
		f.directDue = now.Add(f.leaveAloneFor(now))
	case errors.Is(err, objectapi.ErrNotSynced): // it has just started, and has not lost the store
	case !errors.Is(err, peerlink.ErrUnreachable):
		f.noteLoss(now)
	}
}

// noteFirstList remembers that the store failed a daemon that knows nothing, and tells whether it is to be asked again beside
// silent mirrors.
func (f *FailoverSource) noteFirstList(s source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !s.direct || f.known == 0 || now.Sub(f.mirrorAnswered) < directPause {
		return false
	}
	f.directDue = now.Add(min(directAlonePause, firstListPause<<min(f.firstLists, 10)))
	f.firstLists++
	return true
}

// noteLoss remembers that a mirror has lost the store. The first of many to say so puts the reader's own question off, each
// reader's to another time. It is called with the lock held.
func (f *FailoverSource) noteLoss(now time.Time) {
	first := now.Sub(f.mirrorAnswered) >= directPause
	f.mirrorAnswered = now
	if first && f.known > manyMirrors && !now.Before(f.directDue) {
		f.directDue = now.Add(rand.N(f.leaveAloneFor(now)))
	}
}

// noteRound remembers whether any source answered a watch.
func (f *FailoverSource) noteRound(answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered {
		f.unanswered = 0
	} else {
		f.unanswered++
	}
}

// settle notes which source answered; problem tells why those before it did not.
func (f *FailoverSource) settle(name, before string, problem error) {
	if name == before {
		return
	}
	f.mu.Lock()
	f.current = name
	f.mu.Unlock()
	f.log.WithFields(logrus.Fields{"event": "feed-source", "source": name, "before": before, "error": problem}).Info("reading from another source")
}
