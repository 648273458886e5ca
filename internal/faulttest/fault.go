package faulttest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"pinedale/internal/ctxtime"
	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/relay"
	"pinedale/internal/faulttest/schedule"
)

// faultState is the state of the faults in progress, by the index of the fault in the schedule.
type faultState struct {
	mu               sync.Mutex
	activePathFaults map[int]schedule.Fault
	suspended        map[int]*process // first process of the instance, for faults of kind DuplicateInstance
}

// injectFaults injects all faults of the schedule and returns once they have ended.
func (r *testRun) injectFaults(ctx context.Context) {
	var faults sync.WaitGroup
	defer faults.Wait()
	for index, fault := range r.options.Schedule.Faults {
		faults.Go(func() { r.injectFault(ctx, index, &fault) })
	}
}

// injectFault injects one fault. If that fails, the run continues, and the failure is recorded with the unexpected
// exits, so that the run has a finding.
func (r *testRun) injectFault(ctx context.Context, index int, fault *schedule.Fault) {
	if !ctxtime.Sleep(ctx, r.untilTime(fault.StartTime())) {
		return
	}
	err := r.beginFault(index, fault)
	if fault.Kind == schedule.DuplicateInstance {
		ctxtime.Sleep(ctx, r.untilTime(fault.StartTime()+time.Duration(fault.Duration)/2))
		r.signalSuspended(index, fault, syscall.SIGCONT)
	}
	ctxtime.Sleep(ctx, r.untilTime(fault.EndTime())) // if the run is cancelled, the fault is ended early
	err = errors.Join(err, r.endFault(index, fault))
	if err == nil {
		return
	}
	r.options.Log.Error("fault injection failed", "fault", fault.String(), "err", err)
	r.recorder.record(func(h *history.History) {
		h.UnexpectedExits = append(h.UnexpectedExits, fmt.Sprintf("fault injection at %s failed: %v", fault.Target, err))
	})
}

func (r *testRun) beginFault(index int, fault *schedule.Fault) error {
	switch fault.Kind {
	case schedule.Kill:
		r.byName[fault.Target].signal(syscall.SIGKILL)
	case schedule.Terminate, schedule.Upgrade:
		r.byName[fault.Target].signal(syscall.SIGTERM)
	case schedule.Suspend:
		r.byName[fault.Target].signal(syscall.SIGSTOP)
	case schedule.DuplicateInstance:
		return r.startDuplicate(index, r.byName[fault.Target])
	case schedule.StopServer:
		return r.servers.stopServer(fault.Target)
	case schedule.DrainServer:
		r.startDrain(fault.Target)
	case schedule.ResetConnections:
		r.network.resetConnections(faultEndpoints(fault))
	default:
		r.beginPathFault(index, fault)
	}
	return nil
}

func (r *testRun) endFault(index int, fault *schedule.Fault) error {
	switch fault.Kind {
	case schedule.Kill, schedule.Terminate:
		return r.byName[fault.Target].restart()
	case schedule.Upgrade:
		if r.options.UpgradeProgram != "" {
			r.byName[fault.Target].setProgram(r.options.UpgradeProgram)
		}
		return r.byName[fault.Target].restart()
	case schedule.Suspend:
		r.byName[fault.Target].signal(syscall.SIGCONT)
	case schedule.DuplicateInstance:
		first := r.signalSuspended(index, fault, syscall.SIGKILL)
		<-first.exited
	case schedule.StopServer:
		return r.servers.startServer(fault.Target)
	case schedule.DrainServer:
		return r.endDrain(fault.Target)
	case schedule.ResetConnections:
	default:
		r.endPathFault(index)
	}
	return nil
}

// startDuplicate suspends an instance's process and starts a second process with the same instance name. New
// connections to the instance lead to the second process; established ones stay with the first.
func (r *testRun) startDuplicate(index int, i *instance) error {
	first := i.currentProcess()
	i.signalProcess(first, syscall.SIGSTOP)
	r.faults.mu.Lock()
	r.faults.suspended[index] = first
	r.faults.mu.Unlock()
	if err := i.allocateAddresses(); err != nil {
		return err
	}
	if err := r.writeConfig(i); err != nil {
		return err
	}
	if err := i.start(); err != nil {
		return err
	}
	return r.network.redirect(i)
}

// signalSuspended sends a signal to the process that a fault of kind DuplicateInstance has suspended, and returns it.
func (r *testRun) signalSuspended(index int, fault *schedule.Fault, signal syscall.Signal) *process {
	r.faults.mu.Lock()
	first := r.faults.suspended[index]
	r.faults.mu.Unlock()
	r.byName[fault.Target].signalProcess(first, signal)
	return first
}

// beginPathFault activates a fault on the paths that it affects.
func (r *testRun) beginPathFault(index int, fault *schedule.Fault) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	r.faults.activePathFaults[index] = *fault
	r.updateConditions()
}

// endPathFault deactivates a fault on the paths that it affects.
func (r *testRun) endPathFault(index int) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	delete(r.faults.activePathFaults, index)
	r.updateConditions()
}

// updateConditions sets the conditions of all paths according to the active faults. The caller holds faults.mu.
func (r *testRun) updateConditions() {
	for ends, path := range r.network.paths {
		var conditions relay.Conditions
		for _, fault := range r.faults.activePathFaults {
			if affects(&fault, ends) {
				addConditions(&conditions, &fault)
			}
		}
		path.SetConditions(conditions)
	}
}

// affects reports whether a fault affects a path.
func affects(fault *schedule.Fault, path endpoints) bool {
	ends := faultEndpoints(fault)
	return ends == path || fault.Bidirectional && ends.reverse() == path
}

// addConditions adds the conditions of a fault to those of other faults. The most severe fault of each kind takes
// precedence.
func addConditions(conditions *relay.Conditions, fault *schedule.Fault) {
	switch fault.Kind {
	case schedule.Partition:
		conditions.Partitioned = true
	case schedule.Loss:
		conditions.Loss = max(conditions.Loss, fault.Probability)
	case schedule.Duplicate:
		conditions.Duplicate = max(conditions.Duplicate, fault.Probability)
	case schedule.Reorder:
		conditions.Reorder = max(conditions.Reorder, fault.Probability)
	case schedule.Corrupt:
		conditions.Corrupt = max(conditions.Corrupt, fault.Probability)
	case schedule.Latency:
		conditions.Delay = max(conditions.Delay, time.Duration(fault.Delay))
	}
}
