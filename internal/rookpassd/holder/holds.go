package holder

import (
	"context"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// EndedProgram is an ended program for which backend servers may still hold cache.
type EndedProgram struct {
	ID       string
	Backends []string
}

// Held returns the ended programs of this daemon whose cache has not been confirmed as released.
func (h *Holder) Held() []EndedProgram {
	var held []EndedProgram
	for i := range h.shards {
		if s := h.shards[i].Load(); s != nil {
			held = append(held, s.held()...)
		}
	}
	return held
}

func (s *shard) held() []EndedProgram {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []EndedProgram
	for id, l := range s.programs {
		if l.Ended() && l.running == nil && len(l.CachedOn()) > 0 {
			held = append(held, EndedProgram{ID: id, Backends: append([]string(nil), l.CachedOn()...)})
		}
	}
	return held
}

// Released records durably that backend servers have confirmed the release of a program's cache.
func (h *Holder) Released(ctx context.Context, programID string, backends []string) error {
	s, err := h.shardOf(programID)
	if err != nil {
		return err
	}
	return h.commit(ctx, s, func() ([]*peerv1.Record, error) {
		if s.programs[programID] == nil {
			return nil, nil
		}
		var records []*peerv1.Record
		for _, backend := range backends {
			released := &peerv1.Released{BackendServer: backend}
			records = append(records, &peerv1.Record{
				ProgramId: programID, Change: &peerv1.Record_Released{Released: released},
			})
		}
		return records, nil
	})
}

// Ended returns those of the given programs whose engine cache can be released: programs in partitions of this
// daemon that have ended or are unknown. Programs in other partitions are omitted.
func (h *Holder) Ended(programs []string) []string {
	var ended []string
	for _, id := range programs {
		s := h.shards[program.PartitionOf(id, h.Partitions)].Load()
		if s != nil && s.canReleaseCache(id) {
			ended = append(ended, id)
		}
	}
	return ended
}

func (s *shard) canReleaseCache(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	l := s.programs[id]
	return l == nil || (l.Ended() && l.running == nil)
}
