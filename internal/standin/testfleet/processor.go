package testfleet

import (
	"errors"
	"os/exec"
	"runtime"

	"golang.org/x/sys/unix"
)

// StartOnOneProcessor starts a process that may use only one processor, as on the platform: the one with this index
// among those that the caller may use, counted modulo their number.
func StartOnOneProcessor(cmd *exec.Cmd, index int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	one.Set(nthProcessor(&all, index%all.Count()))
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	err := cmd.Start() // the process inherits the thread's processor affinity
	return errors.Join(err, unix.SchedSetaffinity(0, &all))
}

// nthProcessor returns the number of a processor by its index in a set.
func nthProcessor(set *unix.CPUSet, index int) int {
	for processor := 0; ; processor++ {
		if !set.IsSet(processor) {
			continue
		}
		if index == 0 {
			return processor
		}
		index--
	}
}
