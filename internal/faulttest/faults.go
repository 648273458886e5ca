package faulttest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/relay"
	"pinedale/internal/faulttest/schedule"
)

// faults is the state of the faults that are being played, by their numbers in the schedule.
type faults struct {
	mu        sync.Mutex
	active    map[int]schedule.Fault // of paths
	suspended map[int]*process       // the first of two processes of one name
}

// playFaults begins and ends the faults at their instants.
func (r *rig) playFaults(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for n, f := range r.options.Schedule.Faults {
		all.Go(func() { r.playFault(ctx, n, f) })
	}
}

// playFault begins and ends one fault. A fault that cannot be played is recorded as an end of its process.
func (r *rig) playFault(ctx context.Context, n int, f schedule.Fault) {
	if !sleep(ctx, r.until(f.StartTime())) {
		return
	}
	err := r.beginFault(n, f)
	if f.Kind == schedule.DuplicateInstance {
		sleep(ctx, r.until(time.Duration(f.Start+f.Duration/2)))
		r.signalSuspended(n, f, syscall.SIGCONT) // the first of the two goes on
	}
	sleep(ctx, r.until(f.EndTime()))
	if err = errors.Join(err, r.endFault(n, f)); err != nil {
		r.options.Log.Error("fault not played", "fault", f.String(), "err", err)
		r.recorder.record(func(h *history.History) {
			h.UnexpectedExits = append(h.UnexpectedExits, fmt.Sprintf("%s did not come back: %v", f.Target, err))
		})
	}
}

// until is how long it is until an instant of the history's clock.
func (r *rig) until(at time.Duration) time.Duration { return time.Until(r.began.Add(at)) }

// beginFault begins the nth fault.
func (r *rig) beginFault(n int, f schedule.Fault) error {
	switch f.Kind {
	case schedule.Kill:
		r.byName[f.Target].signal(syscall.SIGKILL)
	case schedule.Terminate, schedule.Upgrade:
		r.byName[f.Target].signal(syscall.SIGTERM)
	case schedule.Suspend:
		r.byName[f.Target].signal(syscall.SIGSTOP)
	case schedule.DuplicateInstance:
		return r.replaceSuspended(n, r.byName[f.Target])
	case schedule.StopServer:
		return r.requestServers("stop " + f.Target)
	case schedule.DrainServer:
		r.startDrain(f.Target)
	case schedule.ResetConnections:
		r.network.reset(f.Target, remoteEnd(&f))
	default:
		r.applyPathFault(n, &f)
	}
	return nil
}

// endFault ends the nth fault.
func (r *rig) endFault(n int, f schedule.Fault) error {
	switch f.Kind {
	case schedule.Upgrade:
		if r.options.Next != "" {
			r.byName[f.Target].mu.Lock()
			r.byName[f.Target].program = r.options.Next
			r.byName[f.Target].mu.Unlock()
		}
		return r.byName[f.Target].restart()
	case schedule.Kill, schedule.Terminate:
		return r.byName[f.Target].restart()
	case schedule.Suspend:
		r.byName[f.Target].signal(syscall.SIGCONT)
	case schedule.DuplicateInstance:
		<-r.signalSuspended(n, f, syscall.SIGKILL).ended
	case schedule.StopServer:
		return r.requestServers("start " + f.Target)
	case schedule.DrainServer:
		return r.endDrain(f.Target)
	case schedule.ResetConnections:
	default:
		r.applyPathFault(n, nil)
	}
	return nil
}

// replaceSuspended stops an instance's process and starts another of its name, to which all paths lead
// from now on. What stands between the first and others goes on standing.
func (r *rig) replaceSuspended(n int, i *instance) error {
	first := i.process()
	i.signalProcess(first, syscall.SIGSTOP)
	r.faults.mu.Lock()
	r.faults.suspended[n] = first
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

// signalSuspended sends the first of two processes of one name a signal, and returns it.
func (r *rig) signalSuspended(n int, f schedule.Fault, s syscall.Signal) *process {
	r.faults.mu.Lock()
	first := r.faults.suspended[n]
	r.faults.mu.Unlock()
	r.byName[f.Target].signalProcess(first, s)
	return first
}

// applyPathFault has a fault of a path begin, or end where f is nil, and sets each path to what all
// faults that hold come to.
func (r *rig) applyPathFault(n int, f *schedule.Fault) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	if f == nil {
		delete(r.faults.active, n)
	} else {
		r.faults.active[n] = *f
	}
	for k, direction := range r.network.paths {
		var s relay.Conditions
		for _, x := range r.faults.active {
			if affects(&x, k) {
				addConditions(&s, &x)
			}
		}
		direction.SetConditions(s)
	}
}

// affects says whether a fault is of a path.
func affects(f *schedule.Fault, k path) bool {
	to := remoteEnd(f)
	forth := f.Target == k.from && to == k.to
	back := f.Target == k.to && to == k.from
	return forth || f.Bidirectional && back
}

// addConditions adds a fault to what happens on a path. Of two faults of a kind the heavier one counts.
func addConditions(s *relay.Conditions, f *schedule.Fault) {
	switch f.Kind {
	case schedule.Partition:
		s.Partitioned = true
	case schedule.Loss:
		s.Loss = max(s.Loss, f.Probability)
	case schedule.Duplicate:
		s.Duplicate = max(s.Duplicate, f.Probability)
	case schedule.Reorder:
		s.Reorder = max(s.Reorder, f.Probability)
	case schedule.Corrupt:
		s.Corrupt = max(s.Corrupt, f.Probability)
	case schedule.Latency:
		s.Delay = max(s.Delay, time.Duration(f.Delay))
	}
}
