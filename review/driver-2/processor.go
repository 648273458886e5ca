package main

import (
	"math/bits"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// affinity is a set of processors, as in sched_setaffinity(2).
type affinity [16]uint64

// call calls sched_getaffinity or sched_setaffinity for the calling thread.
func (a *affinity) call(number uintptr) error {
	_, _, errno := syscall.RawSyscall(number, 0, unsafe.Sizeof(*a), uintptr(unsafe.Pointer(a)))
	if errno != 0 {
		return errno
	}
	return nil
}

// count returns the number of processors.
func (a *affinity) count() int {
	n := 0
	for _, word := range a {
		n += bits.OnesCount64(word)
	}
	return n
}

// lowest returns the first processor, as a bit of a word.
func (a *affinity) lowest() (word int, bit uint64) {
	for i, w := range a {
		if w != 0 {
			return i, w & -w
		}
	}
	return 0, 0
}

// startOnOneProcessor starts a process that may use one processor only, as each sidecar on the platform ("The processes
// run on one core"). Where the system does not let it, the process may use all.
func startOnOneProcessor(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var allowed, one affinity
	if err := allowed.call(syscall.SYS_SCHED_GETAFFINITY); err != nil || allowed.count() == 0 {
		return cmd.Start()
	}
	all := allowed
	// Cases that run beside each other take different processors.
	for skip := os.Getpid() % all.count(); ; skip-- {
		i, bit := all.lowest()
		if skip == 0 {
			one[i] = bit
			break
		}
		all[i] &^= bit
	}
	if err := one.call(syscall.SYS_SCHED_SETAFFINITY); err != nil {
		return cmd.Start()
	}
	err := cmd.Start() // the process inherits the thread's processors
	if restored := allowed.call(syscall.SYS_SCHED_SETAFFINITY); err == nil {
		err = restored
	}
	return err
}
