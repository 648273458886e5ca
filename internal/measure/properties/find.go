package properties

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Find returns the packages below root that have property tests.
func Find(root string) (packages []*Package, err error) {
	byDir := map[string]*Package{}
	err = filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		tests, err := propertyTests(path)
		if err != nil || len(tests) == 0 {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		if byDir[dir] == nil {
			byDir[dir] = &Package{Path: "./" + filepath.ToSlash(dir)}
			packages = append(packages, byDir[dir])
		}
		byDir[dir].Tests = append(byDir[dir].Tests, tests...)
		return nil
	})
	return packages, err
}

// propertyTests returns the names of the tests of a file that call rapid.Check.
func propertyTests(path string) (names []string, err error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return nil, err
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && strings.HasPrefix(function.Name.Name, "Test") && callsRapidCheck(function) &&
			!slices.Contains(names, function.Name.Name) {
			names = append(names, function.Name.Name)
		}
	}
	return names, nil
}

func callsRapidCheck(function *ast.FuncDecl) (found bool) {
	ast.Inspect(function, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "rapid" && selector.Sel.Name == "Check" {
			found = true
		}
		return true
	})
	return found
}
