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

// Pauses between requests to a failed store. While mirrors answer that they have lost the store too, they will report
// its recovery; while none answers, only the store itself can.
const (
	storeRetryPause      = 3 * time.Second
	storeRetryPauseAlone = 500 * time.Millisecond
	// firstListRetryPause is the first pause between attempts of a first list while no mirror is reachable. It doubles
	// up to storeRetryPauseAlone. It is short because power may return just as an outage of the store ends.
	firstListRetryPause = 50 * time.Millisecond
)

// manyMirrors is the number of mirrors from which on their reports of an outage are relied upon. Where the store
// refuses a third of the VMs, all of so many mirrors are among them once in some thousand times. Readers then delay
// their own request to the store, in proportion to the number of mirrors, since each request is charged.
const manyMirrors = 8

// mirrorsPerRound limits the mirrors that a reader asks within hedgeDelay of one another. Each mirror that is asked
// costs both sides a connection, so if all readers asked all mirrors, the connections would be as many as readers times
// mirrors. As many more, spread over the rest of the list, follow at intervals of extraMirrorTicks times hedgeDelay:
// the preferred mirrors share a data centre, which may have failed as a whole.
const (
	mirrorsPerRound  = 6
	extraMirrorTicks = 8
)

// maxStoreTicks bounds the ticks for which the store waits beside silent mirrors. It leaves 1.4 s of the 5 s within
// which a watch must have its lists to the store, whose responses take up to 0.4 s.
const maxStoreTicks = 120

// outageSample is the number of mirrors asked in each round while none can answer; the rounds rotate through all
// mirrors. Readers ask several times a second.
const outageSample = 3

// source is a mirror or the store.
type source struct {
	NamedSource
	isStore bool
}

// sources returns the sources to ask, in order: the current one, the other mirrors, and the store unless it failed
// recently. After a failed round it includes a sample of the mirrors only. It also returns the current source's name.
func (f *FailoverSource) sources() ([]source, string) {
	mirrors := f.mirrors()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirrorCount = len(mirrors)
	switch {
	case f.failedRounds > 0 && len(mirrors) > outageSample:
		from := f.failedRounds * outageSample % len(mirrors)
		mirrors = slices.Concat(mirrors[from:], mirrors[:from])[:outageSample]
	case len(mirrors) > 2*mirrorsPerRound:
		best, rest := mirrors[:mirrorsPerRound:mirrorsPerRound], mirrors[mirrorsPerRound:]
		for i := range mirrorsPerRound {
			best = append(best, rest[i*len(rest)/mirrorsPerRound])
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
	if f.storeIsDue() {
		sources = append(sources, source{NamedSource: f.store, isStore: true})
	}
	return sources, f.current
}

// storeIsDue reports whether the store may be asked now. The caller holds mu.
func (f *FailoverSource) storeIsDue() bool {
	return f.mirrorCount == 0 || !time.Now().Before(f.storeRetryAt)
}

// storeBackoff returns the pause after a failure of the store. The caller holds mu.
func (f *FailoverSource) storeBackoff(now time.Time) time.Duration {
	if f.mirrorOutageAt.Before(now.Add(-storeRetryPause)) {
		return storeRetryPauseAlone
	}
	return storeRetryPause * time.Duration(max(manyMirrors, f.mirrorCount)) / manyMirrors
}

// mayAsk reports whether a source may still be asked: mirrors may have reported an outage of the store since the round
// began.
func (f *FailoverSource) mayAsk(s source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !s.isStore || f.storeIsDue()
}

// tooSoon reports whether the next source has to wait for more ticks of silence, given the number of sources asked and
// of ticks passed. The store waits for as many ticks as there are mirrors, up to maxStoreTicks, so that slow mirrors
// alone don't cause requests to it.
func (f *FailoverSource) tooSoon(s source, asked, ticks int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.isStore {
		return ticks < min(f.mirrorCount, maxStoreTicks)
	}
	return asked >= mirrorsPerRound && ticks < mirrorsPerRound+extraMirrorTicks*(asked-mirrorsPerRound)
}

// sparesStore reports whether the store has to wait for its ticks even if all mirrors asked have timed out: a mirror
// that times out may be slow. After a failed round the store is asked at once.
func (f *FailoverSource) sparesStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrorCount > 0 && f.failedRounds == 0
}

// mirrorsReportOutage reports whether a mirror recently answered that it can't read the store.
func (f *FailoverSource) mirrorsReportOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.mirrorOutageAt) < storeRetryPause
}

// recordFailure records a failure of the store, or that a reachable mirror is not current.
func (f *FailoverSource) recordFailure(s source, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case s.isStore:
		f.storeRetryAt = now.Add(f.storeBackoff(now))
	case errors.Is(err, objectapi.ErrNotSynced): // it has just started: no sign of an outage
	case !errors.Is(err, peerlink.ErrUnreachable):
		f.recordMirrorOutage(now)
	}
}

// retryFirstList records that the store failed a first list, and reports whether it is to be asked again beside
// unreachable mirrors.
func (f *FailoverSource) retryFirstList(s source) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !s.isStore || f.mirrorCount == 0 || now.Sub(f.mirrorOutageAt) < storeRetryPause {
		return false
	}
	f.storeRetryAt = now.Add(min(storeRetryPauseAlone, firstListRetryPause<<min(f.firstListFailures, 10)))
	f.firstListFailures++
	return true
}

// recordMirrorOutage records that a mirror can't read the store. With many mirrors, the first report delays this
// reader's own request to the store by a random time. The caller holds mu.
func (f *FailoverSource) recordMirrorOutage(now time.Time) {
	first := now.Sub(f.mirrorOutageAt) >= storeRetryPause
	f.mirrorOutageAt = now
	if first && f.mirrorCount > manyMirrors && !now.Before(f.storeRetryAt) {
		f.storeRetryAt = now.Add(rand.N(f.storeBackoff(now)))
	}
}

// recordRound records whether any source answered a poll.
func (f *FailoverSource) recordRound(answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered {
		f.failedRounds = 0
	} else {
		f.failedRounds++
	}
}

// setCurrent records the source that answered and logs a change of source. problem is why those before it did not.
func (f *FailoverSource) setCurrent(name, before string, problem error) {
	if name == before {
		return
	}
	f.mu.Lock()
	f.current = name
	f.mu.Unlock()
	f.log.WithFields(logrus.Fields{"event": "feed-source", "source": name, "before": before, "error": problem}).Info("reading from another source")
}
