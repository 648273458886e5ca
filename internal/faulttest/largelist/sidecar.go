package largelist

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pinedale/internal/ctxtime"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/testfleet"
)

const (
	readyInterval   = 20 * time.Millisecond
	observeInterval = 100 * time.Millisecond
)

// sidecar controls one process of pinedale.
type sidecar struct {
	address  string
	cmd      *exec.Cmd
	logFile  *os.File
	killOnce sync.Once

	maxDescriptors int   // written by observe only
	peakMemory     int64 // resident bytes; written by observe only
}

// startSidecar writes the configuration of a sidecar and starts it.
func startSidecar(o Options, index int, discovery *fakediscovery.Directory) (*sidecar, error) {
	address, err := ports.Free()
	if err != nil {
		return nil, err
	}
	config := testfleet.SidecarConfig{
		Listen:    address,
		Discovery: discovery.Address,
		Seed:      fmt.Sprintf("%x", o.Seed<<8+uint64(index)+1),
		Settings:  settings(index),
	}
	text, err := config.Marshal()
	if err != nil {
		return nil, err
	}
	base := filepath.Join(o.Dir, fmt.Sprintf("n%d", index))
	if err := os.WriteFile(base+".json", text, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(base + ".log")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(o.Program)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+base+".json")
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The process must not outlive this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := testfleet.StartOnOneProcessor(cmd, int(o.Seed)*o.Sidecars+index); err != nil {
		logFile.Close()
		return nil, err
	}
	return &sidecar{address: address, cmd: cmd, logFile: logFile}, nil
}

// settings returns the settings of a sidecar in a fleet of 300 sidecars, each of which has few requests.
func settings(position int) testfleet.SidecarSettings {
	s := testfleet.FullSettings(longestDeadline, dedupWindow)
	s.Position = position
	s.Zone = position % len(sites)
	s.Balancers = 300
	s.Contract.SlowStartTime = slowStartTime.Microseconds()
	s.Contract.DrainGrace = (2 * time.Second).Microseconds()
	s.Contract.PollInterval = (8 * time.Second).Microseconds()
	s.Limits.Probes = true
	s.Limits.KeepAlive = (15 * time.Second).Microseconds()
	s.Limits.DialTimeout = (250 * time.Millisecond).Microseconds()
	s.Reporting = &testfleet.Reporting{Mode: testfleet.ReportingByProbe, Fields: []string{"pending"}}
	s.Prices = &testfleet.Prices{Probe: 0.05}
	return s
}

func (s *sidecar) waitReady(ctx context.Context) error {
	for !testfleet.IsReady(s.address) {
		if !ctxtime.Sleep(ctx, readyInterval) {
			return fmt.Errorf("sidecar at %s is not ready: %w", s.address, ctx.Err())
		}
	}
	return nil
}

// throttle stops and continues the process in turn until ctx is done, and leaves it running.
func (s *sidecar) throttle(ctx context.Context, t Throttle) {
	if t.Stopped == 0 {
		return
	}
	defer s.signal(syscall.SIGCONT)
	for ctx.Err() == nil {
		s.signal(syscall.SIGCONT)
		time.Sleep(t.Running)
		s.signal(syscall.SIGSTOP)
		time.Sleep(t.Stopped)
	}
}

// signal sends a signal to the process. The error of a process that has exited does not matter.
func (s *sidecar) signal(signal syscall.Signal) { _ = s.cmd.Process.Signal(signal) }

// observe records the highest number of open descriptors and the peak memory until ctx is done.
func (s *sidecar) observe(ctx context.Context) {
	directory := fmt.Sprintf("/proc/%d/", s.cmd.Process.Pid)
	for ctxtime.Sleep(ctx, observeInterval) {
		if entries, err := os.ReadDir(directory + "fd"); err == nil {
			s.maxDescriptors = max(s.maxDescriptors, len(entries))
		}
		if status, err := os.ReadFile(directory + "status"); err == nil {
			s.peakMemory = max(s.peakMemory, testfleet.PeakResidentBytes(string(status)))
		}
	}
}

// kill kills the process and waits until it has exited.
func (s *sidecar) kill() {
	s.killOnce.Do(func() {
		s.signal(syscall.SIGKILL)
		_ = s.cmd.Wait() // fails, since the process was killed
		s.logFile.Close()
	})
}

// processorTime returns the processor time that the process used. The process must have exited.
func (s *sidecar) processorTime() time.Duration {
	return s.cmd.ProcessState.UserTime() + s.cmd.ProcessState.SystemTime()
}
