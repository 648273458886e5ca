package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
)

// newProgram returns a program whose commands print their flags and arguments to out.
func newProgram(out io.Writer) *cobra.Command {
	root := NewRoot("program", "a program to test with", out)
	config := root.PersistentFlags().String("config", "", "a file")
	play := &cobra.Command{Use: "play", Args: cobra.ArbitraryArgs}
	offset := play.Flags().Duration("offset", 0, "an offset")
	sockets := play.Flags().Bool("sockets", false, "on sockets")
	output := play.Flags().StringP("out", "o", "", "a file")
	verbose := play.Flags().BoolP("verbose", "v", false, "more lines")
	play.RunE = func(_ *cobra.Command, args []string) error {
		_, err := fmt.Fprintln(out, *config, *offset, *sockets, *output, *verbose, args)
		return err
	}
	wrap := &cobra.Command{Use: "wrap", Args: cobra.ArbitraryArgs}
	name := wrap.Flags().String("name", "", "a name")
	wrap.RunE = func(_ *cobra.Command, args []string) error {
		_, err := fmt.Fprintln(out, *name, args)
		return err
	}
	EndFlagsAtFirstArgument(wrap)
	failing := &cobra.Command{Use: "fail", RunE: func(*cobra.Command, []string) error { return errors.New("disk full") }}
	root.AddCommand(play, wrap, failing)
	return root
}

func TestNormalizeAddsDashToLongFlagsOnly(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"", ""},
		{"play -offset 5s", "play --offset 5s"},
		{"play -offset=5s -sockets a", "play --offset=5s --sockets a"},
		{"play --offset 5s --sockets", "play --offset 5s --sockets"},
		{"play a -sockets", "play a --sockets"},
		{"play -sockets=false", "play --sockets=false"},
		{"play -offset -5s", "play --offset -5s"},
		{"play -offset -sockets", "play --offset -sockets"},
		{"play --offset -sockets", "play --offset -sockets"},
		{"play -sockets -offset", "play --sockets --offset"},
		{"play -out -- -sockets", "play --out -- --sockets"},
		{"play -- -sockets", "play -- -sockets"},
		{"play -sockets -- -offset", "play --sockets -- -offset"},
		{"play -o -sockets", "play -o -sockets"},
		{"play -o=-sockets -sockets", "play -o=-sockets --sockets"},
		{"play -vo -sockets", "play -vo -sockets"},
		{"play -vofile -sockets", "play -vofile --sockets"},
		{"play -v -sockets", "play -v --sockets"},
		{"play -vv -sockets", "play -vv --sockets"},
		{"play -h", "play -h"},
		{"play -help", "play --help"},
		{"-help", "--help"},
		{"play -unknown -sockets", "play -unknown --sockets"},
		{"play - -sockets", "play - --sockets"},
		{"play -5s", "play -5s"},
		{"-config f play -sockets", "--config f play --sockets"},
		{"play -config -sockets", "play --config -sockets"},
		{"-config play play -sockets", "--config play play --sockets"},
		{"wrap -sockets", "wrap --sockets"}, // -sockets is a flag of another command
		{"wrap -name a server -name b", "wrap --name a server -name b"},
		{"wrap -name a -- server -name b", "wrap --name a -- server -name b"},
		{"play wrap -name", "play wrap --name"},
		{"__complete play -sockets", "__complete play -sockets"},
		{"__completeNoDesc play -sockets", "__completeNoDesc play -sockets"},
	} {
		args := strings.Fields(c.args)
		original := slices.Clone(args)
		if normalized := Normalize(newProgram(io.Discard), args); strings.Join(normalized, " ") != c.want {
			t.Errorf("Normalize(%q) = %q, want %q", c.args, normalized, c.want)
		}
		if !slices.Equal(args, original) {
			t.Errorf("Normalize changed its arguments %q to %q", original, args)
		}
	}
}

func TestNormalizeLeavesAllArgumentsAfterCommandThatParsesNoFlags(t *testing.T) {
	root := newProgram(io.Discard)
	root.AddCommand(&cobra.Command{Use: "raw", DisableFlagParsing: true})
	want := []string{"raw", "-sockets"}
	if normalized := Normalize(root, want); !slices.Equal(normalized, want) {
		t.Errorf("Normalize(%q) = %q", want, normalized)
	}
}

