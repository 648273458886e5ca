package main

import (
	"bytes"
	"context"
	"errors"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/cli"
)

// parse parses any command line other than that of "completion", and returns the arguments after the flags.
func parse(t *testing.T, args []string) (root *cobra.Command, command []string) {
	t.Helper()
	root = rootCommand(args)
	called := false
	root.RunE = func(_ *cobra.Command, args []string) error {
		called = true
		command = args
		return nil
	}
	var stderr bytes.Buffer
	if code := cli.Execute(context.Background(), root, args, &stderr); code != 0 || !called {
		t.Errorf("%q: exit code %d, called %t: %s", args, code, called, stderr.String())
	}
	return root, command
}

// Command lines that operators wrote for earlier releases, which used package flag: long flags have one dash, and
// everything from the first argument on is an argument.
func TestCommandLinesWithOneDashFlagsStillWork(t *testing.T) {
	for _, c := range []struct {
		args    string
		flags   map[string]string
		command []string
	}{
		{"-name s-1", map[string]string{"name": "s-1", "path": "/soko", "share": "1", "grace": "2s"}, nil},
		{"-name=s-1 -pod=2", map[string]string{"name": "s-1", "pod": "2"}, nil},
		{"--name s-1 --pod=2", map[string]string{"name": "s-1", "pod": "2"}, nil},
		{"-share 0.5 -session 60s -wait 5m", map[string]string{"share": "0.5", "session": "1m0s", "wait": "5m0s"}, nil},
		{"-grace -1s", map[string]string{"grace": "-1s"}, nil},
		{"-name -s", map[string]string{"name": "-s"}, nil},
		{"-name -name -site -kind", map[string]string{"name": "-name", "site": "-kind"}, nil},
		{"-site= -kind=", map[string]string{"site": "", "kind": ""}, nil},
		{"-digest-file f -servers a:1,b:2", map[string]string{"digest-file": "f", "servers": "a:1,b:2"}, nil},
		{"-name a -name b", map[string]string{"name": "b"}, nil},
		{"-name a -- server -name b", map[string]string{"name": "a"}, []string{"server", "-name", "b"}},
		{"-name a server -name b --path /x", map[string]string{"name": "a", "path": "/soko"},
			[]string{"server", "-name", "b", "--path", "/x"}},
		{"-name a server -- -h", map[string]string{"name": "a"}, []string{"server", "--", "-h"}},
		{"-name a -- -h", map[string]string{"name": "a"}, []string{"-h"}},
		{"-name a completion bash", map[string]string{"name": "a"}, []string{"completion", "bash"}},
		{"-name a help", map[string]string{"name": "a"}, []string{"help"}},
		{"server -name b", map[string]string{"name": ""}, []string{"server", "-name", "b"}},
	} {
		root, command := parse(t, strings.Fields(c.args))
		for name, want := range c.flags {
			if value := root.Flag(name).Value.String(); value != want {
				t.Errorf("%s: %s is %q, want %q", c.args, name, value, want)
			}
		}
		if !slices.Equal(command, c.command) {
			t.Errorf("%s: the command is %q, want %q", c.args, command, c.command)
		}
	}
}

func TestInvalidFlagsExitWithTwoAfterUsage(t *testing.T) {
	parts := []string{
		"\nusage: pinedale-register -servers ", "--grace duration", "pinedale-register: invalid command line\n",
	}
	for _, args := range [][]string{{"-what"}, {"-pod", "x"}, {"-name"}, {"--what", "server"}} {
		c := program(args...)
		var stderr bytes.Buffer
		c.Stderr = &stderr
		err := c.Run()
		if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 2 {
			t.Errorf("%q: %v, want exit code 2", args, err)
		}
		for _, want := range parts {
			if !strings.Contains(stderr.String(), want) {
				t.Errorf("%q: printed %q, want %q", args, stderr.String(), want)
			}
		}
	}
}

func TestHelpAndCompletionPrintToStandardOutput(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"--help", "[-- COMMAND ARG...]"},
		{"-help", "--digest-file"},
		{"-h", "--grace duration"},
		{"completion bash", "__start_pinedale-register"},
		{"completion zsh", "#compdef pinedale-register"},
		{"__complete --di", "--digest-file\t"},
	} {
		command := program(strings.Fields(c.args)...)
		command.Stderr = nil
		out, err := command.Output()
		if err != nil || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: %v, printed %q, want %q", c.args, err, out, c.want)
		}
	}
}

func TestServerThatCannotStartOrListenExitsWithOne(t *testing.T) {
	flags := []string{"-servers", "127.0.0.1:1", "-name", "s-1", "-address", "127.0.0.1:1", "-wait", "200ms", "--"}
	for _, c := range []struct {
		command []string
		want    string
	}{
		{[]string{"/nowhere/server"}, "pinedale-register: fork/exec /nowhere/server: "},
		{[]string{"/bin/sleep", "60"}, "pinedale-register: 127.0.0.1:1 does not listen: "},
	} {
		command := program(append(slices.Clone(flags), c.command...)...)
		command.Stderr = nil
		command.WaitDelay = time.Minute
		out, err := command.CombinedOutput()
		if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%q: %v, want exit code 1", c.command, err)
		}
		if !strings.Contains(string(out), c.want) {
			t.Errorf("%q: printed %q, want %q", c.command, out, c.want)
		}
	}
}
