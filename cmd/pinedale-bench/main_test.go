package main

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"pinedale/internal/cli"
)

// parse returns the command that a command line selects, with its flags parsed, without running it.
func parse(t *testing.T, line string) *cobra.Command {
	t.Helper()
	root := newRoot(io.Discard)
	command, args, err := root.Find(cli.Normalize(root, strings.Fields(line)))
	if err != nil {
		t.Fatal(err)
	}
	if err := command.ParseFlags(args); err != nil {
		t.Errorf("%s: %v", line, err)
	}
	return command
}

// earlierCommandLines are command lines of earlier releases, which parsed their flags with package flag, and the values
// of the flags that they set.
var earlierCommandLines = []struct {
	line  string
	flags map[string]string
}{
	{
		line:  "departures -departures 10",
		flags: map[string]string{"departures": "10"},
	},
	{
		line: "fronts -calls 9 -servers=3 -seed 4 -once -everywhere",
		flags: map[string]string{
			"calls": "9", "servers": "3", "seed": "4", "once": "true", "everywhere": "true",
		},
	},
	{
		line: "gossip -servers 20 -span 8s -loss 0.05 -seed 2 -large=true",
		flags: map[string]string{
			"servers": "20", "span": "8s", "loss": "0.05", "seed": "2", "large": "true",
		},
	},
	{
		line:  "handshakes -rounds 2 -n 50",
		flags: map[string]string{"rounds": "2", "n": "50"},
	},
	{
		line:  "handshakes --rounds=2 --n=50",
		flags: map[string]string{"rounds": "2", "n": "50"},
	},
	{
		line: "newcomer -instances 30 -servers 10 -fresh 1 -rate 400 -floor 4 -seeds 2 -whole",
		flags: map[string]string{
			"instances": "30", "servers": "10", "fresh": "1", "rate": "400", "floor": "4", "seeds": "2", "whole": "true",
		},
	},
	{
		line:  "nodes -span 1s",
		flags: map[string]string{"span": "1s"},
	},
	{
		line: "noop -servers 4 -connections 2 -span 1s -profile p",
		flags: map[string]string{
			"servers": "4", "connections": "2", "span": "1s", "profile": "p",
		},
	},
	{
		line: "properties -for 1m -seeds 2 -race -checks 5 -workers 3 -seed 7",
		flags: map[string]string{
			"for": "1m0s", "seeds": "2", "race": "true", "checks": "5", "workers": "3", "seed": "7",
		},
	},
	{
		line: "reconnect -instances 2 -limit 100 -all 300 -most 5s",
		flags: map[string]string{
			"instances": "2", "limit": "100", "all": "300", "most": "5s",
		},
	},
	{
		line: "removal -scripts 3 -parallel 2 -servers 4 -steps 2 -seed 5 -discovery",
		flags: map[string]string{
			"scripts": "3", "parallel": "2", "servers": "4", "steps": "2", "seed": "5", "discovery": "true",
		},
	},
	{
		line: "rotations -rotations 6 -http3 -clients 2 -servers 3 -settle 20ms",
		flags: map[string]string{
			"rotations": "6", "http3": "true", "clients": "2", "servers": "3", "settle": "20ms",
		},
	},
	{
		line:  "servers -listen 127.0.0.1:0 -work 5ms -for 1s",
		flags: map[string]string{"listen": "127.0.0.1:0", "work": "5ms", "for": "1s"},
	},
	{
		line:  "tenants -for 2s -rate 150 -seed 3",
		flags: map[string]string{"for": "2s", "rate": "150", "seed": "3"},
	},
	{
		line:  "tls -rounds 1 -clients 2 -span 1s",
		flags: map[string]string{"rounds": "1", "clients": "2", "span": "1s"},
	},
	{
		line: "verdicts -calls 9 -callers 2 -servers 3 -seed 4 -change 5 -work 2ms",
		flags: map[string]string{
			"calls": "9", "callers": "2", "servers": "3", "seed": "4", "change": "5", "work": "2ms",
		},
	},
}

func TestEarlierCommandLinesSelectCommandAndSetFlags(t *testing.T) {
	for _, c := range earlierCommandLines {
		t.Run(c.line, func(t *testing.T) {
			command := parse(t, c.line)
			if name, _, _ := strings.Cut(c.line, " "); command.Name() != name {
				t.Errorf("selected the command %s, want %s", command.Name(), name)
			}
			for name, want := range c.flags {
				if flag := command.Flags().Lookup(name); flag == nil || flag.Value.String() != want {
					t.Errorf("flag %s is %+v, want %s", name, flag, want)
				}
			}
		})
	}
}

func TestEveryCommandHasHelp(t *testing.T) {
	for _, command := range newRoot(io.Discard).Commands() {
		t.Run(command.Name(), func(t *testing.T) {
			var out, stderr bytes.Buffer
			code := cli.Execute(context.Background(), newRoot(&out), []string{command.Name(), "-help"}, &stderr)
			if code != 0 || !strings.Contains(out.String(), command.Short) || stderr.Len() > 0 {
				t.Errorf("exit code %d, stdout %q, stderr %q", code, out.String(), stderr.String())
			}
		})
	}
}

func TestUnknownMeasurementIsAnError(t *testing.T) {
	for _, line := range []string{"", "nothing"} {
		var out, stderr bytes.Buffer
		code := cli.Execute(context.Background(), newRoot(&out), strings.Fields(line), &stderr)
		if code != 1 || !strings.HasPrefix(stderr.String(), programName+": ") {
			t.Errorf("%q: exit code %d, stderr %q", line, code, stderr.String())
		}
	}
}
