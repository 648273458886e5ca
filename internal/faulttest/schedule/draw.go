package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pinedale/internal/tomlfile"
)

// The random sequences of a seed, one for each group of draws.
const (
	basicSequence    = 7  // faults that drawBasicFault draws
	extendedSequence = 13 // duplicate instances and drains
)

const (
	minBasicFaults = 3
	maxBasicFaults = 8
	maxDrains      = 2

	minLatency = 5 * time.Millisecond
	maxLatency = 104 * time.Millisecond

	probabilitySteps = 10 // probabilities are drawn in tenths, from 0.1 to 0.9
)

// maxServerPathFault bounds the duration of a drawn fault that delays requests on their way to a server. It is well
// under the second for which servers store a key in the class whose group is all servers: a request that the network
// delays for longer may be executed twice, which no instance can prevent. See docs/design/replicated-state.md.
const maxServerPathFault = tomlfile.Duration(500 * time.Millisecond)

// Draw returns the schedule of a seed: three to eight basic faults, which may overlap, and possibly a duplicate
// instance and drains. The same arguments give the same schedule in all versions of this program.
func Draw(seed uint64, instances, servers int, loadDuration time.Duration) *Schedule {
	schedule := &Schedule{
		Version:      currentVersion,
		Name:         fmt.Sprint("seed ", seed),
		Seed:         seed,
		LoadDuration: tomlfile.Duration(loadDuration),
		Instances:    instances,
		Servers:      servers,
		Rate:         defaultRate,
		Agreement:    defaultAgreement,
	}
	generator := &generator{
		schedule: schedule,
		rng:      rand.New(rand.NewPCG(seed, basicSequence)),
		reserved: map[string][]Fault{},
	}
	for range minBasicFaults + generator.rng.IntN(maxBasicFaults-minBasicFaults+1) {
		generator.drawBasicFault()
	}
	// Kinds that were added later are drawn from a sequence of their own, so that each seed keeps its basic faults.
	generator.rng = rand.New(rand.NewPCG(seed, extendedSequence))
	generator.drawDuplicateInstance()
	for range generator.rng.IntN(maxDrains + 1) {
		generator.drawDrain()
	}
	slices.SortStableFunc(schedule.Faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return schedule
}

// generator draws the faults of a schedule. The order in which it consumes random numbers determines the schedule of
// a seed: no draw may be added, removed or moved.
type generator struct {
	schedule *Schedule
	rng      *rand.Rand
	reserved map[string][]Fault // faults of processes, by process name
}

// add appends a fault to the schedule.
func (g *generator) add(fault Fault) { g.schedule.Faults = append(g.schedule.Faults, fault) }

// drawInstance draws the name of an instance.
func (g *generator) drawInstance() string { return InstanceName(g.rng.IntN(g.schedule.Instances)) }

// drawServer draws the name of a server.
func (g *generator) drawServer() string { return ServerName(g.rng.IntN(g.schedule.Servers)) }

// drawBool draws true with probability 1/2.
func (g *generator) drawBool() bool { return g.rng.IntN(2) == 0 }

// drawKind draws one of several kinds with equal probability.
func (g *generator) drawKind(kinds ...Kind) Kind { return kinds[g.rng.IntN(len(kinds))] }

// drawFraction draws a duration between two fractions of the duration of the load.
func (g *generator) drawFraction(lower, upper float64) tomlfile.Duration {
	fraction := lower + (upper-lower)*g.rng.Float64()
	return tomlfile.Duration(time.Duration(float64(g.schedule.LoadDuration) * fraction).Round(time.Millisecond))
}

// drawEarlyStart draws the start of a fault that lasts a third of the load, within the load's first half.
func (g *generator) drawEarlyStart() tomlfile.Duration { return g.drawFraction(0.1, 0.5) }

// thirdOfLoad returns a third of the load's duration.
func (g *generator) thirdOfLoad() tomlfile.Duration {
	return tomlfile.Duration((time.Duration(g.schedule.LoadDuration) / 3).Round(time.Millisecond))
}

// reserve records a fault of a process and returns true, or returns false if the fault is too close to another fault of
// that process. A process has at most one fault at a time, so that none is killed while it is suspended.
func (g *generator) reserve(fault Fault) bool {
	gap := time.Duration(g.schedule.LoadDuration) / 20
	tooClose := func(other Fault) bool {
		return fault.StartTime() < other.EndTime()+gap && other.StartTime() < fault.EndTime()+gap
	}
	if slices.ContainsFunc(g.reserved[fault.Target], tooClose) {
		return false
	}
	g.reserved[fault.Target] = append(g.reserved[fault.Target], fault)
	return true
}

// drawBasicFault draws a fault and adds it, unless it affects a process that already has a fault at that time.
func (g *generator) drawBasicFault() {
	fault := Fault{
		Start:    g.drawFraction(0.05, 0.65),
		Duration: g.drawFraction(0.03, 0.3),
		Target:   g.drawInstance(),
	}
	g.drawKindAndPath(&fault)
	if fault.Kind.affectsProcess() {
		if !g.reserve(fault) {
			return
		}
	} else if fault.Destination == "" {
		fault.Destination = g.drawOtherInstance(fault.Target)
	}
	if fault.Kind.hasProbability() {
		fault.Probability = float64(1+g.rng.IntN(probabilitySteps-1)) / probabilitySteps
	}
	if fault.Kind == Latency {
		fault.Delay = g.drawLatency()
	}
	if fault.Kind == ResetConnections {
		fault.Duration = 0
	}
	g.add(fault)
}

// drawKindAndPath draws the kind of a fault, and sets the ends of its path unless that connects two instances. The
// weights of the kinds are sixteenths.
func (g *generator) drawKindAndPath(fault *Fault) {
	switch n := g.rng.IntN(16); {
	case n < 4:
		fault.Kind = Kill
	case n < 5:
		fault.Kind = Terminate
	case n < 7:
		fault.Kind = Suspend
	case n < 8:
		fault.Kind = StopServer
		fault.Target = g.drawServer()
	case n < 12: // between two instances
		fault.Kind = Partition
		fault.Bidirectional = g.drawBool()
	case n < 13: // between clients and an instance
		fault.Kind = Partition
		fault.Destination = fault.Target
		fault.Target = Clients
		fault.Bidirectional = g.drawBool()
	case n < 14: // between an instance and a server
		fault.Kind = g.drawKind(Partition, Latency, ResetConnections)
		fault.Destination = g.drawServer()
		fault.Bidirectional = g.drawBool()
		fault.Duration = min(fault.Duration, maxServerPathFault)
	default: // between two instances
		fault.Kind = g.drawKind(Loss, Duplicate, Reorder, Corrupt, Latency)
		fault.Bidirectional = true
	}
}

// drawOtherInstance draws the name of an instance other than the given one.
func (g *generator) drawOtherInstance(name string) string {
	for {
		if other := g.drawInstance(); other != name {
			return other
		}
	}
}

// drawLatency draws the delay of a fault of kind Latency, a multiple of 1 ms.
func (g *generator) drawLatency() tomlfile.Duration {
	choices := int((maxLatency-minLatency)/time.Millisecond) + 1
	return tomlfile.Duration(minLatency + time.Duration(g.rng.IntN(choices))*time.Millisecond)
}

// drawDuplicateInstance adds a duplicate of an instance with probability 1/4.
func (g *generator) drawDuplicateInstance() {
	duplicate := Fault{
		Kind:     DuplicateInstance,
		Start:    g.drawEarlyStart(),
		Duration: g.thirdOfLoad(),
		Target:   g.drawInstance(),
	}
	if g.rng.IntN(4) == 0 && g.reserve(duplicate) {
		g.add(duplicate)
	}
}

// drawDrain adds the drain of a server, and with probability 1/2 a fault that delays its notification to one instance.
func (g *generator) drawDrain() {
	drain := Fault{
		Kind:     DrainServer,
		Start:    g.drawEarlyStart(),
		Duration: g.thirdOfLoad(),
		Target:   g.drawServer(),
	}
	if !g.reserve(drain) {
		return
	}
	g.add(drain)
	if !g.drawBool() {
		return
	}
	discoveryFault := Fault{
		Kind:          Partition,
		Start:         drain.Start,
		Duration:      drain.Duration / 3,
		Target:        g.drawInstance(),
		Destination:   Discovery,
		Bidirectional: true,
	}
	if g.drawBool() {
		discoveryFault.Kind = ResetConnections
		discoveryFault.Duration = 0
	}
	g.add(discoveryFault)
}
