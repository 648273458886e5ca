package main

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// events converts lines of the form "ACTION PACKAGE TEST" to events of go test -json.
func events(t *testing.T, lines ...string) io.Reader {
	t.Helper()
	var out strings.Builder
	for _, line := range lines {
		fields := append(strings.Fields(line), "", "")
		data, err := json.Marshal(event{Action: fields[0], Package: fields[1], Test: fields[2]})
		if err != nil {
			t.Fatal(err)
		}
		out.Write(append(data, '\n'))
	}
	return strings.NewReader(out.String())
}

func TestOnlyListedFailuresPass(t *testing.T) {
	const list = "p TestRed: the queue is too short (command go test p; seed 7; issue 28)\n"
	for _, c := range []struct {
		name   string
		list   string
		events []string
		want   string // part of the error; "" for none
	}{
		{"nothing fails", "", []string{"pass p TestA", "pass p"}, ""},
		{"an unlisted test fails", "", []string{"fail p TestA", "fail p"}, "p TestA failed"},
		{"the listed test fails", list, []string{"pass p TestA", "fail p TestRed", "fail p"}, ""},
		{"the listed test fails in a subtest", list, []string{"fail p TestRed/case", "fail p TestRed", "fail p"}, ""},
		{"the listed test passes", list, []string{"pass p TestRed", "pass p"}, ""},
		{"the listed test does not run", list, []string{"pass p TestA", "pass p"}, "did not run"},
		{
			"another test fails beside the listed one", list,
			[]string{"fail p TestA", "fail p TestRed", "fail p"}, "p TestA failed",
		},
		{
			"a test of that name fails in another package", list,
			[]string{"fail p TestRed", "fail p", "fail q TestRed", "fail q"}, "q TestRed failed",
		},
		{
			"another package fails without a test", list,
			[]string{"fail p TestRed", "fail p", "fail q"}, "q failed without a failing test",
		},
		{"nothing was tested", "", nil, "no package was tested"},
		{"a line names no command", "p TestRed: broken (seed 1; issue 1)\n", []string{"pass p"}, "KNOWN-RED.txt:1"},
		{"a line names no seed", "p TestRed: broken (command c; issue 1)\n", []string{"pass p"}, "KNOWN-RED.txt:1"},
		{
			"a line does not say what was seen", "p TestRed: (command c; seed 1; issue 1)\n",
			[]string{"pass p"}, "KNOWN-RED.txt:1",
		},
		{"a line names no issue", "p TestRed: broken\n", []string{"pass p"}, "KNOWN-RED.txt:1"},
		{
			"a line names a subtest", "p TestRed/case: broken (command c; seed 1; issue 1)\n",
			[]string{"pass p"}, "KNOWN-RED.txt:1",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := run(c.list, events(t, c.events...), io.Discard)
			switch {
			case c.want == "" && err != nil:
				t.Errorf("run returned error %v, want none", err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("run returned error %v, want one with %q", err, c.want)
			}
		})
	}
}

// Runs go test in a temporary module with a failing test, which is listed or not, and with a panic that keeps later
// tests from running.
func TestRealRun(t *testing.T) {
	const source = `package p

import "testing"

func TestRed(t *testing.T) { t.Error("red") }

func TestPanics(t *testing.T) {
	if panics {
		panic("early end")
	}
}

func TestLast(t *testing.T) {}

const panics = `
	for _, c := range []struct {
		name, list, panics, want string
	}{
		{"listed", "p TestRed: red on purpose (command c; seed 1; issue 1)", "false", ""},
		{"not listed", "", "false", "p TestRed failed"},
		{"listed beside a panic", "p TestRed: red on purpose (command c; seed 1; issue 1)", "true", "TestPanics"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range map[string]string{"go.mod": "module p\n\ngo 1.26\n", "p_test.go": source + c.panics + "\n"} {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			test := exec.Command("go", "test", "-json", "./...")
			test.Dir = dir
			output, _ := test.Output() // the error is expected, since a test fails
			var printed strings.Builder
			err := run(c.list, strings.NewReader(string(output)), &printed)
			if c.want == "" {
				if err != nil {
					t.Errorf("run returned error %v, want none", err)
				}
				if !strings.Contains(printed.String(), "KNOWN RED p TestRed: fails (red on purpose (command c; seed 1; issue 1))") {
					t.Errorf("the result of the listed test is missing in the output:\n%s", printed.String())
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("run returned error %v, want one with %q", err, c.want)
			}
		})
	}
}
