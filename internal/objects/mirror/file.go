package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/atomicfile"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Error is the class of this package's errors.
var Error = errs.Class("mirror")

// savePause is the least time between two writes of the copy to the disk.
const savePause = time.Second

// Load takes a copy over that Save wrote. It counts as stale: it serves only those who can learn nothing
// newer. A file that is not there is no error.
func (m *Mirror) Load(path string) error {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	var snapshot objectapi.Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return Error.New("%s: %w", path, err)
	}
	m.Reset(snapshot.Objects, snapshot.Version)
	return nil
}

// SavePeriodically writes the copy to the disk whenever it has changed, until ctx ends.
func (m *Mirror) SavePeriodically(ctx context.Context, path string, log logrus.FieldLogger) error {
	saved := m.seen()
	for wait.For(ctx, savePause) == nil {
		if m.seen() == saved {
			continue
		}
		snapshot, _ := m.LastKnown()
		if err := write(path, snapshot); err != nil {
			log.WithFields(logrus.Fields{"event": "mirror-save-failed", "file": path, "error": err}).Warn("copy not saved")
			continue
		}
		saved = snapshot.Version
	}
	return ctx.Err()
}

func write(path string, snapshot objectapi.Snapshot) error {
	data, err := json.Marshal(snapshot)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(atomicfile.Write(path, data))
}
