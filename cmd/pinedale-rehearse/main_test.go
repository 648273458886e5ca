package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestRunAndCompare(t *testing.T) {
	page := filepath.Join(t.TempDir(), "report.html")
	var out bytes.Buffer
	if err := run([]string{"run", "-html", page, "../../scenarios/calm.toml"}, &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "no rule broken") || !strings.Contains(out.String(), "stall-pay") {
		t.Errorf("said %s", out.String())
	}
	if data, err := os.ReadFile(page); err != nil || !bytes.Contains(data, []byte("<svg")) {
		t.Errorf("the page: %v", err)
	}
	out.Reset()
	if err := run([]string{"compare", "-seeds", "3", "../../scenarios/calm.toml", "../../scenarios/calm.toml"}, &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "within the noise"); n != 2 {
		t.Errorf("a scenario against itself: %s", out.String())
	}
	for _, args := range [][]string{nil, {"play"}, {"run"}, {"run", "a", "b"}, {"compare", "a"}, {"run", "/nowhere"}, {"demo", "x"}, {"run", "-what"}} {
		if err := run(args, &out); err == nil {
			t.Errorf("%v is taken", args)
		}
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
