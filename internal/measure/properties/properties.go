// Package properties runs the property tests with fresh seeds, for far longer than go test does.
//
//	properties.go  Options, Run and its report
//	find.go        finds the property tests of a module
//	check.go       checks the properties of one package with one seed
package properties

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	For      time.Duration
	MaxSeeds int // 0 for no limit
	Race     bool
	Checks   int    // of each property with each seed
	Workers  int    // seeds at once
	Seed     uint64 // from which the seeds are drawn
}

// Package is a package with property tests, and the results of their checks.
type Package struct {
	Path     string // as an argument of go test
	Tests    []string
	Seeds    int
	Checks   int
	Failures []Failure

	binary string // file with the compiled tests
}

// Failure is a seed with which a property does not hold.
type Failure struct {
	Test    string
	Output  string
	Command string // that repeats the check
}

// Report is the result of a run.
type Report struct {
	Packages []*Package
	Took     time.Duration
}

// Violation returns the number of failures in words, "" for none.
func (r *Report) Violation() string {
	failures := 0
	for _, pkg := range r.Packages {
		failures += len(pkg.Failures)
	}
	if failures == 0 {
		return ""
	}
	return fmt.Sprintf("%d property checks failed", failures)
}

// Print writes a line for each package, and the commands that reproduce the failures.
func (r *Report) Print(w io.Writer) {
	seeds, checks := 0, 0
	for _, pkg := range r.Packages {
		fmt.Fprintf(w, "%-34s %3d properties  %6d seeds  %9d checks  %d failing\n",
			pkg.Path, len(pkg.Tests), pkg.Seeds, pkg.Checks, len(pkg.Failures))
		seeds += pkg.Seeds
		checks += pkg.Checks
		for _, failure := range pkg.Failures {
			fmt.Fprintf(w, "  %s: %s\n    %s\n", failure.Test, failure.Output, failure.Command)
		}
	}
	fmt.Fprintf(w, "%d seeds, %d checks in %v\n", seeds, checks, r.Took.Round(time.Second))
}

// Run checks the properties of the module at root until the time is over or ctx ends: the packages in turn, each time
// with a new seed. It runs the go command.
func Run(ctx context.Context, root string, o Options) (*Report, error) {
	if o.For <= 0 || o.Checks < 1 || o.Workers < 1 {
		return nil, errors.New("the time, the number of checks and the number of workers must be above 0")
	}
	packages, err := Find(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "properties")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	for i, pkg := range packages {
		pkg.binary = filepath.Join(dir, strconv.Itoa(i))
		if err := pkg.build(ctx, root, o.Race); err != nil {
			return nil, err
		}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	s := &schedule{
		options:  &o,
		root:     root,
		packages: packages,
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
	}
	var workers sync.WaitGroup
	for range o.Workers {
		workers.Go(func() { s.work(ctx) })
	}
	workers.Wait()
	return &Report{Packages: packages, Took: time.Since(start)}, nil
}

// schedule hands out packages and seeds to workers.
type schedule struct {
	options  *Options
	root     string
	packages []*Package

	mu     sync.Mutex // guards the results of the packages, too
	random *rand.Rand
	seeds  int // handed out
}

// work checks packages until ctx ends or there are no more seeds.
func (s *schedule) work(ctx context.Context) {
	for ctx.Err() == nil {
		pkg, seed, ok := s.next()
		if !ok {
			return
		}
		checks, failures := pkg.check(ctx, s.root, s.options, seed)
		if ctx.Err() != nil && len(failures) == 0 {
			return // ctx has interrupted the check
		}
		s.add(pkg, checks, failures)
	}
}

// next returns the next package and a seed for it, if there are more.
func (s *schedule) next() (pkg *Package, seed uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.MaxSeeds > 0 && s.seeds >= s.options.MaxSeeds {
		return nil, 0, false
	}
	pkg = s.packages[s.seeds%len(s.packages)]
	s.seeds++
	return pkg, max(1, s.random.Uint64()), true // with the seed 0, rapid would draw one
}

// add adds the result of a check to its package.
func (s *schedule) add(pkg *Package, checks int, failures []Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pkg.Seeds++
	pkg.Checks += checks
	pkg.Failures = append(pkg.Failures, failures...)
}
