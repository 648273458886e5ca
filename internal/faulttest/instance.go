package faulttest

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"pinedale/internal/standin/ports"
)

// exitTimeout bounds the graceful shutdown of an instance, which completes the requests that it has accepted. Their
// deadlines are at most requestDeadline away.
const exitTimeout = 10 * time.Second

// instance is an instance of pinedale-proxy. Each restart gives it a new process.
type instance struct {
	name             string
	logFile          *os.File
	peerRelays       map[string]string // address of the relay to each other instance, by its name
	discoveryAddress string            // of the relay to its discovery service

	mu            sync.Mutex
	httpAddress   string // the addresses are host:port, of the current process
	peerAddress   string
	statusAddress string
	configFile    string
	program       string
	current       *process
	failures      []string // exits that the run did not cause
}

// process is one process of an instance.
type process struct {
	cmd          *exec.Cmd
	exited       chan struct{} // closed once the process has exited
	exitExpected bool          // guarded by the instance's mutex
}

// start starts a new process. Any earlier process must have exited, unless a fault duplicates the instance.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(i.program, "serve", "--config", i.configFile)
	cmd.Stdout, cmd.Stderr = i.logFile, i.logFile
	// The process must not outlive this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	started := &process{cmd: cmd, exited: make(chan struct{})}
	i.current = started
	go i.recordExit(started)
	return nil
}

// recordExit waits until a process has exited, and records the exit if the run did not cause it.
func (i *instance) recordExit(p *process) {
	defer close(p.exited)
	err := p.cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !p.exitExpected {
		i.failures = append(i.failures, fmt.Sprintf("%s exited unexpectedly: %v", i.name, err))
	}
}

// restart starts a new process once the current one has exited.
func (i *instance) restart() error {
	i.waitExit()
	return i.start()
}

// currentProcess returns the current process, or nil before the first start.
func (i *instance) currentProcess() *process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// currentStatusAddress returns the address at which the current process serves its status.
func (i *instance) currentStatusAddress() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.statusAddress
}

// unexpectedExits describes the exits that the run did not cause.
func (i *instance) unexpectedExits() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.failures)
}

// setProgram sets the program of processes that are started later.
func (i *instance) setProgram(path string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.program = path
}

// signal sends a signal to the current process.
func (i *instance) signal(signal syscall.Signal) { i.signalProcess(i.currentProcess(), signal) }

// signalProcess sends a signal to one process of the instance.
func (i *instance) signalProcess(p *process, signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.exitExpected = true
	}
	_ = p.cmd.Process.Signal(signal) // fails if the process has exited
}

// waitExit waits until the current process has exited, and kills it after exitTimeout.
func (i *instance) waitExit() {
	p := i.currentProcess()
	if p == nil {
		return
	}
	timer := time.NewTimer(exitTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		i.signalProcess(p, syscall.SIGKILL)
		<-p.exited
	}
}

// allocateAddresses chooses free addresses for the next process.
func (i *instance) allocateAddresses() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, address := range []*string{&i.httpAddress, &i.peerAddress, &i.statusAddress} {
		free, err := ports.Free()
		if err != nil {
			return err
		}
		*address = free
	}
	return nil
}
