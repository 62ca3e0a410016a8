package quarantine

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/atomicfile"
	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

const (
	// maxJournalBytes is the size from which a journal is rewritten with what still counts.
	maxJournalBytes = 1 << 20
	// saveWait is how long a report waits for the disk. It leaves the front daemon time to learn the state within shareWait.
	saveWait = 50 * time.Millisecond
	// loadWait is how long a registrar that starts waits for its journal.
	loadWait = 500 * time.Millisecond
)

// Journal keeps what a registrar knows on its disk, so that it outlives the process. Requests are appended one JSON object a line
// and synced together; the last line of a request replaces earlier ones. Use OpenJournal, then Run.
type Journal struct {
	disk filesystem.FS
	path string
	log  logrus.FieldLogger
	// wake has a value while there is something to write.
	wake chan struct{}

	mu sync.Mutex
	// unsaved are the requests to write, and saved is closed once they are written, or that has failed.
	unsaved map[Key]storedRequest
	saved   chan struct{}
	// failing is set while the disk takes no writes.
	failing bool

	// file is open for appending at size; nil if the journal has to be rewritten. rewritten is its size when it was rewritten last.
	// Only run uses them.
	file            filesystem.File
	size, rewritten int64
}

// storedRequest is what a journal keeps of one request. Times are those of the VM's clock.
type storedRequest struct {
	Key     string         `json:"key"`
	Owner   Owner          `json:"owner"`
	Ends    []storedEnd    `json:"ends,omitempty"`
	Answers []Tally        `json:"answers,omitempty"`
	Permits []storedPermit `json:"permits,omitempty"`
	// Withdrawn are ends that were taken back.
	Withdrawn []storedWithdrawal `json:"withdrawn,omitempty"`
	// From and Until are the beginning and the end of the quarantine.
	From  time.Time `json:"from,omitzero"`
	Until time.Time `json:"until,omitzero"`
}

type storedWithdrawal struct {
	Server  string `json:"server"`
	Born    int64  `json:"born,omitempty"`
	Attempt string `json:"attempt"`
}

type storedEnd struct {
	Server   string    `json:"server"`
	Born     int64     `json:"born,omitempty"`
	Attempt  string    `json:"attempt"`
	SentAt   time.Time `json:"sent_at"`
	EndedAt  time.Time `json:"ended_at"`
	Evidence Evidence  `json:"evidence"`
	Common   bool      `json:"common,omitempty"`
}

type storedPermit struct {
	ID        uint64    `json:"id"`
	Server    string    `json:"server,omitempty"`
	Born      int64     `json:"born,omitempty"`
	Attempt   string    `json:"attempt,omitempty"`
	GrantedAt time.Time `json:"granted_at"`
	Until     time.Time `json:"until"`
}

func storeRequest(key Key, e *entry) storedRequest {
	r := storedRequest{Key: key.String(), Owner: e.owner, Answers: append([]Tally(nil), e.answers...), From: e.from, Until: e.until}
	for _, end := range e.ends {
		r.Ends = append(r.Ends, storedEnd{end.Server.Server, end.Server.Born, end.Attempt, end.SentAt, end.EndedAt, end.Evidence, end.Common})
	}
	for _, w := range e.withdrawn {
		r.Withdrawn = append(r.Withdrawn, storedWithdrawal{w.Server.Server, w.Server.Born, w.Attempt})
	}
	for _, p := range e.permits {
		r.Permits = append(r.Permits, storedPermit{p.id, p.server.Server, p.server.Born, p.attempt, p.grantedAt, p.until})
	}
	return r
}

// restore adds the request to a tracker. A time after now is that of a clock that has been set back since.
func (r *storedRequest) restore(t *Tracker, now time.Time) error {
	var key Key
	if n, err := hex.Decode(key[:], []byte(r.Key)); err != nil || n != len(key) {
		return Error.New("key %q is malformed", r.Key)
	}
	past := func(at time.Time) time.Time {
		if at.After(now) {
			return now
		}
		return at
	}
	ends := make([]End, len(r.Ends))
	for i, s := range r.Ends {
		ends[i] = End{Server: incarnation.ID{Server: s.Server, Born: s.Born}, Attempt: s.Attempt, SentAt: past(s.SentAt), EndedAt: past(s.EndedAt),
			Evidence: s.Evidence, Common: s.Common, Told: true}
	}
	if len(r.Ends)+len(r.Permits) == 0 {
		return nil // all copies ended well
	}
	t.Add(now, key, r.Owner)
	for _, tally := range r.Answers {
		tally.At = past(tally.At)
		t.Answered(now, key, tally)
	}
	for _, w := range r.Withdrawn {
		t.Withdraw(now, key, Withdrawal{Server: incarnation.ID{Server: w.Server, Born: w.Born}, Attempt: w.Attempt})
	}
	t.entries[key].from, t.entries[key].until = past(r.From), r.Until // ends of a quarantined request count for good
	t.Add(now, key, r.Owner, ends...)
	for _, p := range r.Permits {
		until := min(p.Until.Sub(now), maxPermitTime)
		t.restorePermit(now, key, r.Owner, permit{id: p.ID, until: now.Add(until), grantedAt: past(p.GrantedAt),
			server: incarnation.ID{Server: p.Server, Born: p.Born}, attempt: p.Attempt})
	}
	return nil
}

