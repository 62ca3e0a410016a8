package replica

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

const (
	// cleanInterval is the time between two removals of expired programs.
	cleanInterval = 5 * time.Second
	// compactionThreshold is the share of the disk above which the oldest segment is copied forward.
	compactionThreshold = 0.7
)

// clean removes expired programs, and on a disk that fills up copies the oldest segment forward so that it can be
// removed.
func (c *Controller) clean(now time.Time) {
	if now.Sub(c.lastClean) < cleanInterval {
		return
	}
	c.lastClean = now
	s := c.store
	for _, segment := range s.index.expire(now, s.files.ActiveSegment()) {
		err := s.files.RemoveSegment(segment)
		if errors.Is(err, turnlog.ErrInUse) {
			s.index.retrySegment(segment) // retried at the next cleaning
			continue
		}
		if err != nil {
			c.log.WithFields(logrus.Fields{"event": "clean-failed", "error": err}).Warn("turn segment not removed")
		}
	}
	if c.diskBytes == 0 || float64(s.files.Bytes()) < compactionThreshold*float64(c.diskBytes) {
		return
	}
	for _, position := range s.index.oldestSegmentRecords(s.files.ActiveSegment()) {
		record, err := s.files.Read(position)
		if err != nil {
			c.log.WithFields(logrus.Fields{"event": "read-failed", "error": err}).Error("disk read failed")
			return
		}
		if err := s.copyForward(&record, position); err != nil {
			c.log.WithFields(logrus.Fields{"event": "write-failed", "error": err}).Error("disk write failed")
			return
		}
	}
}

// copyForward copies a record to the active segment.
func (s *Store) copyForward(record *turn.Record, from turnlog.Position) error {
	pending := s.files.Append(record)
	defer pending.Release()
	if err := pending.Wait(); err != nil {
		return err
	}
	s.index.relocate(record.ID, from, pending.Position)
	return nil
}
