package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinedale/internal/standin/testfleet"
)

// readExample returns the text of the example in the repository.
func readExample(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestMissingFileIsRejected(t *testing.T) {
	if _, err := Load(filepath.Join(t.TempDir(), "site.toml")); err == nil {
		t.Error("a missing file is accepted")
	}
}

func TestFileOfNullBytesIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	testfleet.WriteFile(t, path, strings.Repeat("\x00", 1<<20))
	if _, err := Load(path); err == nil {
		t.Error("a file of null bytes is accepted")
	}
}

func TestTooLargeTextIsRejected(t *testing.T) {
	if _, err := Parse([]byte(strings.Repeat("#", maxFileBytes+1))); err == nil {
		t.Error("a text over the limit is accepted")
	}
}

// A file of 100 MB is rejected for its size.
func TestTooLargeFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	testfleet.WriteFile(t, path, "")
	if err := os.Truncate(path, 100<<20); err != nil { // a sparse file
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "is over") {
		t.Errorf("a file of 100 MB: %v", err)
	}
}

// A file that is truncated at any byte is either invalid or a shorter valid one, and does not cause a panic.
func TestTruncatedFileIsInvalidOrShorter(t *testing.T) {
	text := []byte(readExample(t))
	for length := range text {
		if file, err := Parse(text[:length]); (file == nil) == (err == nil) {
			t.Fatalf("truncated to %d bytes: %v, %v", length, file, err)
		}
	}
}

// A file with 10,000 servers is read within a few seconds.
func TestLargeFileIsReadWithinSeconds(t *testing.T) {
	const maxTime = 10 * time.Second
	var text strings.Builder
	head, _, _ := strings.Cut(goodFile, "[[server]]")
	text.WriteString(head)
	for n := range maxServers {
		fmt.Fprintf(&text, `[[server]]
name = "s-%d"
address = "127.0.0.1:%d"
site = "dar"
`, n, 10_000+n)
	}
	start := time.Now()
	file, err := Parse([]byte(text.String()))
	took := time.Since(start)
	if err != nil || len(file.Servers) != 10_000 {
		t.Errorf("10,000 servers: %v", err)
	}
	if took > maxTime {
		t.Errorf("10,000 servers took %v", took)
	}
}

// Any input is either accepted, or rejected with a reason.
func FuzzFile(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte(goodFile[:200]))
	f.Add([]byte("[[class]]\n[class]\n"))
	f.Add([]byte("server = [{name=\"a\"}]\nclass = 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse(data)
		if (file == nil) == (err == nil) {
			t.Errorf("file %v with error %v", file, err)
		}
		if err != nil && err.Error() == "" {
			t.Error("an error without a reason")
		}
	})
}
