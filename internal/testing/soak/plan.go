// Package soak runs real daemons as separate processes on one machine, injects faults from the outside, and checks the
// invariants that callers and backend servers can observe.
//
// A seed determines the plan: the kind, target, time and duration of each fault. A plan can be printed and replayed.
package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// Pause suspends a process with SIGSTOP and resumes it later.
	Pause Kind = "pause"
	// Kill kills a process and restarts it later.
	Kill Kind = "kill"
	// Term stops a process gracefully with SIGTERM and restarts it after its exit.
	Term Kind = "term"
	// DiskWipe kills a store daemon, deletes its data and restarts it.
	DiskWipe Kind = "wipe"
	// TornWrite kills a store daemon, appends a partial record to its newest file and restarts it.
	TornWrite Kind = "tear"
	// KillAll kills all processes and restarts them.
	KillAll Kind = "kill-all"
	// StoreDown makes the platform's store reject requests, StoreHang leave them unanswered, StoreLost drop responses.
	StoreDown Kind = "store-down"
	StoreHang Kind = "store-silent"
	StoreLost Kind = "store-lost"
	// StoreCompact drops the store's change history, so that watches have to list again.
	StoreCompact Kind = "store-forget"
	// ServerHang, ServerTruncate, ServerDuplicate and ServerShed change the answers of one backend server.
	ServerHang      Kind = "server-hang"
	ServerTruncate  Kind = "server-cut"
	ServerDuplicate Kind = "server-surplus"
	ServerShed      Kind = "server-shed"
	// ServerDrain drains and removes a backend server and starts another one at the same address.
	ServerDrain Kind = "server-drain"
	// ServerRestart crashes a backend server without closing its connections and restarts it under the same name.
	// EntryCorrupt overwrites a server's registry entry with an invalid one.
	ServerRestart Kind = "server-restart"
	EntryCorrupt  Kind = "entry-spoil"
	// The kinds from ServerUnframed to ServerChunksReset change how the answers of one backend server are framed and
	// broken off, if it has no other fault: see the faults of the same names in package workload.
	ServerUnframed             Kind = "server-unframed"
	ServerUnframedClose        Kind = "server-unframed-close"
	ServerUnframedReset        Kind = "server-unframed-reset"
	ServerUnframedResetBetween Kind = "server-unframed-reset-between"
	ServerLength               Kind = "server-length"
	ServerLengthClose          Kind = "server-length-close"
	ServerLengthReset          Kind = "server-length-reset"
	ServerChunksClose          Kind = "server-chunks-close"
	ServerChunksReset          Kind = "server-chunks-reset"
	// LinkDelay, LinkReset, LinkOneWay and LinkBlackhole disturb the connections of one process to the store and from
	// callers, and those to one server.
	LinkDelay     Kind = "link-delay"
	LinkReset     Kind = "link-reset"
	LinkOneWay    Kind = "link-one-way"
	LinkBlackhole Kind = "link-silent"
	// Config publishes a new configuration version with one more route.
	Config Kind = "config"
	// KeyRevoke removes an organisation and its keys and restores it later.
	KeyRevoke Kind = "key-withdraw"
)

