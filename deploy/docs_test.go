package deploy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pages returns the text of README.md, ARCHITECTURE.md and every page below docs, by path from the root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	add := func(path string) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		found[strings.TrimPrefix(path, "../")] = string(text)
	}
	add("../README.md")
	add("../ARCHITECTURE.md")
	err := filepath.WalkDir("../docs", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".md") {
			add(path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// functions returns the names of the functions that a Go file declares, as Func or Type.Method.
func functions(t *testing.T, path string) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	declared := map[string]bool{}
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok {
			continue
		}
		name := f.Name.Name
		if f.Recv != nil {
			receiver := f.Recv.List[0].Type
			if pointer, ok := receiver.(*ast.StarExpr); ok {
				receiver = pointer.X
			}
			if generic, ok := receiver.(*ast.IndexExpr); ok {
				receiver = generic.X
			}
			name = receiver.(*ast.Ident).Name + "." + name
		}
		declared[name] = true
	}
	return declared
}

// TestPagesNameFunctionsThatExist checks each reference of the form "`path/file.go` `Func`" or
// "`path/file.go` `Type.Method`".
func TestPagesNameFunctionsThatExist(t *testing.T) {
	reference := regexp.MustCompile("`([a-z0-9_/-]+\\.go)` `([A-Za-z0-9_.]+)`")
	references := 0
	for page, text := range pages(t) {
		for _, match := range reference.FindAllStringSubmatch(text, -1) {
			references++
			path := filepath.Join("..", match[1])
			if _, err := os.Stat(path); err != nil {
				t.Errorf("%s names %s: %v", page, match[1], err)
			} else if !functions(t, path)[match[2]] {
				t.Errorf("%s: %s has no function %s", page, match[1], match[2])
			}
		}
	}
	if references < 20 {
		t.Errorf("found only %d references, want at least 20", references)
	}
}

// TestPagesNameTestsThatExist checks that each test, fuzz test and benchmark that a page names exists.
func TestPagesNameTestsThatExist(t *testing.T) {
	declared := map[string]bool{}
	for _, root := range []string{"../balancer", "../cmd", "../deploy", "../internal", "../tools"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if strings.HasSuffix(path, "_test.go") {
				for name := range functions(t, path) {
					declared[name] = true
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	named := regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]+\b`)
	for page, text := range pages(t) {
		for _, name := range named.FindAllString(text, -1) {
			if !declared[name] {
				t.Errorf("%s names %s, which is not a test", page, name)
			}
		}
	}
}
