package replica

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/rookpass/rookpass/internal/base/atomicfile"
	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

const identityFile = "disk.json"

// identity is what a disk stores about itself.
type identity struct {
	// Disk is a random ID, drawn when the disk is first used: a disk that was lost and came back empty gets another
	// one.
	Disk string `json:"disk"`
	// Fence is the lowest epoch that the disk may still serve.
	Fence uint64 `json:"fence"`
	// Layout is the newest known layout.
	Layout *layout.Layout `json:"layout,omitempty"`
}

// complete reports whether the disk holds all that its slot must hold: it got the slot when the system was empty, or
// after it had copied the records from the other slots.
func (id *identity) complete() bool {
	return id.Layout != nil && id.Layout.SlotOf(id.Disk) >= 0
}

// loadIdentity reads the identity of the disk at dir. An empty disk gets a new one.
func loadIdentity(files filesystem.FS, dir string) (identity, error) {
	data, err := filesystem.ReadFile(files, filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		id := identity{Disk: newDiskID()}
		return id, saveIdentity(files, dir, id)
	}
	if err != nil {
		return identity{}, Error.Wrap(err)
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return identity{}, Error.New("%s: %w", identityFile, err)
	}
	return id, nil
}

func newDiskID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // documented never to fail
	return hex.EncodeToString(id[:])
}

// saveIdentity stores the identity so that it survives a power loss.
func saveIdentity(files filesystem.FS, dir string, id identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(atomicfile.Write(files, filepath.Join(dir, identityFile), data))
}
