package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Flags with one dash were accepted by releases that parsed command lines with package flag, and must stay valid.
func TestCommandLinesWithOneDashFlagsStillWork(t *testing.T) {
	scenario := writeShortScenario(t, 200*time.Millisecond)
	t.Chdir(t.TempDir())
	mustExecute(t, "record", "-out", "recorded", scenario)
	for _, c := range []struct{ args, want string }{
		{"run SCENARIO", "calm, seed 1, pinedale, virtual: simulated 200ms in "},
		{"run -seed 4 SCENARIO", "calm, seed 4, pinedale, virtual: "},
		{"run -seed=4 SCENARIO", "seed 4,"},
		{"run --seed 4 SCENARIO", "seed 4,"},
		{"run --seed=4 SCENARIO", "seed 4,"},
		{"run -seed 0x10 SCENARIO", "seed 16,"},
		{"run -seed 4 -seed 5 SCENARIO", "seed 5,"},
		{"run -policy random SCENARIO", "seed 1, random,"},
		{"run -policy=random -seed 4 SCENARIO", "seed 4, random,"},
		{"run -sockets SCENARIO", "pinedale, sockets: "},
		{"run -sockets=true SCENARIO", "pinedale, sockets: "},
		{"run -sockets=F SCENARIO", "pinedale, virtual: "},
		{"run -html page.html SCENARIO", "seed 1,"},
		{"run -html -page.html SCENARIO", "seed 1,"},
		{"run -html= SCENARIO", "seed 1,"},
		{"run -- SCENARIO", "seed 1,"},
		{"run -seed 4 -- SCENARIO", "seed 4,"},
		{"run -html -- SCENARIO", "seed 1,"},
		{"compare -seeds 2 SCENARIO", "second: calm, pinedale"},
		{"compare -seeds 2 -policy random SCENARIO", "second: calm, random"},
		{"compare -seeds=2 -policy random -against least-request SCENARIO", "second: calm, least-request"},
		{"compare -seeds 2 -against= SCENARIO SCENARIO", "second: calm, pinedale"},
		{"rank -seeds 1 SCENARIO SCENARIO", "G over 1 seeds"},
		{"record -out trace SCENARIO", "calm, seed 1, pinedale: "},
		{"record -seed 4 -policy random -sockets=false -out=trace SCENARIO", "calm, seed 4, random: "},
		{"record -sockets -out -trace SCENARIO", "calm, seed 1, pinedale: "},
		{"replay recorded", "are the same"},
		{"replay -- -trace", "sockets"},
		{"demo -length 1s", "total: asked "},
		{"demo -length=1s", "total: asked "},
	} {
		args := strings.Fields(c.args)
		for i, arg := range args {
			if arg == "SCENARIO" {
				args[i] = scenario
			}
		}
		if text := mustExecute(t, args...); !strings.Contains(text, c.want) {
			t.Errorf("%s: printed %s\nwant %q", c.args, text, c.want)
		}
	}
	for _, name := range []string{"page.html", "-page.html", "--", "trace", "-trace"} {
		if found, err := filepath.Glob(name); err != nil || len(found) != 1 {
			t.Errorf("file %q was not written", name)
		}
	}
}

// The exit code is not checked: after so short a run, the scores may differ by more than agree tolerates.
func TestAgreeRunsOnVirtualTimeAndSockets(t *testing.T) {
	scenario := writeShortScenario(t, 500*time.Millisecond)
	stdout, stderr, _ := execute("agree", "-seed", "4", scenario)
	if !strings.Contains(stdout, "violations on sockets\ncalm ") {
		t.Errorf("agree printed %s%s, want the header and the row of scenario calm", stdout, stderr)
	}
}

func TestHelpDescribesCommandsFlagsAndPolicies(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"--help", "Policies: pinedale, least-request, random, weighted-round"},
		{"-help", "Available Commands:"},
		{"help run", "pinedale-simulate run SCENARIO"},
		{"run -h", "--sockets"},
		{"record -help", "--out"},
		{"compare --help", "--against"},
	} {
		if text := mustExecute(t, strings.Fields(c.args)...); !strings.Contains(text, c.want) {
			t.Errorf("%s: printed %s\nwant %q", c.args, text, c.want)
		}
	}
}

func TestShellCompletionKnowsCommandsFlagsAndPolicies(t *testing.T) {
	if text := mustExecute(t, "completion", "bash"); !strings.Contains(text, "__start_pinedale-simulate") {
		t.Errorf("completion bash printed %s, want a completion script for pinedale-simulate", text)
	}
	for _, c := range []struct{ args, want string }{
		{"__complete re", "record\t"},
		{"__complete run --so", "--sockets\t"},
		{"__complete run --policy ra", "random\n"},
		{"__complete compare --against lea", "least-request\n"},
	} {
		if stdout, _, code := execute(strings.Fields(c.args)...); code != 0 || !strings.Contains(stdout, c.want) {
			t.Errorf("%s: exit code %d, printed %q, want %q", c.args, code, stdout, c.want)
		}
	}
}
