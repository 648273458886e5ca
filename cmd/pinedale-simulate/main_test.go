package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinedale/internal/cli"
)

// The scenarios that the tests run.
const (
	calmScenario           = "../../scenarios/calm.toml"
	failingFastScenario    = "../../scenarios/failing-fast.toml"
	rollingRestartScenario = "../../scenarios/rolling-restart.toml"
)

// execute runs a command line. It returns what is printed to standard output and standard error, and the exit code.
func execute(args ...string) (stdout, stderr string, code int) {
	var out, errOut bytes.Buffer
	code = cli.Execute(context.Background(), rootCommand(&out, func(_, _ time.Duration) {}), args, &errOut)
	return out.String(), errOut.String(), code
}

// mustExecute runs a command line that has to succeed, and returns what it prints.
func mustExecute(t *testing.T, args ...string) string {
	t.Helper()
	stdout, stderr, code := execute(args...)
	if code != 0 || stderr != "" {
		t.Fatalf("%v: exit code %d: %s\n%s", args, code, stderr, stdout)
	}
	return stdout
}

// writeShortScenario writes the calm scenario with another length to a temporary folder and returns its path.
func writeShortScenario(t *testing.T, length time.Duration) string {
	t.Helper()
	text, err := os.ReadFile(calmScenario)
	if err != nil {
		t.Fatal(err)
	}
	shortened := bytes.Replace(text, []byte(`length = "30s"`), fmt.Appendf(nil, "length = %q", length), 1)
	if bytes.Equal(shortened, text) {
		t.Fatal("the calm scenario is not 30 s long")
	}
	path := filepath.Join(t.TempDir(), "short.toml")
	if err := os.WriteFile(path, shortened, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRunPrintsResultAndWritesHTMLReport(t *testing.T) {
	page := filepath.Join(t.TempDir(), "report.html")
	text := mustExecute(t, "run", "-html", page, calmScenario)
	if !strings.Contains(text, "no violations") || !strings.Contains(text, "stall-pay") {
		t.Errorf("run printed %s, want no violations and a row for class stall-pay", text)
	}
	if data, err := os.ReadFile(page); err != nil || !bytes.Contains(data, []byte("<svg")) {
		t.Errorf("the HTML report has no plot, or reading it failed: %v", err)
	}
}

func TestCompareFindsNoDifferenceOfScenarioFromItself(t *testing.T) {
	text := mustExecute(t, "compare", "-seeds", "3", calmScenario, calmScenario)
	if strings.Count(text, "within the noise") != 4 {
		t.Errorf("comparing a scenario with itself printed %s, want 4 metrics within the noise", text)
	}
}

func TestCompareFindsDifferenceOfModuleFromRandomChoice(t *testing.T) {
	text := mustExecute(t, "compare", "-seeds", "3", "-against", "random", failingFastScenario)
	if !strings.Contains(text, "a difference") {
		t.Errorf("comparing the module with random choice printed %s, want a difference", text)
	}
}

func TestInvalidCommandLinesExitWithOne(t *testing.T) {
	const usageText = "invalid command line\nusage: pinedale-simulate demo [-length 12s]\n"
	for _, c := range []struct {
		args []string
		want string // in the error
	}{
		{nil, usageText},
		{[]string{"play"}, usageText},
		{[]string{"run"}, usageText},
		{[]string{"run", "a", "b"}, usageText},
		{[]string{"compare", "a"}, "open a: no such file"},
		{[]string{"compare", "a", "b", "c"}, usageText},
		{[]string{"compare", "-seeds", "1", calmScenario}, usageText},
		{[]string{"run", "/nowhere"}, "open /nowhere: no such file"},
		{[]string{"demo", "x"}, usageText},
		{[]string{"demo", "-length", "1ms"}, usageText},
		{[]string{"run", "-what"}, usageText},
		{[]string{"run", "-seed", "-1", calmScenario}, usageText},
		{[]string{"record", calmScenario}, usageText},
		{[]string{"replay", "/nowhere"}, "open /nowhere: no such file"},
		{[]string{"replay", calmScenario}, calmScenario + ": line 1: "},
		{[]string{"rank", "-seeds", "0", calmScenario}, usageText},
		{[]string{"agree"}, usageText},
		{[]string{"run", "-policy", "best", calmScenario}, `policy "best" is not one of pinedale, `},
		{[]string{"run", "-out", "x", calmScenario}, usageText},
	} {
		stdout, stderr, code := execute(c.args...)
		if code != 1 || !strings.HasPrefix(stderr, "pinedale-simulate: ") || !strings.Contains(stderr, c.want) {
			t.Errorf("%v: exit code %d, printed %q and %q, want 1 and %q", c.args, code, stdout, stderr, c.want)
		}
	}
}

func TestRecordWritesSameTraceEachTimeAndReplayConfirmsIt(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "first"), filepath.Join(dir, "second")
	for _, path := range []string{first, second} {
		mustExecute(t, "record", "-seed", "4", "-out", path, rollingRestartScenario)
	}
	content, err := os.ReadFile(first)
	if err != nil {
		t.Fatal(err)
	}
	if repeated, _ := os.ReadFile(second); !bytes.Equal(content, repeated) {
		t.Error("two recordings of the same scenario and seed differ")
	}
	if text := mustExecute(t, "replay", first); !strings.Contains(text, "are the same") {
		t.Errorf("replay printed %s, want all events to be the same", text)
	}
}

func TestReplayRejectsTraceThatWasAltered(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace")
	mustExecute(t, "record", "-seed", "4", "-out", path, rollingRestartScenario)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := string(content)
	lines := strings.SplitAfter(text, "\n")
	withoutTenthLine := strings.Join(lines[:9], "") + strings.Join(lines[10:], "")
	for name, c := range map[string]struct{ altered, want string }{
		"another seed":    {strings.Replace(text, `"seed":4`, `"seed":5`, 1), "differs"},
		"another policy":  {strings.Replace(text, `"policy":"pinedale"`, `"policy":"random"`, 1), "differs"},
		"cut off":         {text[:len(text)-40], "line"},
		"an event less":   {withoutTenthLine, "differs"},
		"another version": {strings.Replace(text, `"pinedale_trace":1`, `"pinedale_trace":9`, 1), "version"},
		"empty":           {"", "empty"},
	} {
		if err := os.WriteFile(path, []byte(c.altered), 0o600); err != nil {
			t.Fatal(err)
		}
		stdout, stderr, code := execute("replay", path)
		if code != 1 || !strings.Contains(stdout+stderr, c.want) {
			t.Errorf("%s: exit code %d, printed %s\n%s\nwant 1 and %q", name, code, stdout, stderr, c.want)
		}
	}
}

func TestTraceFromSocketsIsComparedByItsCounts(t *testing.T) {
	scenario, recorded := writeShortScenario(t, 1500*time.Millisecond), filepath.Join(t.TempDir(), "trace")
	mustExecute(t, "record", "-sockets", "-out", recorded, scenario)
	if text := mustExecute(t, "replay", recorded); !strings.Contains(text, "answered 200") {
		t.Errorf("replay printed %s, want counts of responses with status 200", text)
	}
}

func TestRunOnSocketsTakesAsLongAsTheScenario(t *testing.T) {
	scenario := writeShortScenario(t, 1500*time.Millisecond)
	if text := mustExecute(t, "run", "-sockets", scenario); !strings.Contains(text, "sockets: simulated 1.5s in ") {
		t.Errorf("run printed %s, want a simulated time of 1.5 s on sockets", text)
	}
}

func TestRankPrintsEachPolicy(t *testing.T) {
	scenario := writeShortScenario(t, 1500*time.Millisecond)
	if text := mustExecute(t, "rank", "-seeds", "2", scenario); strings.Count(text, "broken") != 4 {
		t.Errorf("rank printed %s, want results of 4 policies", text)
	}
}

func TestDemoEndsByItselfWithSummaryAndBreaksNoRule(t *testing.T) {
	text := mustExecute(t, "demo", "-length", "2s")
	if !strings.Contains(text, "total: asked") || !strings.Contains(text, "duplicate effects 0") {
		t.Errorf("demo printed %s, want a summary without duplicate effects", text)
	}
}
