package testfleet

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"pinedale/internal/standin/logcapture"
)

// ProgramVariable is the environment variable that names the program that [Main] runs in place of the tests.
const ProgramVariable = "PINEDALE_TEST_PROGRAM"

// Main is to be called by TestMain. It runs the tests or, in a process started by [Command], the program of that name.
// It does not return.
func Main(m *testing.M, programs map[string]func()) {
	if run, ok := programs[os.Getenv(ProgramVariable)]; ok {
		run()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Command returns a command that runs the test binary as the program that is registered with [Main] under this name.
func Command(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), ProgramVariable+"="+program)
	return cmd
}

// pipeTimeout bounds how long standard error is read after a process has exited, in case one of its child processes
// keeps the pipe open.
const pipeTimeout = 10 * time.Second

// Process is a running program.
type Process struct {
	// Log holds what the program has written to standard error.
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
	return startProcess(t, cmd, cmd.Start)
}

// StartProcessOnOneProcessor is like [StartProcess] for a program that may use only one processor, as on the platform.
func StartProcessOnOneProcessor(t testing.TB, cmd *exec.Cmd) *Process {
	t.Helper()
	return startProcess(t, cmd, func() error { return StartOnOneProcessor(cmd, 0) })
}

// startProcess starts a program by calling start.
func startProcess(t testing.TB, cmd *exec.Cmd, start func() error) *Process {
	t.Helper()
	p := &Process{t: t, cmd: cmd, exited: make(chan struct{})}
	cmd.Stderr = &p.Log
	cmd.WaitDelay = pipeTimeout
	if err := start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		p.exitErr = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has already exited
		<-p.exited
		if t.Failed() {
			t.Logf("log of %v:\n%s", cmd.Args, p.Log.String())
		}
	})
	return p
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process, and ends the test on an error.
func (p *Process) Signal(signal os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// Wait waits for the process to exit and returns the result of [exec.Cmd.Wait]. It ends the test after timeout.
func (p *Process) Wait(timeout time.Duration) error {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(timeout):
		p.t.Fatalf("process did not exit within %v", timeout)
		return nil
	}
}

// ExitCode returns the exit code of a process that [Process.Wait] has waited for.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }
