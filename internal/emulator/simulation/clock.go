package simulation

import (
	"container/heap"
	"time"
)

// event is an action scheduled for an instant. Events of the same instant run in the order in which they were
// scheduled.
type event struct {
	at       Time
	sequence uint64
	action   func()
}

// eventQueue is a heap of events. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q *eventQueue) Pop() any {
	events := *q
	last := events[len(events)-1]
	events[len(events)-1] = event{} // releases the action
	*q = events[:len(events)-1]
	return last
}

// epoch is the wall clock time at the start of every run. It is constant, so that results do not depend on real time.
var epoch = time.Unix(1_000_000_000, 0)

// Now returns virtual time as the clock of the engines.
func (sim *simulator) Now() time.Time { return epoch.Add(sim.now) }

// AfterFunc schedules an action as the clock of the engines.
func (sim *simulator) AfterFunc(delay time.Duration, action func()) { sim.after(delay, action) }

// after schedules an action. A negative delay counts as 0.
func (sim *simulator) after(delay time.Duration, action func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{at: sim.now + max(0, delay), sequence: sim.sequence, action: action})
}

// at schedules an action for an instant.
func (sim *simulator) at(t Time, action func()) { sim.after(t-sim.now, action) }

// step runs the next event.
func (sim *simulator) step() {
	next := heap.Pop(&sim.queue).(event)
	sim.now = next.at
	next.action()
}
