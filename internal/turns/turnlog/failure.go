package turnlog

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/rookpass/rookpass/internal/base/filesystem"
)

// Failure tells why the log takes no appends.
type Failure struct {
	Since time.Time
	// Path is the file that was being written.
	Path string
	Err  error
	// Bytes is the total size of the segments.
	Bytes int64
}

// refusal returns the error of appends that are refused because of the failure; nil if there is none.
func (f *Failure) refusal() error {
	if f == nil {
		return nil
	}
	return errors.Join(ErrUnwritable, f.Err)
}

// checkDisk finds out at the start whether the disk takes writes, so that a disk that does not is known before the
// first append.
func (l *Log) checkDisk() {
	check := &batch{}
	l.mu.Lock()
	l.writing = check
	l.mu.Unlock()
	path := filepath.Join(l.dir, probeFile)
	stall := time.AfterFunc(stallTimeout, func() { l.fail(check, path, errStalled) })
	err := l.probe()
	stall.Stop()
	if err != nil {
		l.fail(check, path, err)
	}
	l.endWriting(check)
	l.recoverWrites()
}

// fail refuses further appends, and those that wait for the next write, until recoverWrites succeeds. The next batch
// goes to a new segment. It does nothing unless b is being written.
func (l *Log) fail(b *batch, path string, err error) {
	l.mu.Lock()
	if l.writing != b {
		l.mu.Unlock()
		return
	}
	if l.failure != nil {
		l.failure.Path, l.failure.Err = path, err
		l.mu.Unlock()
		return
	}
	failure := Failure{Since: time.Now(), Path: path, Err: err, Bytes: l.bytes}
	l.failure = &failure
	if waiting := l.pending; !l.closed {
		l.pending = waiting.inNextSegment()
		waiting.end(failure.refusal())
	}
	reported := failure
	l.mu.Unlock()
	l.onChange(&reported)
}

// abandon drops the file of a failed batch if no record in it was acknowledged.
func (l *Log) abandon(b *batch) {
	if b.offset > 0 {
		return
	}
	l.mu.Lock()
	file := l.files[b.segment]
	delete(l.files, b.segment)
	l.abandoned = append(l.abandoned, b.segment)
	l.mu.Unlock()
	if file != nil {
		_ = file.Close() // nothing in it is needed
	}
}

// RemoveAbandoned removes the files of segments in which no record was acknowledged. Those that can't be removed are left
// for the next attempt. The log does so by itself at its start and while the disk takes no writes.
func (l *Log) RemoveAbandoned() {
	l.mu.Lock()
	segments := l.abandoned
	l.abandoned = nil
	l.mu.Unlock()
	var left []uint32
	for _, segment := range segments {
		if err := l.disk.Remove(l.segmentPath(segment)); err != nil && !errors.Is(err, os.ErrNotExist) {
			left = append(left, segment)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abandoned = append(l.abandoned, left...)
}

// recoverWrites returns once the disk takes writes, or when the log closes. A disk that fails again soon after a probe
// succeeded is probed at the longest interval.
func (l *Log) recoverWrites() {
	delay := minProbeDelay
	if time.Since(l.recoveredAt) < 2*maxProbeDelay {
		delay = maxProbeDelay
	}
	for ; l.Failure() != nil; delay = min(2*delay, maxProbeDelay) {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-l.closing:
			timer.Stop()
			return
		}
		l.RemoveAbandoned()
		began := time.Now()
		err := l.probe()
		if err == nil && time.Since(began) >= stallTimeout {
			err = errStalled
		}
		l.mu.Lock()
		if err != nil {
			l.failure.Path, l.failure.Err = filepath.Join(l.dir, probeFile), err
		} else {
			l.failure = nil
		}
		l.mu.Unlock()
		if err == nil {
			l.recoveredAt = time.Now()
			l.onChange(nil)
		}
	}
}

// probe creates, writes, syncs and removes a file, as a new segment needs it.
func (l *Log) probe() error {
	path := filepath.Join(l.dir, probeFile)
	file, err := l.disk.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err = file.WriteAt(make([]byte, probeBytes), 0); err == nil {
		err = errors.Join(file.Sync(), filesystem.SyncDir(l.disk, l.dir))
	}
	// A file that can't be removed is overwritten by the next probe and removed at the next start.
	_ = l.disk.Remove(path)
	return Error.Wrap(errors.Join(err, file.Close()))
}

// Failure returns why the log takes no appends, or nil if it takes them.
func (l *Log) Failure() *Failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		return nil
	}
	failure := *l.failure
	failure.Bytes = l.bytes
	return &failure
}
