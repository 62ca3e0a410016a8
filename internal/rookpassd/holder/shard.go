package holder

import (
	"slices"
	"sync"
	"time"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// shard is the state of one partition that this daemon owns.
type shard struct {
	number uint32
	epoch  uint64

	mu       sync.Mutex
	programs map[string]*programState
	// closed is set during a hand-over and after the partition was dropped: no more records are accepted.
	closed bool
	// last is the latest entry appended. Entries complete in order.
	last *journal.Entry
}

// programState is a program with its in-memory state.
type programState struct {
	*program.Program
	// assigned is the index of the latest record appended. The program's own index advances once it is durable.
	assigned uint64
	// starting is the entry that starts the program; nil if the program was recovered or adopted.
	starting *journal.Entry
	// running is the running call, or nil.
	running *run
	// reported is the entry that closes a call at another daemon, until the call's run is completed.
	reported *journal.Entry
	// ending is set once the end of the program has been appended.
	ending bool
}

func newShard(number uint32, epoch uint64) *shard {
	return &shard{number: number, epoch: epoch, programs: map[string]*programState{}}
}

// add adds a program to the shard.
func (s *shard) add(p *program.Program) *programState {
	l := &programState{Program: p, assigned: p.Snapshot().Index, ending: p.Ended()}
	s.programs[p.ID()] = l
	return l
}

// ensure returns the program with an id. It adds an empty program if there is none.
func (s *shard) ensure(id string) *programState {
	if l := s.programs[id]; l != nil {
		return l
	}
	return s.add(program.New(id))
}

// find returns a program of an organisation. It returns the same NotFound error for a program of another
// organisation as for an unknown one.
func (s *shard) find(organisation, id string) (*programState, error) {
	l := s.programs[id]
	if l == nil || !l.Exists() || l.Organisation() != organisation || l.Snapshot().Started.SingleRequest {
		return nil, verdict.Refuse(verdict.NotFound, "no program %q", id)
	}
	return l, nil
}

// assign sets the partition, epoch and index of records.
func (s *shard) assign(records []*peerv1.Record) {
	for _, record := range records {
		l := s.ensure(record.ProgramId)
		l.assigned++
		record.Partition, record.Epoch, record.Index = s.number, s.epoch, l.assigned
	}
}

// unassign undoes assign for records that the journal rejected.
func (s *shard) unassign(records []*peerv1.Record) {
	for _, record := range records {
		l := s.programs[record.ProgramId]
		l.assigned--
		if l.assigned == 0 {
			delete(s.programs, record.ProgramId)
		}
	}
}

// apply applies durable records to the programs. It is called by the journal's goroutine.
func (s *shard) apply(records []*peerv1.Record) {
	now := time.Now().UnixMilli()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		if l := s.programs[record.ProgramId]; l != nil {
			l.Apply(record, now)
		}
	}
}

// get returns the caller-visible view of a program.
func (s *shard) get(req *peerv1.ExecuteRequest, withHistory bool) (*rookpassv1.Program, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.find(req.Organisation, req.ProgramId)
	if err != nil {
		return nil, err
	}
	return l.View(withHistory), nil
}

// descendants returns the ids of a program's sub-agents, at all levels, that have not ended, longest id first.
func (s *shard) descendants(id string) []string {
	var found []string
	for other, l := range s.programs {
		if isDescendant(other, id) && l.Exists() && !l.Ended() && !l.ending {
			found = append(found, other)
		}
	}
	slices.SortFunc(found, func(a, b string) int { return len(b) - len(a) })
	return found
}

func isDescendant(id, ancestor string) bool {
	return len(id) > len(ancestor) && id[:len(ancestor)] == ancestor && id[len(ancestor)] == '.'
}
