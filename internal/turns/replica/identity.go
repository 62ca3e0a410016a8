package replica

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rookpass/rookpass/internal/base/atomicfile"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

const identityFile = "disk.json"

// identity is what a disk knows of itself.
type identity struct {
	// Disk is drawn when the disk is first used; a disk that was lost and came back empty draws another.
	Disk string `json:"disk"`
	// Fence is the lowest epoch that the disk may still serve.
	Fence uint64 `json:"fence"`
	// Layout is the newest one seen.
	Layout *layout.Layout `json:"layout,omitempty"`
}

// complete tells whether the disk holds all that its slot must hold: it got the slot when the system was
// empty, or after it had copied the records from the other slots.
func (id *identity) complete() bool {
	return id.Layout != nil && id.Layout.SlotOf(id.Disk) >= 0
}

// loadIdentity reads the identity of the disk at dir. An empty disk gets a new one.
func loadIdentity(dir string) (identity, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		id := identity{Disk: newDiskID()}
		return id, saveIdentity(dir, id)
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
	_, _ = rand.Read(id[:]) // never fails, by its documentation
	return hex.EncodeToString(id[:])
}

// saveIdentity makes the identity outlive a loss of power.
func saveIdentity(dir string, id identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(atomicfile.Write(filepath.Join(dir, identityFile), data))
}
