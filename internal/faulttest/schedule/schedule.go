// Package schedule says what befalls a rig's processes and the paths between them, and when:
// drawn from a seed, or written in a TOML file. It does no I/O.
package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pinedale/internal/tomlfile"
)

// Kind is what befalls them.
type Kind string

// The kinds. Those of a process name it as Of; those of paths name both ends, and hold from
// Of to To alone unless Both is set.
const (
	Kill              Kind = "kill"   // SIGKILL, and started again when the fault ends
	Term              Kind = "term"   // SIGTERM, and started again
	Stop              Kind = "stop"   // SIGSTOP, and SIGCONT when the fault ends
	Build             Kind = "build"  // SIGTERM, and started again as another build, which it stays
	Cut               Kind = "cut"    // nothing passes
	Loss              Kind = "loss"   // Share of the datagrams is lost
	Double            Kind = "double" // comes twice
	Swap              Kind = "swap"   // changes places with the next
	Spoil             Kind = "spoil"  // has a byte changed
	Slow              Kind = "slow"   // all of it takes Delay longer
	Break             Kind = "break"  // connections that stand are reset, at once
	Server            Kind = "server" // a server ends with all that it holds, and is started again
	DuplicateInstance Kind = "twin"   // SIGSTOP, and another process of its name in its place at other addresses; halfway SIGCONT, at the end SIGKILL
	Drain             Kind = "drain"  // discovery says that a server drains, and at the fault's end that it has started anew, as it then has
)

var processKinds = []Kind{Kill, Term, Stop, Build, DuplicateInstance, Server, Drain}
var pathKinds = []Kind{Cut, Loss, Double, Swap, Spoil, Slow, Break}
var shareKinds = []Kind{Loss, Double, Swap, Spoil}

// Clients is the end of a path that all clients are.
const Clients = "clients"

// Discovery is the end of a path that each instance's discovery is.
const Discovery = "discovery"

// Fault is one thing that befalls the rig. Every fault ends.
type Fault struct {
	Kind  Kind              `toml:"kind" json:"kind"`
	At    tomlfile.Duration `toml:"at" json:"at"` // after the start of the load
	For   tomlfile.Duration `toml:"for" json:"for"`
	Of    string            `toml:"of" json:"of"`
	To    string            `toml:"to" json:"to,omitempty"`
	Both  bool              `toml:"both" json:"both,omitempty"`
	Share float64           `toml:"share" json:"share,omitempty"`
	Delay tomlfile.Duration `toml:"delay" json:"delay,omitempty"`
}

// End is when it is over.
func (f *Fault) End() time.Duration { return time.Duration(f.At) + time.Duration(f.For) }

// String says what it is in one line.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v to %v %s of %s", time.Duration(f.At), f.End(), f.Kind, f.Of)
	if f.To != "" {
		arrow := "to"
		if f.Both {
			arrow = "and"
		}
		fmt.Fprintf(&b, " %s %s", arrow, f.To)
	}
	if f.Share > 0 {
		fmt.Fprintf(&b, ", %.0f%%", 100*f.Share)
	}
	if f.Delay > 0 {
		fmt.Fprintf(&b, ", %v", time.Duration(f.Delay))
	}
	return b.String()
}

// Schedule is what a run is made of. The same seed asks the same of the same instances at the
// same instants.
type Schedule struct {
	Version   int               `toml:"version" json:"version"`
	Name      string            `toml:"name" json:"name"`
	Seed      uint64            `toml:"seed" json:"seed"`
	Length    tomlfile.Duration `toml:"length" json:"length"` // of the load
	Instances int               `toml:"instances" json:"instances"`
	Servers   int               `toml:"servers" json:"servers"`
	Rate      float64           `toml:"rate" json:"rate"`   // effects asked for a second
	Agree     string            `toml:"agree" json:"agree"` // of the keyed classes, as in the operator's file
	Faults    []Fault           `toml:"fault" json:"faults"`
}

// InstanceName is the name of the nth instance, from 0.
func InstanceName(n int) string { return fmt.Sprint("i-", n+1) }

// ServerName is the name of the nth server, from 0.
func ServerName(n int) string { return fmt.Sprint("s-", n+1) }

// The bounds of a rig: what one machine bears.
const (
	minInstances, maxInstances = 3, 24
	maxServers                 = 48
	maxLength                  = 10 * time.Minute
	maxRate                    = 2000
	maxFileBytes               = 1 << 20 // bytes of a file
)

// LastFault is when the last fault is over: from then on the fleet should become well.
func (s *Schedule) LastFault() (end time.Duration) {
	for i := range s.Faults {
		end = max(end, s.Faults[i].End())
	}
	return end
}

