// Command knownred reads the JSON events of `go test -json` and fails unless every failing test is listed
// in KNOWN-RED.txt.
//
//	go test -json ./... | knownred KNOWN-RED.txt
//
// A line of the file names one test and why it fails:
//
//	PACKAGE TEST: what was seen (command COMMAND; seed N; issue N)
//
// The listed tests run like all others, and their failures are printed. Any other failure makes the command exit with
// 1, and so does a package that does not build or whose tests end early.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
)

// lineForm is the form of a line of the list. detailsForm matches the part after the colon.
const lineForm = "PACKAGE TEST: what was seen (command COMMAND; seed N; issue N)"

var detailsForm = regexp.MustCompile(`\S.*\(command \S.*; seed \S+; issue \d+\)$`)

// maxLineBytes is the length of the longest event that is read: a test may print a lot in one line.
const maxLineBytes = 16 << 20

// event is an event of `go test -json` about a test or a package (see `go doc test2json`).
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	ImportPath  string
	FailedBuild string
}

// testID names a top-level test.
type testID struct{ pkg, test string }

// knownRed holds the reasons of the tests that may fail.
type knownRed map[testID]string

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred KNOWN-RED.txt")
		os.Exit(2)
	}
	list, err := os.ReadFile(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	if err := run(string(list), os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run prints those parts of the events that people read to out. It returns an error unless only listed tests failed.
func run(list string, events io.Reader, out io.Writer) error {
	known, err := parseList(list)
	if err != nil {
		return err
	}
	results := &results{
		outputs:        map[testID][]string{},
		failed:         map[testID]bool{},
		passed:         map[testID]bool{},
		failedPackages: map[string]bool{},
	}
	scanner := bufio.NewScanner(events)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return fmt.Errorf("not an event of go test -json: %q", scanner.Text())
		}
		results.add(e, out)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return results.report(known, out)
}

// parseList parses the text of KNOWN-RED.txt.
func parseList(text string) (knownRed, error) {
	known := knownRed{}
	for number, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		name, cause, _ := strings.Cut(line, ":")
		fields := strings.Fields(name)
		if len(fields) != 2 || strings.Contains(fields[1], "/") || !detailsForm.MatchString(cause) {
			return nil, fmt.Errorf("KNOWN-RED.txt:%d: want %q, got %q", number+1, lineForm, line)
		}
		known[testID{fields[0], fields[1]}] = strings.TrimSpace(cause)
	}
	return known, nil
}

// results collects the results that the events report.
type results struct {
	outputs        map[testID][]string
	failed, passed map[testID]bool
	failedPackages map[string]bool
	packages       int
}

// add records an event. It prints output that does not belong to a test.
func (r *results) add(e event, out io.Writer) {
	test, _, _ := strings.Cut(e.Test, "/")
	id := testID{e.Package, test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(out, e.Output)
	case "build-fail":
		r.failedPackages[e.ImportPath] = true
	case "output":
		if test == "" {
			fmt.Fprint(out, e.Output)
		} else {
			r.outputs[id] = append(r.outputs[id], e.Output)
		}
	case "pass", "skip", "fail":
		r.finish(e, id, out)
	}
}

// finish records the end of a test or of a package. It prints the output of a test that failed.
func (r *results) finish(e event, id testID, out io.Writer) {
	if e.Test == "" {
		r.packages++
		if e.Action == "fail" {
			r.failedPackages[e.Package] = true
		}
		return
	}
	if strings.Contains(e.Test, "/") {
		return // a failed subtest also fails its top-level test
	}
	if e.Action == "fail" {
		r.failed[id] = true
		for _, line := range r.outputs[id] {
			fmt.Fprint(out, line)
		}
	} else {
		r.passed[id] = true
	}
	delete(r.outputs, id)
}

// report prints the result of each listed test, and returns an error for all other failures.
func (r *results) report(known knownRed, out io.Writer) error {
	var failures []error
	if r.packages == 0 {
		failures = append(failures, errors.New("no package was tested"))
	}
	explained := map[string]bool{}
	for _, id := range slices.SortedFunc(maps.Keys(known), compare) {
		state := "did not run"
		switch {
		case r.failed[id]:
			state = "fails"
			explained[id.pkg] = true
		case r.passed[id]:
			state = "passes now: remove its line"
		default:
			failures = append(failures, fmt.Errorf("%s %s is listed but did not run", id.pkg, id.test))
		}
		fmt.Fprintf(out, "KNOWN RED %s %s: %s (%s)\n", id.pkg, id.test, state, known[id])
	}
	for _, id := range slices.SortedFunc(maps.Keys(r.failed), compare) {
		explained[id.pkg] = true
		if _, listed := known[id]; !listed {
			failures = append(failures, fmt.Errorf("%s %s failed", id.pkg, id.test))
		}
	}
	for _, pkg := range slices.Sorted(maps.Keys(r.failedPackages)) {
		if !explained[pkg] {
			failures = append(failures, fmt.Errorf("%s failed without a failing test", pkg))
		}
	}
	// A test without an end was cut off by a panic or a timeout. The tests after it did not run.
	for _, id := range slices.SortedFunc(maps.Keys(r.outputs), compare) {
		if !r.failed[id] && !r.passed[id] {
			failures = append(failures, fmt.Errorf("%s %s did not end", id.pkg, id.test))
		}
	}
	return errors.Join(failures...)
}

// compare orders tests by package and name.
func compare(a, b testID) int {
	if c := strings.Compare(a.pkg, b.pkg); c != 0 {
		return c
	}
	return strings.Compare(a.test, b.test)
}
