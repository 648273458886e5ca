// Package process runs what is measured in a process of its own, whose CPU time and memory are its alone: the
// measuring program starts itself once more.
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

// Serve starts what is measured. It returns in one line what the measuring process must know of it, such as its
// address.
type Serve func(args []string) (line string, stop func(), err error)

// Kinds are what a process may be started for, by name.
type Kinds map[string]Serve

// Usage is what a process has used.
type Usage struct {
	CPU    time.Duration // since its start
	Memory int64         // bytes of heap and stacks after a collection
}

// Main serves what this process was started for until its standard input ends. It reports whether it was started for
// anything.
func Main(kinds Kinds) (started bool, err error) {
	kind := os.Getenv(envKind)
	if kind == "" {
		return false, nil
	}
	serve := kinds[kind]
	if serve == nil {
		return true, fmt.Errorf("nothing of kind %q can be measured", kind)
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

// answerUsage writes this process's usage for each line that it reads.
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
	Line string // that Serve returned

	command *exec.Cmd
	stdin   io.WriteCloser
	stdout  *bufio.Scanner
}

// Start starts this program once more, for one kind, and waits until that serves. A CPU profile is written into the
// file profile, unless it is empty.
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
		return nil, fmt.Errorf("the process for %q did not start", kind)
	}
	p.Line = p.stdout.Text()
	return p, nil
}

// Usage returns what the process has used.
func (p *Process) Usage() (usage Usage, err error) {
	if _, err := fmt.Fprintln(p.stdin); err != nil {
		return usage, err
	}
	if !p.stdout.Scan() {
		return usage, errors.New("the process has ended")
	}
	_, err = fmt.Sscan(p.stdout.Text(), &usage.CPU, &usage.Memory)
	return usage, err
}

// Stop ends the process and waits for it.
func (p *Process) Stop() {
	p.stdin.Close()
	_ = p.command.Wait() // its result is not needed any more
}
