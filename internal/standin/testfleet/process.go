package testfleet

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"pinedale/internal/standin/logcapture"
)

// ProgramVariable is the environment variable that has [Main] run a program in place of the tests.
const ProgramVariable = "PINEDALE_TEST_PROGRAM"

// Main is what TestMain calls: it runs the tests or, in a process of [Command], the program of that name. It does
// not return.
func Main(m *testing.M, programs map[string]func()) {
	if run, ok := programs[os.Getenv(ProgramVariable)]; ok {
		run()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Command returns a command that runs the test binary as the program that [Main] has under this name.
func Command(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), ProgramVariable+"="+program)
	return cmd
}

// pipeTimeout is how long the standard error of a process is read after its end, where a process that it started
// itself keeps it open.
const pipeTimeout = 10 * time.Second

// Process is a running program.
type Process struct {
	// Log has what the program has written to its standard error.
	Log logcapture.Buffer

	t       testing.TB
	cmd     *exec.Cmd
	exited  chan struct{} // closed once exitErr is set
	exitErr error
}

// StartProcess starts a program and reads its standard error. When the test ends the program is killed if it still
// runs, and its log is printed if the test has failed.
func StartProcess(t testing.TB, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{t: t, cmd: cmd, exited: make(chan struct{})}
	cmd.Stderr = &p.Log
	cmd.WaitDelay = pipeTimeout
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		p.exitErr = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended by itself
		<-p.exited
		if t.Failed() {
			t.Logf("log of %v:\n%s", cmd.Args, p.Log.String())
		}
	})
	return p
}

// PID returns the number of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(signal os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// Wait waits for the process to end and returns what [exec.Cmd.Wait] did. It ends the test after timeout.
func (p *Process) Wait(timeout time.Duration) error {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(timeout):
		p.t.Fatalf("the process still runs after %v", timeout)
		return nil
	}
}

// ExitCode returns the exit code of a process that [Process.Wait] has waited for.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }
