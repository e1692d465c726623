package core

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// forbiddenImports lists packages that do I/O, depend on the process
// environment or synchronize goroutines.
var forbiddenImports = []string{"net", "os", "os/exec", "syscall", "io/ioutil", "net/rpc", "log", "sync"}

// forbiddenCalls lists functions that read the clock, wait, or return random
// values without a seed.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
	"rand": {"Int", "IntN", "Intn", "Float64", "Uint64", "Shuffle", "Perm", "N"},
	"uuid": {"New", "NewString", "NewV7", "NewRandom"},
}

// allowedImports lists exceptions by file. vers/parse.go uses sync to compile a
// schema once.
var allowedImports = map[string]string{"vers/parse.go": "sync"}

func TestCoreIsDeterministicAndDoesNoIO(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		checkFile(t, path, file)
		return nil
	})
	require.NoError(t, err)
}

func checkFile(t *testing.T, path string, file *ast.File) {
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		require.NoError(t, err)
		if allowedImports[path] != name {
			require.NotContains(t, forbiddenImports, name, path)
			require.False(t, strings.HasPrefix(name, "magnolialedge/io") || name == "net/http", "%s imports %s", path, name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", path)
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok {
				require.NotContains(t, forbiddenCalls[x.Name], n.Sel.Name, "%s calls %s.%s", path, x.Name, n.Sel.Name)
			}
		}
		return true
	})
}
