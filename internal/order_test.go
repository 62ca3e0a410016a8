package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const importRoot = "github.com/rookpass/rookpass/internal/"

// allowedImports lists, for each group of packages, the other groups that it may import. README.md documents the order.
var allowedImports = map[string]string{
	"base":      "",
	"transport": "base",
	"objects":   "base transport",
	"decide":    "base transport",
	"turns":     "base transport objects",
	"front":     "base transport objects decide turns",
	"node":      "base transport objects decide turns front",
	"rookpassd": "base transport objects decide",
	"testing":   "base transport objects decide turns front node rookpassd",
}

// forbiddenImport reports whether a package of a group must not import a path.
func forbiddenImport(group, path string) bool {
	rest, inside := strings.CutPrefix(path, importRoot)
	if !inside {
		return false
	}
	other, _, _ := strings.Cut(rest, "/")
	return other != group && !strings.Contains(" "+allowedImports[group]+" ", " "+other+" ")
}

// TestImportLayers checks that packages import only their own group and those that allowedImports lists. Test files
// may import anything.
func TestImportLayers(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		group, _, _ := strings.Cut(filepath.ToSlash(path), "/")
		_, known := allowedImports[group]
		assert.Check(t, known, "%s does not belong to a known group", path)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			assert.NilError(t, err)
			assert.Check(t, !forbiddenImport(group, imported), "%s must not import %s", path, imported)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 100, "only %d files were checked", files)
}

func TestForbiddenImport(t *testing.T) {
	assert.Assert(t, forbiddenImport("base", importRoot+"front/gateway"))
	assert.Assert(t, forbiddenImport("front", importRoot+"testing/workload"))
	assert.Assert(t, !forbiddenImport("front", importRoot+"base/wait"))
	assert.Assert(t, !forbiddenImport("front", importRoot+"front/catalog"))
	assert.Assert(t, !forbiddenImport("front", "github.com/sirupsen/logrus"))
}
