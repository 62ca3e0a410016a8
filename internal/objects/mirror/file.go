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

// saveInterval is the least time between two writes of the copy to disk.
const saveInterval = time.Second

// Load restores a copy written by SavePeriodically. The copy counts as stale until the API confirms it. A missing file
// is no error.
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

// SavePeriodically writes the copy to a file whenever it has changed, until ctx ends. Failed writes are logged and
// retried.
func (m *Mirror) SavePeriodically(ctx context.Context, path string, log logrus.FieldLogger) error {
	saved := m.currentVersion()
	for wait.For(ctx, saveInterval) == nil {
		if m.currentVersion() == saved {
			continue
		}
		snapshot, _ := m.LastKnown()
		if err := writeSnapshot(path, snapshot); err != nil {
			log.WithFields(logrus.Fields{"event": "mirror-save-failed", "file": path, "error": err}).Warn("copy not saved to disk; retrying")
			continue
		}
		saved = snapshot.Version
	}
	return ctx.Err()
}

func writeSnapshot(path string, snapshot objectapi.Snapshot) error {
	data, err := json.Marshal(snapshot)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(atomicfile.Write(path, data))
}
