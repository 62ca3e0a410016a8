package replica

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

const (
	// cleanInterval is the time between two removals of what has outlived its retention.
	cleanInterval = 5 * time.Second
	// compactionThreshold of the disk makes the oldest file be copied forward, so that it can be removed.
	compactionThreshold = 0.7
)

// clean removes what has outlived its retention, and copies the oldest file forward on a disk that fills.
func (c *Controller) clean(now time.Time) {
	if now.Sub(c.lastClean) < cleanInterval {
		return
	}
	c.lastClean = now
	s := c.store
	for _, segment := range s.index.expire(now, s.files.ActiveSegment()) {
		err := s.files.RemoveSegment(segment)
		if errors.Is(err, turnlog.ErrInUse) {
			s.index.retrySegment(segment) // looked at again next time
			continue
		}
		if err != nil {
			c.log.WithFields(logrus.Fields{"event": "clean-failed", "error": err}).Warn("turn file not removed")
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

// copyForward copies a record to the active file.
func (s *Store) copyForward(record *turn.Record, from turnlog.Position) error {
	pending := s.files.Append(record)
	defer pending.Release()
	if err := pending.Wait(); err != nil {
		return err
	}
	s.index.relocate(record.ID, from, pending.Position)
	return nil
}
