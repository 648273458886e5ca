package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func discard(_, _ time.Duration) {}

// says runs a command and returns what it says.
func says(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(args, &out, discard); err != nil {
		t.Fatalf("%v: %v\n%s", args, err, out.String())
	}
	return out.String()
}

func TestRunAndCompare(t *testing.T) {
	page := filepath.Join(t.TempDir(), "report.html")
	if text := says(t, "run", "-html", page, "../../scenarios/calm.toml"); !strings.Contains(text, "no rule broken") || !strings.Contains(text, "stall-pay") {
		t.Errorf("said %s", text)
	}
	if data, err := os.ReadFile(page); err != nil || !bytes.Contains(data, []byte("<svg")) {
		t.Errorf("the page: %v", err)
	}
	if text := says(t, "compare", "-seeds", "3", "../../scenarios/calm.toml", "../../scenarios/calm.toml"); strings.Count(text, "within the noise") != 4 {
		t.Errorf("a scenario against itself: %s", text)
	}
	if text := says(t, "compare", "-seeds", "3", "-against", "random", "../../scenarios/failing-fast.toml"); !strings.Contains(text, "a difference") {
		t.Errorf("the module and random choice: %s", text)
	}
	for _, args := range [][]string{nil, {"play"}, {"run"}, {"run", "a", "b"}, {"compare", "a"}, {"run", "/nowhere"}, {"demo", "x"}, {"run", "-what"},
		{"record", "../../scenarios/calm.toml"}, {"replay", "/nowhere"}, {"replay", "../../scenarios/calm.toml"},
		{"run", "-policy", "best", "../../scenarios/calm.toml"}, {"run", "-out", "x", "../../scenarios/calm.toml"}} {
		if err := run(args, &bytes.Buffer{}, discard); err == nil {
			t.Errorf("%v is taken", args)
		}
	}
}

// A trace is the same, byte for byte, each time that it is recorded, and replays. One
// that differs, is cut off or was touched is told.
func TestRecordAndReplay(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "first"), filepath.Join(dir, "second")
	for _, path := range []string{first, second} {
		says(t, "record", "-seed", "4", "-out", path, "../../scenarios/rolling-restart.toml")
	}
	a, err := os.ReadFile(first)
	if err != nil {
		t.Fatal(err)
	}
	if b, _ := os.ReadFile(second); !bytes.Equal(a, b) {
		t.Error("the second record differs")
	}
	if text := says(t, "replay", first); !strings.Contains(text, "are the same") {
		t.Errorf("said %s", text)
	}
	lines := strings.SplitAfter(string(a), "\n")
	for name, c := range map[string]struct{ data, says string }{
		"another seed":    {strings.Replace(string(a), `"seed":4`, `"seed":5`, 1), "differs"},
		"another policy":  {strings.Replace(string(a), `"policy":"pinedale"`, `"policy":"random"`, 1), "differs"},
		"cut off":         {string(a[:len(a)-40]), "line"},
		"an event less":   {strings.Join(append(append([]string{}, lines[:9]...), lines[10:]...), ""), "differs"},
		"another version": {strings.Replace(string(a), `"pinedale_trace":1`, `"pinedale_trace":9`, 1), "version"},
		"empty":           {"", "empty"},
	} {
		if err := os.WriteFile(second, []byte(c.data), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err := run([]string{"replay", second}, &out, discard); err == nil || !strings.Contains(out.String()+err.Error(), c.says) {
			t.Errorf("%s: %v, said %s", name, err, out.String())
		}
	}
}

// On sockets the same commands play for as long as the scenario says; a trace from there
// is compared by its counts.
func TestOnSockets(t *testing.T) {
	text, err := os.ReadFile("../../scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	short, stored := filepath.Join(dir, "short.toml"), filepath.Join(dir, "trace")
	if err := os.WriteFile(short, bytes.Replace(text, []byte(`length = "30s"`), []byte(`length = "1500ms"`), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	says(t, "record", "-sockets", "-out", stored, short)
	if text := says(t, "replay", stored); !strings.Contains(text, "answered 200") {
		t.Errorf("said %s", text)
	}
	if text := says(t, "run", "-sockets", short); !strings.Contains(text, "sockets: 1.5s played") {
		t.Errorf("said %s", text)
	}
	if text := says(t, "rank", "-seeds", "2", short); strings.Count(text, "broken") != 4 {
		t.Errorf("said %s", text)
	}
}

// The demo ends by itself with a summary, and breaks no rule.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	if err := demo(&out, 2*time.Second); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "in all: asked") || !strings.Contains(out.String(), "effects done twice 0") {
		t.Errorf("said %s", out.String())
	}
}
