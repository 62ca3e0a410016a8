// Package connlimit decides what clients may send and for how long they may take, which connection gives way to another, and
// how the descriptors of a daemon are shared out.
package connlimit

import (
	"cmp"
	"time"

	"github.com/rookpass/rookpass/internal/base/membudget"
)

// Phase is what happens on a client's connection.
type Phase int

// The phases, in the order in which connections give way at a bound. A request that has been received whole never does.
const (
	// Refused means that the client's head was refused and the rest of what it sends is discarded.
	Refused Phase = iota
	// AtRest means that no byte of a request has been received.
	AtRest
	// InHead means that a part of a request's head has been received.
	InHead
	// InBody means that a head was received whole, but not the body.
	InBody
	// InRequest means that a request was received whole and its response has not been sent whole.
	InRequest
	phaseCount
)

// GiveWay lists the phases whose connections may be closed for another one, the first to be closed first.
func GiveWay() []Phase { return []Phase{Refused, AtRest, InHead, InBody} }

// PhaseCount is the number of phases.
const PhaseCount = int(phaseCount)

// Limits bound what a client may send. Zero values mean the defaults of OrDefaults.
type Limits struct {
	// HeadBytes bounds the head of a request, in bytes.
	HeadBytes int
	// HeadTime is the time from the first byte of a head to its end.
	HeadTime time.Duration
	// IdleTime is how long a connection may be at rest, before its first request too.
	IdleTime time.Duration
}

// Default limits, for daemons that know no configuration and for limits that it leaves out. They are wider than those that
// operators set.
const (
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	defaultIdleTime  = 90 * time.Second
	// uncountedBytes is by how much a head may exceed its limit. Clients may not count the request line.
	uncountedBytes = 4 << 10
)

// OrDefaults returns the limits with defaults in place of zero values.
func (l Limits) OrDefaults() Limits {
	return Limits{HeadBytes: cmp.Or(l.HeadBytes, defaultHeadBytes), HeadTime: cmp.Or(l.HeadTime, defaultHeadTime), IdleTime: cmp.Or(l.IdleTime, defaultIdleTime)}
}

// HeadTooLarge reports whether a head of so many bytes is refused.
func (l Limits) HeadTooLarge(bytes int) bool { return bytes > l.HeadBytes+uncountedBytes }

// Expired reports whether a connection that has been in a phase for a time is closed. Requests have deadlines of their own.
func (l Limits) Expired(p Phase, d time.Duration) bool {
	switch p {
	case AtRest:
		return d > l.IdleTime
	case InHead:
		return d > l.HeadTime
	default:
		return false
	}
}

const (
	// headByteCopies is how often a head's bytes are held: as received, and as strings with their rounding.
	headByteCopies = 2
	// fieldBytes approximates the memory of a field beside its bytes: its entry in a map that is at most half empty, its list
	// of values, and the rounding of its name.
	fieldBytes = 128
	// ordinaryHeadMemory is more than the memory of heads of up to 4 KB with up to 50 fields. Such heads may use the reserve
	// for small requests.
	ordinaryHeadMemory = 16 << 10
)

// HeadMemory returns the memory of a head with so many bytes and lines.
func HeadMemory(bytes, lines int) int64 { return headByteCopies*int64(bytes) + fieldBytes*int64(lines) }

// HeadPriority returns the priority of the memory of a head.
func HeadPriority(memory int64) membudget.Priority {
	if memory <= ordinaryHeadMemory {
		return membudget.Small
	}
	return membudget.Large
}

// Shares of a daemon's descriptors. The rest is for files, for connections to other daemons and to the platform's store, and
// for relayed connections, each of which takes two.
const (
	callerShare   = 0.3
	serverShare   = 0.5
	pageShare     = 0.02
	relayShare    = 0.03
	peerShare     = 0.5
	controlShare  = 0.25
	defaultTotal  = 4096
	minimumBound  = 8
	maxPageConns  = 64
	maxRelayConns = 128
)

// Bounds bound the connections of a daemon.
type Bounds struct {
	// Callers bounds the connections at a front daemon's address for callers, Servers those to backend servers.
	Callers, Servers int
	// Pages bounds the connections at each of the addresses for readiness, metrics and status.
	Pages int
	// Relayed bounds the connections of other daemons at a front daemon, Peers those at a store daemon and Control those at
	// its control address, which daemons use that know no other one.
	Relayed, Peers, Control int
}

// BoundsOf shares out descriptors; 0 means that their number is not known.
func BoundsOf(descriptors int) Bounds {
	total := float64(cmp.Or(descriptors, defaultTotal))
	share := func(s float64) int { return max(int(s*total), minimumBound) }
	return Bounds{Callers: share(callerShare), Servers: share(serverShare), Pages: min(share(pageShare), maxPageConns),
		Relayed: min(share(relayShare), maxRelayConns), Peers: share(peerShare), Control: share(controlShare)}
}
