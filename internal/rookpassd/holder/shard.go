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

// shard is one owned partition.
type shard struct {
	number uint32
	epoch  uint64

	mu       sync.Mutex
	programs map[string]*live
	// closed is set when the partition is being handed over: nothing more is appended here.
	closed bool
	// last is the latest entry appended; when it is done, all before it are.
	last *journal.Entry
}

// live is one program in memory.
type live struct {
	*program.Program
	// assigned is the index of the latest record appended; the program's own index follows once durable.
	assigned uint64
	// starting is the entry that starts the program, until it is applied.
	starting *journal.Entry
	// running is the call under way, nil when there is none.
	running *run
	// reported is the entry that closes a call at another daemon, until it is applied.
	reported *journal.Entry
	// ending is set once an end has been appended.
	ending bool
}

func newShard(number uint32, epoch uint64) *shard {
	return &shard{number: number, epoch: epoch, programs: map[string]*live{}}
}

// add puts a recovered program into the shard.
func (s *shard) add(p *program.Program) *live {
	l := &live{Program: p, assigned: p.Snapshot().Index, ending: p.Ended()}
	s.programs[p.ID()] = l
	return l
}

// ensure returns the program with an id, adding an empty one when there is none.
func (s *shard) ensure(id string) *live {
	if l := s.programs[id]; l != nil {
		return l
	}
	return s.add(program.New(id))
}

// find returns an organisation's program. Another organisation's program is answered as one that does not
// exist.
func (s *shard) find(organisation, id string) (*live, error) {
	l := s.programs[id]
	if l == nil || !l.Exists() || l.Organisation() != organisation || l.Snapshot().Started.SingleRequest {
		return nil, verdict.Refuse(verdict.NotFound, "no program %q", id)
	}
	return l, nil
}

// assign gives records their partition, epoch and index.
func (s *shard) assign(records []*peerv1.Record) {
	for _, record := range records {
		l := s.ensure(record.ProgramId)
		l.assigned++
		record.Partition, record.Epoch, record.Index = s.number, s.epoch, l.assigned
	}
}

// unassign takes assign back for records that the journal did not take.
func (s *shard) unassign(records []*peerv1.Record) {
	for _, record := range records {
		l := s.programs[record.ProgramId]
		l.assigned--
		if l.assigned == 0 {
			delete(s.programs, record.ProgramId)
		}
	}
}

// apply changes the programs by durable records. The journal's goroutine calls it.
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

// get returns a program as its caller sees it.
func (s *shard) get(req *peerv1.ExecuteRequest, withHistory bool) (*rookpassv1.Program, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.find(req.Organisation, req.ProgramId)
	if err != nil {
		return nil, err
	}
	return l.View(withHistory), nil
}

// descendants returns the ids of a program's running sub-agents, deepest first.
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
