// Package soak runs the real daemons as separate processes on one machine, injects faults from outside them,
// and checks what callers and backend servers see.
//
// A seed decides the plan: which fault strikes what, when and for how long. A plan can be printed and replayed.
package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a fault.
type Kind string

// The faults.
const (
	// Pause stops a process and lets it go on later.
	Pause Kind = "pause"
	// Kill ends a process; it is started again later.
	Kill Kind = "kill"
	// Term asks a process to stop in order; it is started again once it has.
	Term Kind = "term"
	// DiskWipe kills a store daemon and empties its disk.
	DiskWipe Kind = "wipe"
	// TornWrite kills a store daemon and spoils what its disk had not synced.
	TornWrite Kind = "tear"
	// KillAll kills every process.
	KillAll Kind = "kill-all"
	// StoreDown makes the platform's store refuse, StoreSilent say nothing, StoreLost lose answers.
	StoreDown Kind = "store-down"
	StoreHang Kind = "store-silent"
	StoreLost Kind = "store-lost"
	// StoreCompact drops the store's history.
	StoreCompact Kind = "store-forget"
	// ServerHang, ServerCut, ServerSurplus and ServerShed spoil the answers of one backend server.
	ServerHang      Kind = "server-hang"
	ServerTruncate  Kind = "server-cut"
	ServerDuplicate Kind = "server-surplus"
	ServerShed      Kind = "server-shed"
	// ServerDrain takes one backend server away, and brings another at the same address.
	ServerDrain Kind = "server-drain"
	// ServerRestart crashes one backend server silently, and starts it again under its name. EntrySpoil writes over its entry
	// what no server writes.
	ServerRestart Kind = "server-restart"
	EntryCorrupt  Kind = "entry-spoil"
	// LinkDelay, LinkReset, LinkOneWay and LinkSilent harm the connections from one process to the servers and the
	// store.
	LinkDelay     Kind = "link-delay"
	LinkReset     Kind = "link-reset"
	LinkOneWay    Kind = "link-one-way"
	LinkBlackhole Kind = "link-silent"
	// Config brings a new version with one more route.
	Config Kind = "config"
	// KeyRevoke takes an organisation away with its keys, and brings it back.
	KeyRevoke Kind = "key-withdraw"
)

// Fault is one entry of a plan.
type Fault struct {
	Kind   Kind          `json:"kind"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Target int           `json:"target"`
}

// Plan is a whole run.
type Plan struct {
	Seed    uint64        `json:"seed"`
	Fronts  int           `json:"fronts"`
	Stores  int           `json:"stores"`
	Servers int           `json:"servers"`
	Callers int           `json:"callers"`
	Length  time.Duration `json:"length"`
	Faults  []Fault       `json:"faults"`
}

// Size bounds a drawn plan.
type Size struct {
	Fronts, Stores, Servers, Callers int
	Length                           time.Duration
}

// SmallSize is a run of a few seconds with a dozen processes.
var SmallSize = Size{Fronts: 3, Stores: 3, Servers: 6, Callers: 8, Length: 8 * time.Second}

// diskRecoveryTime is the time that a lost disk needs before another may be lost: its restart and refill.
const diskRecoveryTime = 6 * time.Second

// GeneratePlan returns the plan of a seed: series of faults that may overlap, but never more disks lost at once than
// the one that is borne.
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
	slices.SortStableFunc(p.Faults, compareByTime)
	return p
}

func compareByTime(a, b Fault) int { return cmp.Compare(a.At, b.At) }

// generateEntryFaults draws what befalls servers' starts and entries. It has numbers of its own, so that what a seed draws of the
// other faults does not depend on it.
func generateEntryFaults(seed uint64, size Size) []Fault {
	r := rand.New(rand.NewPCG(seed, 2))
	var faults []Fault
	for at := time.Second; at < size.Length; at += time.Duration(500+r.IntN(3000)) * time.Millisecond {
		kind := []Kind{ServerRestart, EntryCorrupt}[r.IntN(2)]
		faults = append(faults, Fault{Kind: kind, At: at, For: time.Duration(200+r.IntN(2500)) * time.Millisecond, Target: r.IntN(size.Servers)})
	}
	return faults
}

// generateKeyFault draws when an organisation is taken away: for longer than the time within which everybody must know.
func generateKeyFault(seed uint64) Fault {
	r := rand.New(rand.NewPCG(seed, 3))
	return Fault{Kind: KeyRevoke, At: time.Duration(500+r.IntN(2000)) * time.Millisecond,
		For: revocationTime + time.Duration(500+r.IntN(1500))*time.Millisecond}
}

// ParsePlan reads a plan that String wrote, and names what is wrong with it.
func ParsePlan(data []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return p, fmt.Errorf("plan: %w", err)
	}
	if p.Fronts < 1 || p.Stores < 1 || p.Servers < 2 || p.Callers < 1 || p.Length <= 0 {
		return p, fmt.Errorf("plan: fronts, stores, callers and length must be above 0, servers above 1")
	}
	for i, f := range p.Faults {
		if f.Target < 0 || f.Target >= max(p.Fronts+p.Stores, p.Servers) {
			return p, fmt.Errorf("plan: fault %d: no target %d", i, f.Target)
		}
	}
	slices.SortStableFunc(p.Faults, compareByTime)
	return p, nil
}

// String returns the plan as JSON.
func (p Plan) String() string {
	data, _ := json.Marshal(p) // plain numbers and texts
	return string(data)
}
