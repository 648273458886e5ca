package properties

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const root = "../../.."

func TestPackagesWithPropertiesUseFixedSeed(t *testing.T) {
	packages, err := Find(root)
	if err != nil || len(packages) < 12 {
		t.Fatalf("found %d packages with property tests, want at least 12; error %v", len(packages), err)
	}
	for _, pkg := range packages {
		if !importsSeeds(t, filepath.Join(root, pkg.Path)) {
			t.Errorf("%s draws new cases at every run: its tests do not import internal/standin/seeds", pkg.Path)
		}
	}
}

// importsSeeds reports whether a test in a directory imports the fixed seed.
func importsSeeds(t *testing.T, dir string) bool {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if bytes.Contains(readFile(t, path), []byte(`_ "pinedale/internal/standin/seeds"`)) {
			return true
		}
	}
	return false
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

const propertyTestFile = `package a

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

func TestOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n := rapid.Uint64().Draw(t, "n"); !(PROPERTY) {
			t.Fatalf("drew %d", n)
		}
	})
}
`

// newModule writes a module with one property of a number n, and the files of this module that the property test needs.
func newModule(t *testing.T, property string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for _, path := range []string{"go.mod", "go.sum", "internal/standin/seeds/seeds.go"} {
		writeFile(t, filepath.Join(dir, path), readFile(t, filepath.Join(root, path)))
	}
	text := strings.ReplaceAll(propertyTestFile, "PROPERTY", property)
	writeFile(t, filepath.Join(dir, "a/a_test.go"), []byte(text))
	return dir
}

// neverHolds is a property that holds for the largest number only.
const neverHolds = "n == math.MaxUint64"

func TestFailureHasCommandThatFailsAlike(t *testing.T) {
	dir := newModule(t, neverHolds)
	report, err := Run(context.Background(), dir, Options{
		For:      time.Minute,
		MaxSeeds: 1,
		Checks:   5,
		Workers:  1,
		Seed:     1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Violation() == "" || len(report.Packages) != 1 {
		t.Fatalf("got report %+v, want one package with a failure", report)
	}
	failure := report.Packages[0].Failures[0]
	if failure.Test != "TestOne" || !strings.HasPrefix(failure.Output, "drew ") {
		t.Errorf("unexpected failure %+v", failure)
	}
	repeated := exec.Command("sh", "-c", failure.Command)
	repeated.Dir = dir
	if output, err := repeated.CombinedOutput(); err == nil || !bytes.Contains(output, []byte(failure.Output)) {
		t.Errorf("%s: %v: %s", failure.Command, err, output)
	}
}

// The seed alone determines the cases: a case that failed in an earlier run, perhaps of another version, is not
// repeated, and none is recorded.
func TestFailureFilesAreNeitherReadNorWritten(t *testing.T) {
	dir := newModule(t, neverHolds)
	previous := filepath.Join(dir, "a/testdata/rapid/TestOne/TestOne-1.fail")
	writeFile(t, previous, []byte("# \nv0.4.8#1\n0x0\n"))
	test := exec.Command("go", "test", "./a")
	test.Dir = dir
	if err := test.Run(); err == nil {
		t.Error("a property that never holds passes")
	}
	if remaining, _ := filepath.Glob(filepath.Join(dir, "a/testdata/rapid/*/*")); len(remaining) > 0 {
		t.Errorf("a failure file is left: %s", remaining)
	}
}
