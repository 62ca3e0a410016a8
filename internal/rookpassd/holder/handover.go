package holder

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// Recover starts serving a partition that was taken over from a failed owner. Before that, it durably closes
// the calls that were running and counts reserved tokens as spent.
func (h *Holder) Recover(ctx context.Context, number uint32, epoch uint64, programs map[string]*program.Program) error {
	s := newShard(number, epoch)
	for _, p := range programs {
		s.add(p)
	}
	err := h.commit(ctx, s, func() ([]*peerv1.Record, error) {
		var records []*peerv1.Record
		for _, l := range s.programs {
			records = append(records, takeoverRecords(l)...)
		}
		return records, nil
	})
	if err != nil {
		return err
	}
	return h.install(s)
}

// install starts serving a shard. It returns a Conflict error if the partition is already served under the same
// or a later epoch, whose state is newer.
func (h *Holder) install(s *shard) error {
	for {
		present := h.shards[s.number].Load()
		if present != nil && present.epoch >= s.epoch {
			return verdict.Refuse(verdict.Conflict, "partition %d is already served under epoch %d", s.number, present.epoch)
		}
		if h.shards[s.number].CompareAndSwap(present, s) {
			return nil
		}
	}
}

// takeoverRecords returns the records that a new owner must write before it serves a program.
func takeoverRecords(l *programState) []*peerv1.Record {
	call := l.Intended()
	if call == nil {
		call = l.Snapshot().Running
	}
	if !l.Exists() || (l.Ended() && call == nil) || (call == nil && l.Reserved() <= l.Spent()) {
		return nil
	}
	taken := &peerv1.TakenOver{SpentTokens: max(l.Reserved(), l.Spent())}
	records := []*peerv1.Record{{ProgramId: l.ID(), Change: &peerv1.Record_TakenOver{TakenOver: taken}}}
	if call == nil {
		return records
	}
	return append(records, lostRecord(l.ID(), call, 0))
}

// lostRecord returns the record that closes a call whose executor has failed. Idempotent calls and model calls
// are abandoned, so that they can run again; other calls finish with the verdict "may have run".
func lostRecord(id string, call *rookpassv1.CallRequest, cost int64) *peerv1.Record {
	if call.Idempotent || call.Kind == rookpassv1.CallKind_CALL_KIND_MODEL {
		return abandonedRecord(id, call, cost)
	}
	return finishedRecord(id, &peerv1.Finished{
		Call:       call,
		Verdict:    rookpassv1.Verdict_VERDICT_MAY_HAVE_RUN,
		CostTokens: cost,
		Failure:    "the daemon that ran the call is gone",
	})
}

