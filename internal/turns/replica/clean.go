package replica

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

const (
	// cleanPause is the time between two removals of what has outlived its retention.
	cleanPause = 5 * time.Second
	// fullShare of the disk makes the oldest file be copied forward, so that it can be removed.
	fullShare = 0.7
)

// clean removes what has outlived its retention, and copies the oldest file forward on a disk that fills.
func (c *Controller) clean(now time.Time) {
	if now.Sub(c.cleaned) < cleanPause {
		return
	}
	c.cleaned = now
	s := c.store
	for _, segment := range s.index.expire(now, s.files.ActiveSegment()) {
		err := s.files.RemoveSegment(segment)
		if errors.Is(err, turnlog.ErrInUse) {
			s.index.keep(segment) // looked at again next time
			continue
		}
		if err != nil {
			c.log.WithFields(logrus.Fields{"event": "clean-failed", "error": err}).Warn("turn file not removed")
		}
	}
	if c.diskBytes == 0 || float64(s.files.Bytes()) < fullShare*float64(c.diskBytes) {
		return
	}
	for _, position := range s.index.oldest(s.files.ActiveSegment()) {
		record, err := s.files.Read(position)
		if err != nil {
			c.log.WithFields(logrus.Fields{"event": "read-failed", "error": err}).Error("disk read failed")
			return
		}
		if err := s.moveForward(&record, position); err != nil {
			c.log.WithFields(logrus.Fields{"event": "write-failed", "error": err}).Error("disk write failed")
			return
		}
	}
}

// moveForward copies a record to the active file.
func (s *Store) moveForward(record *turn.Record, from turnlog.Position) error {
	ticket := s.files.Append(record)
	defer ticket.Release()
	if err := ticket.Wait(); err != nil {
		return err
	}
	s.index.moved(record.ID, from, ticket.Position)
	return nil
}
