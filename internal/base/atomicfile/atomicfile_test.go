package atomicfile_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/atomicfile"
	"github.com/rookpass/rookpass/internal/base/filesystem"
)

func TestWriteReplacesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	for _, text := range []string{"a longer first text", "second"} {
		assert.NilError(t, atomicfile.Write(filesystem.OS{}, path, []byte(text)))
		got, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Equal(t, string(got), text)
	}
	_, err := os.Stat(path + ".new")
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// TestOwnerOnlyPermissions: also if an interrupted write left a temporary file with wider permissions.
func TestOwnerOnlyPermissions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	assert.NilError(t, os.WriteFile(path+".new", []byte("left by a crash"), 0o644))
	assert.NilError(t, atomicfile.Write(filesystem.OS{}, path, []byte("secret")))
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "secret")
}
