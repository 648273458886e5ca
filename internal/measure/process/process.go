// Package process runs the measured code in a separate process, so that its CPU time and memory do not include those of
// the measuring program. The measuring program starts its own executable again for this.
package process

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"
)

// The environment of a started process.
const (
	envKind    = "PINEDALE_MEASURE_KIND"
	envArgs    = "PINEDALE_MEASURE_ARGS"
	envProfile = "PINEDALE_MEASURE_PROFILE"
)

// Serve starts the measured code. The line that it returns is sent to the measuring process, such as the address to
// connect to.
type Serve func(args []string) (line string, stop func(), err error)

// Kinds are the functions that started processes run, by the name of the kind of process.
type Kinds map[string]Serve

// Usage is the CPU time and memory of a process.
type Usage struct {
	CPU    time.Duration // since its start
	Memory int64         // bytes of heap and stacks after a collection
}

// Main runs the kind of process that this one was started as, until its standard input ends. If this process was not
// started by Start, Main does nothing and returns false.
func Main(kinds Kinds) (started bool, err error) {
	kind := os.Getenv(envKind)
	if kind == "" {
		return false, nil
	}
	serve := kinds[kind]
	if serve == nil {
		return true, fmt.Errorf("unknown kind of process %q", kind)
	}
	stopProfile, err := startProfile(os.Getenv(envProfile))
	if err != nil {
		return true, err
	}
	defer stopProfile()
	line, stop, err := serve(strings.Split(os.Getenv(envArgs), "\n"))
	if err != nil {
		return true, err
	}
	defer stop()
	fmt.Println(line)
	return true, answerUsage(os.Stdin, os.Stdout)
}

// startProfile writes a CPU profile into a file until stop is called. Without a path it does nothing.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		file.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}, nil
}

// answerUsage writes this process's usage for each line that it reads from in.
func answerUsage(in io.Reader, out io.Writer) error {
	requests := bufio.NewScanner(in)
	for requests.Scan() {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		cpu, err := CPUTime()
		if err != nil {
			return err
		}
		fmt.Fprintln(out, cpu.Nanoseconds(), memory.HeapAlloc+memory.StackInuse)
	}
	return nil
}

// CPUTime returns the CPU time of this process so far.
func CPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// Process is a started process.
type Process struct {
	Line string // returned by Serve

	command *exec.Cmd
	stdin   io.WriteCloser
	stdout  *bufio.Scanner
}

// Start starts this executable again as a process of a kind, and waits until it serves. If profile is not empty, the
// process writes a CPU profile into that file.
func Start(kind, profile string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{command: exec.Command(self)}
	p.command.Env = append(os.Environ(),
		envKind+"="+kind,
		envArgs+"="+strings.Join(args, "\n"),
		envProfile+"="+profile)
	p.command.Stderr = os.Stderr
	if p.stdin, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	p.stdout = bufio.NewScanner(stdout)
	if !p.stdout.Scan() {
		p.Stop()
		return nil, fmt.Errorf("the process of kind %q did not start", kind)
	}
	p.Line = p.stdout.Text()
	return p, nil
}

// Usage returns the CPU time that the process has used since its start, and its memory.
func (p *Process) Usage() (usage Usage, err error) {
	if _, err := fmt.Fprintln(p.stdin); err != nil {
		return usage, err
	}
	if !p.stdout.Scan() {
		return usage, errors.New("the measured process has ended")
	}
	_, err = fmt.Sscan(p.stdout.Text(), &usage.CPU, &usage.Memory)
	return usage, err
}

// Stop ends the process and waits for it.
func (p *Process) Stop() {
	p.stdin.Close()
	_ = p.command.Wait() // the exit status is not needed
}
