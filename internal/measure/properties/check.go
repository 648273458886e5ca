package properties

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// outputWait is how long to read the output of a test that has ended: processes that it started may keep the output
// open.
const outputWait = time.Second

// The lines that rapid prints for a property that held and for one that did not.
var (
	passedLine = regexp.MustCompile(`\[rapid\] OK, passed (\d+) tests`)
	failedLine = regexp.MustCompile(`\[rapid\] (?:failed|panic) after \d+ tests: (.*)`)
)

// build builds the tests of the package into its binary.
func (p *Package) build(ctx context.Context, root string, race bool) error {
	args := []string{"test", "-c", "-o", p.binary}
	if race {
		args = append(args, "-race")
	}
	command := exec.CommandContext(ctx, "go", append(args, p.Path)...)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build the tests of %s: %w: %s", p.Path, err, output)
	}
	return nil
}

// check checks the properties of the package with one seed.
func (p *Package) check(ctx context.Context, root string, o *Options, seed uint64) (checks int, failures []Failure) {
	pattern := "^(" + strings.Join(p.Tests, "|") + ")$"
	command := exec.CommandContext(ctx, p.binary,
		"-test.v",
		"-test.run", pattern,
		"-rapid.seed", strconv.FormatUint(seed, 10),
		"-rapid.checks", strconv.Itoa(o.Checks))
	command.Dir = filepath.Join(root, p.Path)
	command.WaitDelay = outputWait
	output, err := command.CombinedOutput()
	for _, match := range passedLine.FindAllSubmatch(output, -1) {
		passed, _ := strconv.Atoi(string(match[1])) // the pattern matches digits only
		checks += passed
	}
	if err == nil || ctx.Err() != nil {
		return checks, nil
	}
	return checks, p.failures(output, err, o, seed)
}

// failures returns what failed according to the output of the tests, which ended with an error.
func (p *Package) failures(output []byte, err error, o *Options, seed uint64) (failures []Failure) {
	reason := "the test program ended with " + err.Error()
	if match := failedLine.FindSubmatch(output); match != nil {
		reason = string(match[1])
	}
	for _, test := range p.Tests {
		if bytes.Contains(output, []byte("--- FAIL: "+test+" ")) {
			command := p.repeatCommand("^"+test+"$", o, seed)
			failures = append(failures, Failure{Test: test, Output: reason, Command: command})
		}
	}
	if len(failures) == 0 { // the tests crashed, or did not start
		command := p.repeatCommand("^("+strings.Join(p.Tests, "|")+")$", o, seed)
		failures = append(failures, Failure{Test: strings.Join(p.Tests, ", "), Output: reason, Command: command})
	}
	return failures
}

// repeatCommand returns the command that repeats the check of the tests that match a pattern.
func (p *Package) repeatCommand(pattern string, o *Options, seed uint64) string {
	race := ""
	if o.Race {
		race = "-race "
	}
	return fmt.Sprintf("go test %s%s -run '%s' -rapid.seed=%d -rapid.checks=%d", race, p.Path, pattern, seed, o.Checks)
}
