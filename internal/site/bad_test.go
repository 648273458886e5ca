package site

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// badFiles are those of testdata/bad, each with what its first line wants to be said.
func badFiles(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(paths) < 150 {
		t.Fatalf("%d bad files, %v", len(paths), err)
	}
	return paths
}

// Each deliberately bad file is refused with the line, key and reason that it states.
func TestBadFileCorpusIsRejectedAsStated(t *testing.T) {
	for _, path := range badFiles(t) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := strings.Cut(string(text), "\n")
		want := strings.SplitN(strings.TrimPrefix(first, "# want: "), " | ", 3)
		line, err := strconv.Atoi(want[0])
		if err != nil || len(want) != 3 {
			t.Fatalf("%s: %q", path, first)
		}
		f, err := Load(path)
		if err == nil || f != nil {
			t.Errorf("%s is taken", path)
			continue
		}
		at := fmt.Sprintf("line %d: ", line)
		if line == 0 {
			at = ""
		}
		found := false
		for _, said := range strings.Split(err.Error(), "\n") {
			found = found || strings.HasPrefix(said, at) && strings.Contains(said, want[1]) && strings.Contains(said, want[2])
		}
		if !found {
			t.Errorf("%s: said\n%v\nwant line %d, %q, %q", path, err, line, want[1], want[2])
		}
	}
}