// Fault is one fault of a plan. Target is an index of a process or server, depending on Kind.
type Fault struct {
	Kind   Kind          `json:"kind"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Target int           `json:"target"`
}

// Plan describes a run.
type Plan struct {
	Seed    uint64        `json:"seed"`
	Fronts  int           `json:"fronts"`
	Stores  int           `json:"stores"`
	Servers int           `json:"servers"`
	Callers int           `json:"callers"`
	Length  time.Duration `json:"length"`
	Faults  []Fault       `json:"faults"`
}

// Size is the size of a generated plan.
type Size struct {
	Fronts, Stores, Servers, Callers int
	Length                           time.Duration
}

// SmallSize is the size of a run of a few seconds with a few processes.
var SmallSize = Size{Fronts: 3, Stores: 3, Servers: 6, Callers: 8, Length: 8 * time.Second}

// diskRecoveryTime is the minimum time between the end of a disk fault and the next one. In this time the store daemon
// restarts and copies its data from the others.
const diskRecoveryTime = 6 * time.Second

// GeneratePlan returns the plan of a seed. Faults may overlap, but no two disks are lost at the same time, because the
// daemons tolerate the loss of one.
func GeneratePlan(seed uint64, size Size) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Fronts: size.Fronts, Stores: size.Stores, Servers: size.Servers, Callers: size.Callers, Length: size.Length}
	kinds := []Kind{Pause, Pause, Kill, Kill, Term, Term, DiskWipe, TornWrite, StoreDown, StoreHang, StoreLost, StoreCompact, ServerHang, ServerTruncate,
		ServerDuplicate, ServerShed, ServerDrain, LinkDelay, LinkReset, LinkOneWay, LinkBlackhole, Config}
	if r.IntN(4) == 0 {
		kinds = append(kinds, KillAll, KillAll)
	}
	var nextDiskFault time.Duration
	for at := time.Second; at < size.Length; at += time.Duration(100+r.IntN(900)) * time.Millisecond {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], At: at, For: time.Duration(200+r.IntN(2500)) * time.Millisecond}
		switch f.Kind {
		case DiskWipe, TornWrite:
			if at < nextDiskFault {
				continue
			}
			nextDiskFault = at + f.For + diskRecoveryTime
			f.Target = r.IntN(size.Stores)
		case Pause, Kill, Term, LinkDelay, LinkReset, LinkOneWay, LinkBlackhole:
			f.Target = r.IntN(size.Fronts + size.Stores)
		case ServerHang, ServerTruncate, ServerDuplicate, ServerShed, ServerDrain:
			f.Target = r.IntN(size.Servers)
		case KillAll:
			nextDiskFault = max(nextDiskFault, at+f.For+diskRecoveryTime)
		}
		p.Faults = append(p.Faults, f)
	}
	p.Faults = append(p.Faults, generateEntryFaults(seed, size)...)
	p.Faults = append(p.Faults, generateKeyFault(seed))
	p.Faults = append(p.Faults, generateAnswerFaults(seed, size)...)
	slices.SortStableFunc(p.Faults, compareByTime)
	return p
}

func compareByTime(a, b Fault) int { return cmp.Compare(a.At, b.At) }

// generateEntryFaults returns the ServerRestart and EntryCorrupt faults of a seed. It has its own random sequence, so
// that the other faults of a seed do not depend on it.
func generateEntryFaults(seed uint64, size Size) []Fault {
	r := rand.New(rand.NewPCG(seed, 2))
	var faults []Fault
	for at := time.Second; at < size.Length; at += time.Duration(500+r.IntN(3000)) * time.Millisecond {
		kind := []Kind{ServerRestart, EntryCorrupt}[r.IntN(2)]
		faults = append(faults, Fault{Kind: kind, At: at, For: time.Duration(200+r.IntN(2500)) * time.Millisecond, Target: r.IntN(size.Servers)})
	}
	return faults
}

// generateKeyFault returns the KeyRevoke fault of a seed. It lasts longer than revocationTime.
func generateKeyFault(seed uint64) Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	return Fault{Kind: KeyRevoke, At: time.Duration(500+r.IntN(2000)) * time.Millisecond,
		For: revocationTime + time.Duration(500+r.IntN(1500))*time.Millisecond}
}

// generateAnswerFaults returns the faults of a seed that change how answers are framed and broken off. It has its own
// random sequence, so that the other faults of a seed do not depend on it.
func generateAnswerFaults(seed uint64, size Size) []Fault {
	r := rand.New(rand.NewPCG(seed, 4))
	kinds := []Kind{ServerUnframed, ServerUnframedClose, ServerUnframedReset, ServerUnframedResetBetween, ServerLength, ServerLengthClose, ServerLengthReset,
		ServerChunksClose, ServerChunksReset}
	var faults []Fault
	for at := time.Second; at < size.Length; at += time.Duration(200+r.IntN(1200)) * time.Millisecond {
		faults = append(faults, Fault{Kind: kinds[r.IntN(len(kinds))], At: at, For: time.Duration(200+r.IntN(2500)) * time.Millisecond,
			Target: r.IntN(size.Servers)})
	}
	return faults
}

// ParsePlan parses and validates a plan in the format of String.
func ParsePlan(data []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return p, fmt.Errorf("plan: %w", err)
	}
	if p.Fronts < 1 || p.Stores < 1 || p.Servers < 2 || p.Callers < 1 || p.Length <= 0 {
		return p, fmt.Errorf("plan: fronts, stores, callers and length must be at least 1, servers at least 2")
	}
	for i, f := range p.Faults {
		if f.Target < 0 || f.Target >= max(p.Fronts+p.Stores, p.Servers) {
			return p, fmt.Errorf("plan: fault %d: target %d out of range", i, f.Target)
		}
	}
	slices.SortStableFunc(p.Faults, compareByTime)
	return p, nil
}

// String returns the plan as JSON.
func (p Plan) String() string {
	data, _ := json.Marshal(p) // can't fail: only numbers and strings
	return string(data)
}
