// Package process runs what is measured in a process of its own, whose CPU time and
// memory are its alone: the measuring program starts itself once more.
package process

import (
	"bufio"
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

// Serve starts what is measured and returns what the measuring side is to know of it,
// such as its address, in one line.
type Serve func(args []string) (line string, stop func(), err error)

// Main serves what this process was started for, if it was, until its standard input
// ends. Kinds are what it may be.
func Main(kinds map[string]Serve) (did bool, err error) {
	kind := os.Getenv(envKind)
	if kind == "" {
		return false, nil
	}
	serve := kinds[kind]
	if serve == nil {
		return true, fmt.Errorf("nothing of kind %q can be measured", kind)
	}
	if path := os.Getenv(envProfile); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return true, err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return true, err
		}
		defer pprof.StopCPUProfile()
	}
	line, stop, err := serve(strings.Split(os.Getenv(envArgs), "\n"))
	if err != nil {
		return true, err
	}
	defer stop()
	fmt.Println(line)
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() { // each line asks for the process's figures
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			return true, err
		}
		fmt.Println(u.Utime.Nano()+u.Stime.Nano(), m.HeapAlloc+m.StackInuse)
	}
	return true, nil
}

// Process is a started process.
type Process struct {
	Line string // that it said when it was ready

	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

// Start starts this program once more, for one kind. profile is a file for a CPU
// profile, "" for none.
func Start(kind, profile string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(self)}
	p.cmd.Env = append(os.Environ(), envKind+"="+kind, envArgs+"="+strings.Join(args, "\n"), envProfile+"="+profile)
	p.cmd.Stderr = os.Stderr
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.out = bufio.NewScanner(out)
	if !p.out.Scan() {
		p.Stop()
		return nil, fmt.Errorf("the process for %q did not start", kind)
	}
	p.Line = p.out.Text()
	return p, nil
}

// Figures are the process's CPU time so far, and its heap and stacks in bytes after a
// collection.
func (p *Process) Figures() (cpu time.Duration, memory int64, err error) {
	if _, err = fmt.Fprintln(p.in); err != nil {
		return
	}
	if !p.out.Scan() {
		return 0, 0, fmt.Errorf("the process has ended")
	}
	_, err = fmt.Sscan(p.out.Text(), &cpu, &memory)
	return
}

// Stop ends the process.
func (p *Process) Stop() {
	p.in.Close()
	_ = p.cmd.Wait() // nothing more is asked of it
}
