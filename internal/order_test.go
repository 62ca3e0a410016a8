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

// allowedImports has, for each group, the groups that it may import beside itself. The order of README.md follows from it.
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

// forbiddenImport tells whether a package of one group may not import a path.
func forbiddenImport(group, path string) bool {
	rest, inside := strings.CutPrefix(path, importRoot)
	if !inside {
		return false
	}
	other, _, _ := strings.Cut(rest, "/")
	return other != group && !strings.Contains(" "+allowedImports[group]+" ", " "+other+" ")
}

// TestGroupsImportOnlyThoseBelow: tests may import anything.
func TestGroupsImportOnlyThoseBelow(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		group, _, _ := strings.Cut(filepath.ToSlash(path), "/")
		_, known := allowedImports[group]
		assert.Check(t, known, "%s is in no group", path)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			assert.NilError(t, err)
			assert.Check(t, !forbiddenImport(group, imported), "%s imports %s", path, imported)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 100, "only %d files were looked at", files)
}

func TestOrderIsToldApart(t *testing.T) {
	assert.Assert(t, forbiddenImport("base", importRoot+"front/gateway"))
	assert.Assert(t, forbiddenImport("front", importRoot+"testing/workload"))
	assert.Assert(t, !forbiddenImport("front", importRoot+"base/wait"))
	assert.Assert(t, !forbiddenImport("front", importRoot+"front/catalog"))
	assert.Assert(t, !forbiddenImport("front", "github.com/sirupsen/logrus"))
}
