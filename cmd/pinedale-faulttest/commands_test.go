package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinedale/internal/cli"
	"pinedale/internal/faulttest"
	"pinedale/internal/faulttest/schedule"
)

// execute executes a command line and returns what it printed.
func execute(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	command := newRootCommand(&out)
	command.SetArgs(args)
	err := command.ExecuteContext(t.Context())
	return out.String(), err
}

func TestHelpKeepsItsForm(t *testing.T) {
	for _, command := range []string{"root", "run", "replay", "shrink", "report", "large-list"} {
		t.Run(command, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "help-"+command+".txt"))
			if err != nil {
				t.Fatal(err)
			}
			args := []string{command, "--help"}
			if command == "root" {
				args = args[1:]
			}
			help, err := execute(t, args...)
			if err != nil {
				t.Fatal(err)
			}
			paths := strings.NewReplacer(siblingProgram("pinedale-proxy"), "PROGRAM", siblingProgram("pinedale"), "SIDECAR")
			if help = paths.Replace(help); help != string(golden) {
				t.Errorf("help is\n%s\nwant\n%s", help, golden)
			}
		})
	}
}

func TestRootCommandWithoutCommandFailsWithUsage(t *testing.T) {
	_, err := execute(t)
	if !errors.Is(err, cli.ErrNoCommand) || !strings.Contains(err.Error(), "Usage:\n  pinedale-faulttest") {
		t.Errorf("error %v, want cli.ErrNoCommand with the usage", err)
	}
}

func TestRunFailsWithoutProgram(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	out, err := execute(t, "run", "--program", missing, "--seed", "7", "--seeds", "2")
	if !errors.Is(err, errFailedSchedules) || !strings.HasPrefix(err.Error(), "2 of 2 schedules failed: [seed ") {
		t.Errorf("error %v, want errFailedSchedules", err)
	}
	for _, want := range []string{"seed 7: ", "seed 8: ", "build ./cmd/pinedale-proxy", "\n2 schedules, 0 faults, "} {
		if !strings.Contains(out, want) {
			t.Errorf("printed %q, want it to contain %q", out, want)
		}
	}
}

func TestReplayRejectsHistoryWithoutSchedule(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.json")
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := execute(t, "replay", path); !errors.Is(err, faulttest.ErrNoSchedule) {
		t.Errorf("error %v, want faulttest.ErrNoSchedule", err)
	}
}

func TestReadScheduleAcceptsScenario(t *testing.T) {
	read, err := readSchedule(filepath.Join("..", "..", "scenarios", "fleet", "halves.toml"))
	if err != nil || read.Name != "halves" {
		t.Errorf("read %+v, error %v, want a schedule named %q", read, err, "halves")
	}
}

func TestDrawOptionsApplyToEachSeed(t *testing.T) {
	options := drawOptions{
		firstSeed:    3,
		seeds:        2,
		instances:    5,
		servers:      6,
		loadDuration: 4 * time.Second,
		rate:         10,
		agreement:    "soon",
	}
	drawn := options.draw()
	if len(drawn) != options.seeds {
		t.Fatalf("%d schedules, want %d", len(drawn), options.seeds)
	}
	for i, s := range drawn {
		if s.Seed != options.firstSeed+uint64(i) || s.Rate != options.rate || s.Agreement != schedule.AgreeSoon {
			t.Errorf("schedule %d is %+v, want seed %d, rate %v and agreement %q", i, s,
				options.firstSeed+uint64(i), options.rate, schedule.AgreeSoon)
		}
	}
}

func TestCompletionIsOffered(t *testing.T) {
	script, err := execute(t, "completion", "bash")
	if err != nil || !strings.Contains(script, programName) {
		t.Errorf("error %v, completion script %q, want one for %s", err, script, programName)
	}
}

func TestOneDashFlagsAreAccepted(t *testing.T) {
	var out, stderr bytes.Buffer
	missing := filepath.Join(t.TempDir(), "missing")
	code := cli.Execute(t.Context(), newRootCommand(&out), []string{"run", "-program", missing, "-seed", "7"}, &stderr)
	if code != 1 || !strings.Contains(out.String(), "seed 7: ") {
		t.Errorf("exit code %d, printed %q and %q, want code 1 and a line for seed 7", code, out.String(), stderr.String())
	}
}
