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

// Every package with properties draws them from the fixed seed, and draws the same at every run.
func TestAllFromOneSeed(t *testing.T) {
	all, err := Find(root)
	if err != nil || len(all) < 12 {
		t.Fatalf("%d packages with properties, %v", len(all), err)
	}
	for _, p := range all {
		files, err := filepath.Glob(filepath.Join(root, p.Path, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		has := false
		for _, f := range files {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			has = has || bytes.Contains(text, []byte(`_ "pinedale/internal/standin/seeds"`))
		}
		if !has {
			t.Errorf("%s draws new cases at every run: its tests do not import internal/standin/seeds", p.Path)
		}
	}
}

// module writes a module of its own with one property, which has the pieces of this one that it needs.
func module(t *testing.T, property string) string {
	dir := t.TempDir()
	write := func(path, text string) {
		path = filepath.Join(dir, path)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, path := range []string{"go.mod", "go.sum", "internal/standin/seeds/seeds.go"} {
		text, err := os.ReadFile(filepath.Join(root, path))
		if err != nil {
			t.Fatal(err)
		}
		write(path, string(text))
	}
	write("a/a_test.go", `package a

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

func TestOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n := rapid.Uint64().Draw(t, "n"); `+property+` {
			t.Fatalf("drew %d", n)
		}
	})
}
`)
	return dir
}

// A seed that breaks a property is told with the command that shows it again; two plays of the test alone have
// one verdict, and a failure file of another version has no say.
func TestFailingSeed(t *testing.T) {
	dir := module(t, "n < math.MaxUint64")
	r, err := Run(context.Background(), dir, Options{For: time.Minute, MaxSeeds: 1, Checks: 5, Workers: 1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if r.Broken() == "" || len(r.Packages) != 1 {
		t.Fatalf("%+v", r)
	}
	f := r.Packages[0].Failures[0]
	if f.Test != "TestOne" || !strings.HasPrefix(f.Output, "drew ") {
		t.Errorf("%+v", f)
	}
	repeated := exec.Command("sh", "-c", f.Command)
	repeated.Dir = dir
	if out, err := repeated.CombinedOutput(); err == nil || !bytes.Contains(out, []byte(f.Output)) {
		t.Errorf("%s: %v: %s", f.Command, err, out)
	}
	// A case that failed before is not played first.
	old := filepath.Join(dir, "a/testdata/rapid/TestOne")
	if err := os.MkdirAll(old, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(old, "TestOne-1.fail"), []byte("# \nv0.4.8#1\n0x0\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	once := exec.Command("go", "test", "./a")
	once.Dir = dir
	if err := once.Run(); err == nil {
		t.Error("a property that never holds passes")
	}
	if remaining, _ := filepath.Glob(filepath.Join(dir, "a/testdata/rapid/*/*")); len(remaining) > 0 {
		t.Errorf("a failure file is left: %s", remaining)
	}
}
