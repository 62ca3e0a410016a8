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
	// fullCleanInterval is the same on a disk that is nearly full or takes no writes, where each removal counts.
	fullCleanInterval = time.Second
	// compactionThreshold is the share of the disk above which the oldest segment is copied forward.
	compactionThreshold = 0.7
)

// clean removes expired programs, and on a disk that fills up copies the oldest segment forward so that it can be
// removed.
func (c *Controller) clean(now time.Time) {
	s := c.store
	if !s.isOpen() {
		return
	}
	unwritable := s.files.Failure() != nil
	nearlyFull := c.diskBytes > 0 && float64(s.files.Bytes()) >= compactionThreshold*float64(c.diskBytes)
	interval := cleanInterval
	if unwritable || nearlyFull {
		interval = fullCleanInterval
	}
	if now.Sub(c.lastClean) < interval {
		return
	}
	c.lastClean = now
	s.files.RemoveAbandoned()
	for _, segment := range s.index.expire(now, s.files.ActiveSegment()) {
		err := s.files.RemoveSegment(segment)
		if err == nil {
			continue
		}
		s.index.retrySegment(segment) // retried at the next cleaning
		if !errors.Is(err, turnlog.ErrInUse) {
			c.log.WithFields(logrus.Fields{"event": "clean-failed", "error": err}).Warn("turn segment not removed")
		}
	}
	if unwritable || !nearlyFull {
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
	return s.await(appendTimeout, pending, func() { s.index.relocate(record.ID, from, pending.Position) })
}