// takeUnsaved returns the requests of which something has changed, and forgets that.
func (t *Tracker) takeUnsaved() map[Key]storedRequest {
	requests := make(map[Key]storedRequest, len(t.unsaved))
	for key := range t.unsaved {
		if e := t.entries[key]; e != nil {
			requests[key] = storeRequest(key, e)
		} else {
			requests[key] = storedRequest{Key: key.String()} // replaces an earlier line
		}
	}
	clear(t.unsaved)
	return requests
}

// stored returns all requests of which ends or copies in flight are known.
func (t *Tracker) stored() map[Key]storedRequest {
	requests := map[Key]storedRequest{}
	for key, e := range t.entries {
		if len(e.ends)+len(e.permits) > 0 {
			requests[key] = storeRequest(key, e)
		}
	}
	return requests
}

// OpenJournal returns the journal at a path. Run writes it.
func OpenJournal(disk filesystem.FS, path string, log logrus.FieldLogger) *Journal {
	return &Journal{disk: disk, path: path, log: log, wake: make(chan struct{}, 1), unsaved: map[Key]storedRequest{}, saved: make(chan struct{})}
}

// load returns the requests of the journal, the last state of each. A torn line at the end was never acknowledged.
func (j *Journal) load() ([]storedRequest, error) {
	data, err := filesystem.ReadFile(j.disk, j.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var requests []storedRequest
	index := map[string]int{}
	for line := range bytes.Lines(data) {
		var r storedRequest
		if json.Unmarshal(line, &r) != nil {
			break
		}
		if i, known := index[r.Key]; known {
			requests[i] = r
			continue
		}
		index[r.Key] = len(requests)
		requests = append(requests, r)
	}
	return requests, nil
}

// append schedules requests to be written. It returns a channel that is closed once they are synced, or that has failed.
func (j *Journal) append(requests map[Key]storedRequest) <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	for key, r := range requests {
		j.unsaved[key] = r
	}
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return j.saved
}

// run writes what is appended until ctx ends. all returns the requests to which a rewritten journal is reduced.
func (j *Journal) run(ctx context.Context, all func() map[Key]storedRequest) {
	for {
		select {
		case <-ctx.Done():
			if j.file != nil {
				_ = j.file.Close() // all that was acknowledged is synced
			}
			return
		case <-j.wake:
		}
		j.mu.Lock()
		unsaved, saved := j.unsaved, j.saved
		j.unsaved, j.saved = map[Key]storedRequest{}, make(chan struct{})
		j.mu.Unlock()
		j.report(j.write(unsaved, all))
		close(saved)
	}
}

// write appends requests, or rewrites the journal. After an error the next write rewrites it.
func (j *Journal) write(requests map[Key]storedRequest, all func() map[Key]storedRequest) error {
	if j.file == nil || j.size > max(maxJournalBytes, 2*j.rewritten) {
		return j.rewrite(all())
	}
	data, err := encodeLines(requests)
	if err == nil {
		_, err = j.file.WriteAt(data, j.size)
	}
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		j.close()
		return Error.Wrap(err)
	}
	j.size += int64(len(data))
	return nil
}

func (j *Journal) rewrite(requests map[Key]storedRequest) error {
	j.close()
	data, err := encodeLines(requests)
	if err != nil {
		return err
	}
	if err := j.disk.MkdirAll(filepath.Dir(j.path), 0o700); err != nil {
		return Error.Wrap(err)
	}
	if err := atomicfile.Write(j.disk, j.path, data); err != nil {
		return Error.Wrap(err)
	}
	if j.file, err = j.disk.OpenFile(j.path, os.O_WRONLY, 0); err != nil {
		j.file = nil
		return Error.Wrap(err)
	}
	j.size, j.rewritten = int64(len(data)), int64(len(data))
	return nil
}

func (j *Journal) close() {
	if j.file != nil {
		_ = j.file.Close() // it is rewritten
		j.file = nil
	}
}

func encodeLines(requests map[Key]storedRequest) ([]byte, error) {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, r := range requests {
		if err := encoder.Encode(r); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return lines.Bytes(), nil
}

// report logs the first failed write of a row, and the next one that succeeds.
func (j *Journal) report(err error) {
	switch {
	case err != nil && !j.failing:
		j.log.WithFields(logrus.Fields{"event": "quarantine-save-failed", "file": j.path, "error": err}).Warn("ends of servers not saved to disk; kept in memory")
	case err == nil && j.failing:
		j.log.WithFields(logrus.Fields{"event": "quarantine-saved", "file": j.path}).Info("ends of servers saved to disk again")
	}
	j.failing = err != nil
}