// Close stops serving a partition for a hand-over and returns its programs after all appended entries are
// durable. Running calls continue; their outcome is reported to the new owner. Reopen undoes Close.
func (h *Holder) Close(ctx context.Context, number uint32) ([]*peerv1.ProgramSnapshot, error) {
	s := h.shards[number].Load()
	if s == nil {
		return nil, errHandingOver
	}
	s.mu.Lock()
	s.closed = true
	last := s.last
	s.mu.Unlock()
	if err := awaitDurable(ctx, last); err != nil {
		h.Reopen(number)
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var snapshots []*peerv1.ProgramSnapshot
	for _, l := range s.programs {
		if !l.Exists() {
			continue
		}
		snapshot := proto.CloneOf(l.Snapshot())
		// A call that still runs at an earlier owner keeps that owner as its executor.
		if l.running != nil && snapshot.Executor == "" {
			snapshot.Running, snapshot.Executor = l.running.call, h.Incarnation
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots, nil
}

// Reopen serves a closed partition again after a failed hand-over.
func (h *Holder) Reopen(number uint32) {
	s := h.shards[number].Load()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = false
}

// reopened reports whether the shard accepts records.
func (s *shard) reopened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed
}

// Drop removes a partition that has another owner.
func (h *Holder) Drop(number uint32) {
	if s := h.shards[number].Swap(nil); s != nil {
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
	}
}

// Owns reports whether this daemon serves a partition, and under which epoch.
func (h *Holder) Owns(number uint32) (epoch uint64, owned bool) {
	s := h.shards[number].Load()
	if s == nil {
		return 0, false
	}
	return s.epoch, true
}

// Adopt starts serving a partition that its old owner handed over.
func (h *Holder) Adopt(number uint32, epoch uint64, snapshots []*peerv1.ProgramSnapshot) error {
	s := newShard(number, epoch)
	for _, snapshot := range snapshots {
		l := s.add(program.FromSnapshot(snapshot))
		if snapshot.Running != nil {
			l.running = newRun(snapshot.Running, func() {})
			l.running.remote = true
		}
	}
	return h.install(s)
}

// AcceptReport makes durable the outcome of a call that ran at the partition's old owner. A repeated report of a
// finished call returns the same final event.
func (h *Holder) AcceptReport(ctx context.Context, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error) {
	s, err := h.shardOf(programID)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	if s.closed {
		// The partition is being handed over by this daemon; the new owner must accept the report.
		s.mu.Unlock()
		return nil, errHandingOver
	}
	l := s.programs[programID]
	if l == nil {
		s.mu.Unlock()
		return nil, errClosedByOther
	}
	if finished := l.Finished(outcome.GetFinished().GetCall().GetRequestId()); finished != nil {
		defer s.mu.Unlock()
		return finalOf(programID, finished, l.Spent()), nil
	}
	r := l.running
	remote := r != nil && r.remote && l.Snapshot().Executor == executor
	s.mu.Unlock()
	if !remote {
		return nil, errClosedByOther
	}
	if err := h.closeOnce(ctx, s, l, outcome); err != nil {
		return nil, err
	}
	return s.closeRemote(programID, r), nil
}

// errClosedByOther rejects a report of a call that is no longer pending here.
var errClosedByOther = verdict.Unknown(verdict.Lost, 0, "the call was closed by a later owner")

// closeOnce durably closes a call that runs at another daemon. Concurrent callers wait for the same entry.
func (h *Holder) closeOnce(ctx context.Context, s *shard, l *programState, outcome *peerv1.Record) error {
	s.mu.Lock()
	entry := l.reported
	s.mu.Unlock()
	if entry == nil {
		appended, err := h.append(s, func() ([]*peerv1.Record, error) {
			if l.reported != nil || l.Snapshot().Executor == "" {
				return nil, nil
			}
			return []*peerv1.Record{outcome}, nil
		})
		if err != nil {
			return err
		}
		s.mu.Lock()
		if l.reported == nil {
			l.reported = appended
		}
		entry = l.reported
		s.mu.Unlock()
	}
	return awaitDurable(ctx, entry)
}

// closeRemote completes the run that represents a call at another daemon, after its outcome has been applied.
func (s *shard) closeRemote(programID string, r *run) *rookpassv1.CallFinal {
	s.mu.Lock()
	l := s.programs[programID]
	if l.running == r {
		l.running = nil
		l.reported = nil
	}
	stored := l.Finished(r.call.RequestId)
	var final *rookpassv1.CallFinal
	if stored != nil {
		final = finalOf(programID, stored, l.Spent())
	}
	s.mu.Unlock()
	if stored == nil {
		r.complete(nil, nil, verdict.Unknown(verdict.Unavailable, ownerRetry, "the call was aborted; it can be retried"))
		return nil
	}
	r.write(stored.Output)
	r.complete(stored, final, nil)
	return final
}

// ExpireRemote closes the calls that were running at old owners that are no longer alive.
func (h *Holder) ExpireRemote(ctx context.Context, alive func(incarnation string) bool) {
	for i := range h.shards {
		s := h.shards[i].Load()
		if s == nil {
			continue
		}
		for _, id := range s.orphans(alive) {
			h.expire(ctx, s, id)
		}
	}
}

func (s *shard) orphans(alive func(string) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for id, l := range s.programs {
		if l.running != nil && l.running.remote && !alive(l.Snapshot().Executor) {
			found = append(found, id)
		}
	}
	return found
}

func (h *Holder) expire(ctx context.Context, s *shard, id string) {
	s.mu.Lock()
	l := s.programs[id]
	if l == nil || l.running == nil || !l.running.remote {
		s.mu.Unlock()
		return
	}
	r := l.running
	lost := lostRecord(id, r.call, max(0, l.Reserved()-l.Spent()))
	s.mu.Unlock()
	if h.closeOnce(ctx, s, l, lost) == nil {
		s.closeRemote(id, r)
	}
}

// Snapshots returns the encoded state of a partition's programs. The lock is released between programs, so
// records that become durable meanwhile may be included or not; replaying them is idempotent. Ended programs
// that are past their retention and hold no cache are evicted first.
func (h *Holder) Snapshots(number uint32, retention time.Duration) [][]byte {
	s := h.shards[number].Load()
	if s == nil {
		return nil
	}
	s.evictEnded(time.Now().Add(-retention).UnixMilli())
	var encoded [][]byte
	for _, id := range s.ids() {
		if snapshot := s.encode(id); snapshot != nil {
			encoded = append(encoded, snapshot)
		}
	}
	return encoded
}

func (s *shard) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.programs))
	for id := range s.programs {
		ids = append(ids, id)
	}
	return ids
}

func (s *shard) encode(id string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.programs[id]
	if l == nil || !l.Exists() {
		return nil
	}
	encoded, err := proto.Marshal(l.Snapshot())
	if err != nil {
		return nil
	}
	return encoded
}

// evictEnded removes programs from memory that ended before the given Unix time in milliseconds and hold no cache.
func (s *shard) evictEnded(endedBefore int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.programs {
		if l.Ended() && l.running == nil && len(l.CachedOn()) == 0 && l.Snapshot().EndedAtUnixMs < endedBefore {
			delete(s.programs, id)
		}
	}
}

// Wait waits until no call is running at this holder or ctx ends.
func (h *Holder) Wait(ctx context.Context) error { return wait.Group(ctx, &h.running) }
