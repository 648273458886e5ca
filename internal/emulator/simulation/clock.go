package simulation

import (
	"container/heap"
	"time"
)

// event is something that is done at an instant; of several at one instant the first that was added comes first.
type event struct {
	at     Time
	seq    uint64
	action func()
}

// queue is a heap of events.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// epoch is the system's time at the start of every play. It is no instant of the
// machine that plays.
var epoch = time.Unix(1_000_000_000, 0)

// Now is virtual time as the engines have it.
func (p *simulator) Now() time.Time { return epoch.Add(p.now) }

// AfterFunc has something done after a while, as engines ask for it.
func (p *simulator) AfterFunc(d time.Duration, do func()) { p.after(d, do) }

// after has something done after a while.
func (p *simulator) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.queue, event{p.now + max(0, d), p.seq, do})
}

// at has something done at an instant.
func (p *simulator) at(t Time, do func()) { p.after(t-p.now, do) }

// step does the next event.
func (p *simulator) step() {
	e := heap.Pop(&p.queue).(event)
	p.now = e.at
	e.action()
}
