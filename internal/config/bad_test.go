package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// badFiles returns the files of testdata/bad. The first line of each states the expected error.
func badFiles(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(paths) < 150 {
		t.Fatalf("%d bad files, %v", len(paths), err)
	}
	return paths
}

// Each file of the corpus is rejected with the line, key and reason that it states.
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
			t.Errorf("%s is accepted", path)
			continue
		}
		prefix := fmt.Sprintf("line %d: ", line)
		if line == 0 {
			prefix = ""
		}
		found := false
		for _, message := range strings.Split(err.Error(), "\n") {
			found = found || strings.HasPrefix(message, prefix) &&
				strings.Contains(message, want[1]) && strings.Contains(message, want[2])
		}
		if !found {
			t.Errorf("%s: reported\n%v\nwant line %d, %q, %q", path, err, line, want[1], want[2])
		}
	}
}