// Parse reads a file. Its error has a line for each fault found.
func Parse(data []byte) (*Schedule, error) {
	s := &Schedule{Servers: 6, Rate: 60, Agree: "always", Length: tomlfile.Duration(8 * time.Second)}
	in, err := tomlfile.Decode(data, maxFileBytes, s)
	if err != nil {
		return nil, err
	}
	s.check(in.Require)
	if err := in.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check says what makes no sense in a schedule that was not read by Parse.
func (s *Schedule) Check() (err error) {
	s.check(func(ok bool, key, format string, args ...any) {
		if !ok && err == nil {
			err = fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
		}
	})
	return err
}

func (s *Schedule) check(require func(ok bool, key, format string, args ...any)) {
	require(s.Version == 1, "version", "%d is not a known version of this file; this program reads 1", s.Version)
	require(s.Instances >= minInstances && s.Instances <= maxInstances, "instances", "%d is not in %d to %d", s.Instances, minInstances, maxInstances)
	require(s.Servers >= 2 && s.Servers <= maxServers, "servers", "%d is not in 2 to %d", s.Servers, maxServers)
	require(s.Length > 0 && time.Duration(s.Length) <= maxLength, "length", "%v is not over 0 and up to %v", time.Duration(s.Length), maxLength)
	require(s.Rate > 0 && s.Rate <= maxRate, "rate", "%v is not over 0 and up to %d", s.Rate, maxRate)
	require(slices.Contains([]string{"never", "soon", "always"}, s.Agree), "agree", "%q is not one of never, soon, always", s.Agree)
	instances, servers := map[string]bool{}, map[string]bool{}
	for n := range min(max(0, s.Instances), maxInstances) {
		instances[InstanceName(n)] = true
	}
	for n := range min(max(0, s.Servers), maxServers) {
		servers[ServerName(n)] = true
	}
	for i, f := range s.Faults {
		at := func(key string) string { return fmt.Sprintf("fault[%d].%s", i, key) }
		isProcess, isPath := slices.Contains(processKinds, f.Kind), slices.Contains(pathKinds, f.Kind)
		require(isProcess || isPath, at("kind"), "%q is not one of %v", f.Kind, append(slices.Clone(processKinds), pathKinds...))
		require(f.At >= 0 && f.For >= 0 && f.End() <= time.Duration(s.Length), at("for"), "it is over %v after the start, and the load lasts %v", f.End(), time.Duration(s.Length))
		require(f.For > 0 || f.Kind == Break, at("for"), "is missing: every fault ends")
		require(f.Share >= 0 && f.Share <= 1 && (f.Share > 0) == slices.Contains(shareKinds, f.Kind), at("share"), "%v is not what a %q takes", f.Share, f.Kind)
		require(f.Delay >= 0 && (f.Delay > 0) == (f.Kind == Slow), at("delay"), "%v is not what a %q takes", time.Duration(f.Delay), f.Kind)
		switch {
		case f.Kind == Server || f.Kind == Drain:
			require(servers[f.Of], at("of"), "%q is no server", f.Of)
		case isProcess:
			require(instances[f.Of], at("of"), "%q is no instance", f.Of)
		case isPath:
			require(instances[f.Of] || f.Of == Clients, at("of"), "%q is neither an instance nor %s", f.Of, Clients)
			require(instances[f.To] && f.To != f.Of || (servers[f.To] || f.To == Discovery) && f.Of != Clients, at("to"), "there is no way from %q to %q", f.Of, f.To)
		}
		require(isPath || f.To == "" && !f.Both, at("to"), "a %q is of one process", f.Kind)
	}
}

// maxHold is how long a drawn fault may hold requests back on their way to a server: well
// under the second for which the rig's servers remember a key of a class that all drop repeats
// of. What the network holds for longer than servers remember may be done twice, whatever the
// sender does: see docs/design/replicated-state.md.
const maxHold = tomlfile.Duration(500 * time.Millisecond)

// Draw returns a schedule for a seed: three to eight faults, overlapping as they fall. The
// same seed draws the same.
func Draw(seed uint64, instances, servers int, length time.Duration) *Schedule {
	s := &Schedule{Version: 1, Name: fmt.Sprint("seed ", seed), Seed: seed, Length: tomlfile.Duration(length), Instances: instances,
		Servers: servers, Rate: 60, Agree: "always"}
	d := &drawing{schedule: s, rng: rand.New(rand.NewPCG(seed, 7)), busy: map[string][]Fault{}}
	for range 3 + d.rng.IntN(6) {
		d.ordinaryFault()
	}
	// Two processes of one name, drains, and discovery out of an instance's sight about then, from a sequence of their own: what
	// the seed draws above stays as it is.
	d.rng = rand.New(rand.NewPCG(seed, 13))
	d.duplicateInstance()
	for range d.rng.IntN(3) {
		d.drain()
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// drawing is a schedule that is being drawn. The order of its draws is part of what a seed means:
// none may be added, left out or moved.
type drawing struct {
	schedule *Schedule
	rng      *rand.Rand
	busy     map[string][]Fault // faults of a process, by its name
}

// add adds a fault.
func (d *drawing) add(f Fault) { d.schedule.Faults = append(d.schedule.Faults, f) }

// instance draws an instance.
func (d *drawing) instance() string { return InstanceName(d.rng.IntN(d.schedule.Instances)) }

// server draws a server.
func (d *drawing) server() string { return ServerName(d.rng.IntN(d.schedule.Servers)) }

// coin draws one of two equal chances.
func (d *drawing) coin() bool { return d.rng.IntN(2) == 0 }

// part draws a part of the schedule's length that is between two shares of it.
func (d *drawing) part(lower, upper float64) tomlfile.Duration {
	length := float64(d.schedule.Length)
	return tomlfile.Duration(time.Duration(length * (lower + (upper-lower)*d.rng.Float64())).Round(time.Millisecond))
}

// reserve notes a fault of a process, unless another is too near: a process is in one state at a
// time, and none is killed while it is stopped.
func (d *drawing) reserve(f Fault) bool {
	gap := time.Duration(d.schedule.Length) / 20
	if slices.ContainsFunc(d.busy[f.Of], func(o Fault) bool {
		return time.Duration(f.At) < o.End()+gap && time.Duration(o.At) < f.End()+gap
	}) {
		return false
	}
	d.busy[f.Of] = append(d.busy[f.Of], f)
	return true
}

// ordinaryFault draws a fault of a process or of a path, and adds it unless its process is busy.
func (d *drawing) ordinaryFault() {
	f := Fault{At: d.part(0.05, 0.65), For: d.part(0.03, 0.3), Of: d.instance()}
	d.kind(&f)
	if slices.Contains(processKinds, f.Kind) {
		if !d.reserve(f) {
			return
		}
	} else if f.To == "" {
		for f.To = d.instance(); f.To == f.Of; {
			f.To = d.instance()
		}
	}
	if slices.Contains(shareKinds, f.Kind) {
		f.Share = float64(1+d.rng.IntN(9)) / 10
	}
	if f.Kind == Slow {
		f.Delay = tomlfile.Duration(time.Duration(5+d.rng.IntN(100)) * time.Millisecond)
	}
	if f.Kind == Break {
		f.For = 0
	}
	d.add(f)
}

// kind draws a fault's kind, and which way it is of where that is not between two instances.
func (d *drawing) kind(f *Fault) {
	switch n := d.rng.IntN(16); {
	case n < 4:
		f.Kind = Kill
	case n < 5:
		f.Kind = Term
	case n < 7:
		f.Kind = Stop
	case n < 8:
		f.Kind, f.Of = Server, d.server()
	case n < 12: // between instances
		f.Kind, f.Both = Cut, d.coin()
	case n < 13: // towards clients
		f.Kind, f.Of, f.To, f.Both = Cut, Clients, f.Of, d.coin()
	case n < 14: // towards servers
		f.Kind = []Kind{Cut, Slow, Break}[d.rng.IntN(3)]
		f.To = d.server()
		f.Both = d.coin()
		f.For = min(f.For, maxHold)
	default:
		f.Kind, f.Both = []Kind{Loss, Double, Swap, Spoil, Slow}[d.rng.IntN(5)], true
	}
}

// third is how long a twin or a drain lasts.
func (d *drawing) third() tomlfile.Duration {
	return tomlfile.Duration((time.Duration(d.schedule.Length) / 3).Round(time.Millisecond))
}

// early draws an instant in the first half.
func (d *drawing) early() tomlfile.Duration { return d.part(0.1, 0.5) }

// duplicateInstance draws an instance that has two processes for a while, and adds it at one chance in four.
func (d *drawing) duplicateInstance() {
	duplicate := Fault{Kind: DuplicateInstance, At: d.early(), For: d.third(), Of: d.instance()}
	if d.rng.IntN(4) == 0 && d.reserve(duplicate) {
		d.add(duplicate)
	}
}

// drain draws a server's drain and, at one chance in two, an instance that is not told of it at once.
func (d *drawing) drain() {
	drain := Fault{Kind: Drain, At: d.early(), For: d.third(), Of: d.server()}
	if !d.reserve(drain) {
		return
	}
	d.add(drain)
	if !d.coin() {
		return
	}
	cut := Fault{Kind: Cut, At: drain.At, For: drain.For / 3, Of: d.instance(), To: Discovery, Both: true}
	if d.coin() {
		cut.Kind, cut.For = Break, 0
	}
	d.add(cut)
}

// Without returns the schedule with some faults left out: those for which keep is false.
func (s *Schedule) Without(keep func(n int) bool) *Schedule {
	out := *s
	out.Faults = nil
	for n, f := range s.Faults {
		if keep(n) {
			out.Faults = append(out.Faults, f)
		}
	}
	return &out
}

// Shrink returns a schedule that still fails and from which no fault can be left out: first
// the shortest prefix that fails, then each of its faults by itself. fails plays a schedule
// some times.
func (s *Schedule) Shrink(fails func(*Schedule) bool) *Schedule {
	lower, upper := 0, len(s.Faults) // the prefix of most fails
	for lower < upper {
		half := (lower + upper) / 2
		if fails(s.Without(func(n int) bool { return n < half })) {
			upper = half
		} else {
			lower = half + 1
		}
	}
	out := s.Without(func(n int) bool { return n < upper })
	for i := 0; i < len(out.Faults); {
		if less := out.Without(func(n int) bool { return n != i }); fails(less) {
			out = less
		} else {
			i++
		}
	}
	return out
}
