package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Conditions are the faults of one direction of a path. The probabilities apply to datagrams. Streams are affected only
// by Partitioned and Delay.
type Conditions struct {
	Partitioned bool          // datagrams are lost, streams stall
	Loss        float64       // probability that a datagram is lost
	Duplicate   float64       // probability that a datagram is delivered twice
	Reorder     float64       // probability that a datagram is held back until the next one has been delivered
	Corrupt     float64       // probability that one bit of a datagram is flipped
	Delay       time.Duration // added to each datagram and each chunk of a stream
}

// Path is one direction of the traffic between two processes. Several relays may share a path.
type Path struct {
	mu         sync.Mutex
	conditions Conditions
	changed    *sync.Cond // signals a change of conditions or closed
	rng        *rand.Rand
	closed     bool
	counts     Counts
	arrivals   []time.Time
}

// Counts holds the numbers of datagrams and chunks of streams that a path has received.
type Counts struct {
	Received int
	Dropped  int // of those received
}

// fateSequence is the random sequence of a path's seed from which fates are drawn.
const fateSequence = 1

// NewPath returns a path without faults. The seed determines which datagrams later conditions affect.
func NewPath(seed uint64) *Path {
	path := &Path{rng: rand.New(rand.NewPCG(seed, fateSequence))}
	path.changed = sync.NewCond(&path.mu)
	return path
}

// SetConditions replaces the path's conditions.
func (p *Path) SetConditions(conditions Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions = conditions
	p.changed.Broadcast()
}

// Counts returns the counts so far.
func (p *Path) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Arrivals returns the times at which chunks of streams were received from their sender, in order, whether or not they
// were delivered.
func (p *Path) Arrivals() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.arrivals)
}

// recordArrival records that a chunk of a stream was received.
func (p *Path) recordArrival() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, time.Now())
}

// close ends all waiting for the end of a partition.
func (p *Path) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.changed.Broadcast()
}

// delayStream blocks while the path is partitioned, and then for the path's delay.
func (p *Path) delayStream() {
	p.mu.Lock()
	for p.conditions.Partitioned && !p.closed {
		p.changed.Wait()
	}
	p.counts.Received++
	delay := p.conditions.Delay
	p.mu.Unlock()
	time.Sleep(delay)
}

// datagramFate is what happens to one datagram.
type datagramFate struct {
	dropped    bool
	duplicated bool
	reordered  bool // held back until the next datagram has been delivered
	corrupted  bool
	corruptBit int // selects the byte and the bit that is flipped
	delay      time.Duration
}

// corruptBits is the number of values of datagramFate.corruptBit.
const corruptBits = 1 << 16

// corrupt flips the bit of the datagram that the fate selects.
func (f datagramFate) corrupt(datagram []byte) {
	if f.corrupted && len(datagram) > 0 {
		datagram[f.corruptBit%len(datagram)] ^= 1 << (f.corruptBit % 8)
	}
}

// drawFate draws the fate of a datagram. The order of the draws determines the fates of a seed and must not change.
func (p *Path) drawFate() datagramFate {
	p.mu.Lock()
	defer p.mu.Unlock()
	fate := datagramFate{delay: p.conditions.Delay}
	fate.dropped = p.conditions.Partitioned || p.rng.Float64() < p.conditions.Loss
	fate.duplicated = p.rng.Float64() < p.conditions.Duplicate
	fate.reordered = p.rng.Float64() < p.conditions.Reorder
	if p.rng.Float64() < p.conditions.Corrupt {
		fate.corrupted = true
		fate.corruptBit = p.rng.IntN(corruptBits)
	}
	p.counts.Received++
	if fate.dropped {
		p.counts.Dropped++
	}
	return fate
}
