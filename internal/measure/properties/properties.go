// Package properties plays the property tests over fresh seeds, for far longer than the tests do.
package properties

import (
	"context"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config says for how long, and how.
type Config struct {
	For     time.Duration
	Seeds   int // at most, 0 for as many as there is time for
	Race    bool
	Checks  int    // of each property with each seed
	Workers int    // seeds at once
	Seed    uint64 // from which the seeds are drawn
}

// Package is what was played of one.
type Package struct {
	Path    string // as go test has it
	Tests   []string
	Seeds   int
	Checks  int
	Failing []Failure

	binary string
}

// Failure is one seed that breaks a property.
type Failure struct {
	Test, Output, Command string
}

// Report is what came of a play.
type Report struct {
	Packages []*Package
	Took     time.Duration
}

// Broken says what must not be, or "".
func (r *Report) Broken() string {
	n := 0
	for _, p := range r.Packages {
		n += len(p.Failing)
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%d plays broke a property", n)
}

// Print writes a line for each package, and the commands that show the failures again.
func (r *Report) Print(w io.Writer) {
	seeds, checks := 0, 0
	for _, p := range r.Packages {
		fmt.Fprintf(w, "%-34s %3d properties  %6d seeds  %9d checks  %d failing\n", p.Path, len(p.Tests), p.Seeds, p.Checks, len(p.Failing))
		seeds, checks = seeds+p.Seeds, checks+p.Checks
		for _, f := range p.Failing {
			fmt.Fprintf(w, "  %s: %s\n    %s\n", f.Test, f.Output, f.Command)
		}
	}
	fmt.Fprintf(w, "%d seeds, %d checks in %v\n", seeds, checks, r.Took.Round(time.Second))
}

// Find returns the packages below root that have property tests.
func Find(root string) (all []*Package, err error) {
	by := map[string]*Package{}
	err = filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		tests, err := in(path)
		if err != nil || len(tests) == 0 {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		if by[dir] == nil {
			by[dir] = &Package{Path: "./" + filepath.ToSlash(dir)}
			all = append(all, by[dir])
		}
		by[dir].Tests = append(by[dir].Tests, tests...)
		return nil
	})
	return all, err
}

// in returns the tests of a file that call rapid.Check.
func in(path string) (tests []string, err error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return nil, err
	}
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok || !strings.HasPrefix(f.Name.Name, "Test") {
			continue
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok || s.Sel.Name != "Check" {
				return true
			}
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "rapid" && !slices.Contains(tests, f.Name.Name) {
				tests = append(tests, f.Name.Name)
			}
			return true
		})
	}
	return tests, nil
}

// passed is rapid's line for a property that held, and failed the one that tells of one that did not.
var (
	passed = regexp.MustCompile(`\[rapid\] OK, passed (\d+) tests`)
	failed = regexp.MustCompile(`\[rapid\] (?:failed|panic) after \d+ tests: (.*)`)
)

// Run plays the properties below root until the time is over or ctx ends: the packages in turn, each time with a
// seed of its own. It wants the go command.
func Run(ctx context.Context, root string, c Config) (*Report, error) {
	if c.For <= 0 || c.Checks < 1 || c.Workers < 1 {
		return nil, errors.New("the time, the checks and the workers must be above 0")
	}
	all, err := Find(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "properties")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	for i, p := range all {
		p.binary = filepath.Join(dir, strconv.Itoa(i))
		args := []string{"test", "-c", "-o", p.binary}
		if c.Race {
			args = append(args, "-race")
		}
		build := exec.CommandContext(ctx, "go", append(args, p.Path)...)
		build.Dir = root
		if out, err := build.CombinedOutput(); err != nil {
			return nil, fmt.Errorf("%s: %w: %s", p.Path, err, out)
		}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	seeds := rand.New(rand.NewPCG(c.Seed, 0))
	var mu sync.Mutex
	var wg sync.WaitGroup
	turn := 0
	for range c.Workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				if c.Seeds > 0 && turn >= c.Seeds {
					mu.Unlock()
					return
				}
				p, seed := all[turn%len(all)], max(1, seeds.Uint64()) // 0 has rapid draw its own
				turn++
				mu.Unlock()
				checks, failing := p.play(ctx, root, c, seed)
				if ctx.Err() != nil && len(failing) == 0 {
					return // cut off
				}
				mu.Lock()
				p.Seeds++
				p.Checks += checks
				p.Failing = append(p.Failing, failing...)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return &Report{Packages: all, Took: time.Since(start)}, nil
}

// play runs a package's properties once.
func (p *Package) play(ctx context.Context, root string, c Config, seed uint64) (checks int, failing []Failure) {
	pattern := "^(" + strings.Join(p.Tests, "|") + ")$"
	run := exec.CommandContext(ctx, p.binary, "-test.v", "-test.run", pattern,
		"-rapid.seed", strconv.FormatUint(seed, 10), "-rapid.checks", strconv.Itoa(c.Checks))
	run.Dir = filepath.Join(root, p.Path)
	run.WaitDelay = time.Second // a test may have started processes that hold its output
	out, err := run.CombinedOutput()
	for _, m := range passed.FindAllSubmatch(out, -1) {
		n, _ := strconv.Atoi(string(m[1])) // the pattern has digits
		checks += n
	}
	if err == nil || ctx.Err() != nil {
		return checks, nil
	}
	output := "it ended with " + err.Error()
	if m := failed.FindSubmatch(out); m != nil {
		output = string(m[1])
	}
	race := ""
	if c.Race {
		race = "-race "
	}
	for _, test := range p.Tests {
		if strings.Contains(string(out), "--- FAIL: "+test+" ") {
			failing = append(failing, Failure{test, output, fmt.Sprintf("go test %s%s -run '^%s$' -rapid.seed=%d -rapid.checks=%d", race, p.Path, test, seed, c.Checks)})
		}
	}
	if len(failing) == 0 { // it crashed, or did not start
		failing = append(failing, Failure{strings.Join(p.Tests, ", "), output, fmt.Sprintf("go test %s%s -run '%s' -rapid.seed=%d -rapid.checks=%d", race, p.Path, pattern, seed, c.Checks)})
	}
	return checks, failing
}