func TestExecuteParsesOneDashFlags(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"play", " 0s false  false []"},
		{"-config f play -offset -5s -sockets -out -v a", "f -5s true -v false [a]"},
		{"play -vo x a -sockets -- -out", " 0s true x true [a -out]"},
		{"wrap -name a server -name b --name c", "a [server -name b --name c]"},
		{"wrap -name a -- server -name b", "a [server -name b]"},
	} {
		var out, stderr bytes.Buffer
		code := Execute(context.Background(), newProgram(&out), strings.Fields(c.args), &stderr)
		if code != 0 || out.String() != c.want+"\n" || stderr.Len() > 0 {
			t.Errorf("%s: exit code %d, printed %q and %q, want %q", c.args, code, out.String(), stderr.String(), c.want)
		}
	}
}

func TestExecutePrintsErrorsAfterProgramNameAndReturnsOne(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"", "program: missing command\nUsage:"},
		{"stop", `program: unknown command "stop" for "program"`},
		{"fail", "program: disk full\n"},
		{"play -offset never", `program: invalid argument "never" for "--offset" flag`},
		{"play -unknown", "program: unknown shorthand flag: 'u' in -unknown\n"},
	} {
		var out, stderr bytes.Buffer
		code := Execute(context.Background(), newProgram(&out), strings.Fields(c.args), &stderr)
		if code != 1 || out.Len() > 0 || !strings.HasPrefix(stderr.String(), c.want) {
			t.Errorf("%q: exit code %d, printed %q and %q, want %q", c.args, code, out.String(), stderr.String(), c.want)
		}
	}
}

func TestExecuteReturnsCodeOfExitError(t *testing.T) {
	cause := errors.New("disk full")
	for _, c := range []struct {
		err  error
		want string
	}{
		{&ExitError{Code: 7}, ""},
		{&ExitError{Code: 7, Err: cause}, "program: disk full\n"},
		{fmt.Errorf("server: %w", &ExitError{Code: 7, Err: cause}), "program: server: disk full\n"},
	} {
		root := newProgram(io.Discard)
		root.AddCommand(&cobra.Command{Use: "exit", RunE: func(*cobra.Command, []string) error { return c.err }})
		var stderr bytes.Buffer
		if code := Execute(context.Background(), root, []string{"exit"}, &stderr); code != 7 || stderr.String() != c.want {
			t.Errorf("%v: exit code %d, printed %q, want 7 and %q", c.err, code, stderr.String(), c.want)
		}
	}
	if err := (&ExitError{Code: 7, Err: cause}); !errors.Is(err, cause) || err.Error() != "disk full" {
		t.Errorf("an ExitError does not wrap its cause: %v", err)
	}
	if text := (&ExitError{Code: 7}).Error(); text != "exit code 7" {
		t.Errorf("an ExitError without a cause has the text %q", text)
	}
}

func TestExecuteHelpAndCompletionPrintToOut(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"--help", "Usage:\n  program"},
		{"-help", "Usage:\n  program"},
		{"help play", "--sockets"},
		{"play -h", "--sockets"},
		{"completion bash", "__start_program"},
		{"__complete play --so", "--sockets\ton sockets"},
	} {
		var out, stderr bytes.Buffer
		code := Execute(context.Background(), newProgram(&out), strings.Fields(c.args), &stderr)
		if code != 0 || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: exit code %d, printed %q and %q, want %q", c.args, code, out.String(), stderr.String(), c.want)
		}
	}
}

func TestExecutePassesContextToCommand(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var passed context.Context
	root := NewRoot("program", "a program to test with", io.Discard)
	root.AddCommand(&cobra.Command{Use: "wait", Run: func(cmd *cobra.Command, _ []string) { passed = cmd.Context() }})
	if code := Execute(ctx, root, []string{"wait"}, io.Discard); code != 0 || passed != ctx {
		t.Errorf("exit code %d, the command received context %v, want the one passed to Execute", code, passed)
	}
}
