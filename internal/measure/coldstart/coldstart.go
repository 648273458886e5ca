// Package coldstart measures what thousands of quiet instances do together to servers that have
// just started, and how evenly they spread their work, with subsets of the fleet and without:
// whole engines with their decision modules, in one process, on the emulator's virtual time.
package coldstart

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/scenario"
	"pinedale/internal/emulator/simulation"
	"pinedale/internal/subset"
)

// Options are of a measurement.
type Options struct {
	Instances int
	Servers   int
	Fresh     int     // of them, that start cold in the middle of the play
	Rate      float64 // first tries a second, over all instances
	Floor     int     // of subsets
	Seeds     int
	Unsubset  bool // it is measured without subsets, too
}

// Row is what came of all seeds, one way.
type Row struct {
	Name        string
	Strain      []float64 // by seed, sorted: of the newcomer that came nearest to its fall
	Fell        int       // servers, over all seeds
	G           float64   // the least
	Connections int       // the most
	Probes      float64   // for each request, the most
	Imbalance   float64   // the 99th percentile of servers' requests over the mean; the worst seed
	Broken      string
}

const text = `version = 1
name = "newcomer"
length = "16s"
sites = ["a", "b"]
[way]
same = "250us"
other = "7ms"
[clients]
rate = %g
retries = 2
try_share = 0.5
[list]
notice = "1s"
drain_for = "3s"
[[instances]]
site = "a"
count = %d
[[instances]]
site = "b"
count = %d
[[class]]
name = "read"
repeat = "safe"
aim = "600ms"
deadline = "3s"
worth = 1
share = 1.0
work = "100ms"
cv = 0.4
[[machine]]
name = "box"
cores = 3
speed = 1.2
queue_per_core = 300
thrash = 0.08
thrash_at = 5
cold_from = 0.31
cold_for = "8.6s"
report_every = "150ms"
report_delay = "40ms"
report_noise = 0.1
handshake = "2ms"
probe_work = "120us"
[[servers]]
machine = "box"
site = "a"
count = %d
[[servers]]
machine = "box"
site = "b"
count = %d
[[trouble]]
kind = "start"
part = %g
from = "5s"
`

// Run measures. Plays go on side by side, on half of the cores.
func Run(o Options) ([]Row, error) {
	f, err := scenario.Parse([]byte(fmt.Sprintf(text, o.Rate, o.Instances/2, o.Instances-o.Instances/2, o.Servers/2, o.Servers-o.Servers/2, float64(o.Fresh)/float64(o.Servers))))
	if err != nil {
		return nil, err
	}
	variants := []Row{{Name: fmt.Sprintf("subsets of %d", o.Floor)}}
	if o.Unsubset {
		variants = append(variants, Row{Name: "the whole fleet"})
	}
	for w := range variants {
		row := &variants[w]
		row.G = 1
		var mu sync.Mutex
		var all sync.WaitGroup
		slots := make(chan bool, max(1, runtime.NumCPU()/2)) // whole fleets for all instances need much memory
		for seed := range o.Seeds {
			all.Go(func() {
				slots <- true
				defer func() { <-slots }()
				day := f.Plan(uint64(seed + 1))
				if w == 0 {
					day.Subset = &subset.Config{MinSize: o.Floor, PerInFlight: 2}
				}
				r, e := simulation.Run(day, simulation.Options{})
				mu.Lock()
				defer mu.Unlock()
				if e != nil {
					err = e
					return
				}
				row.take(day, r)
			})
		}
		all.Wait()
		if err != nil {
			return nil, err
		}
		slices.Sort(row.Strain)
	}
	return variants, nil
}

// take counts one play in.
func (r *Row) take(day *plan.Scenario, x *plan.Result) {
	r.Strain = append(r.Strain, x.PeakStrain)
	r.Fell += len(x.Collapsed)
	r.G = min(r.G, day.Score(x))
	r.Connections = max(r.Connections, x.Connections)
	r.Probes = max(r.Probes, float64(x.Probes)/float64(max(1, x.ClientAttempts)))
	if reason := x.Violations(); reason != "" {
		r.Broken = reason
	}
	// Of servers that were there all the time, in the seconds before others came.
	var work []float64
	sum := 0.0
	for n := range day.Servers {
		if day.Servers[n].Incarnations[0].From > 0 {
			continue
		}
		sends := 0.0
		for second := 2; second < 5 && second < len(x.Seconds); second++ {
			sends += float64(x.Seconds[second].Attempts[n])
		}
		work = append(work, sends)
		sum += sends
	}
	slices.Sort(work)
	if sum > 0 {
		r.Imbalance = max(r.Imbalance, work[min(len(work)-1, int(math.Ceil(0.99*float64(len(work))))-1)]*float64(len(work))/sum)
	}
}

// Broken says which rule was broken with subsets, "" for none.
func Broken(rows []Row) string { return rows[0].Broken }

// Print writes rows for a reader.
func Print(out io.Writer, rows []Row, took time.Duration) {
	fmt.Fprintf(out, "%-18s %18s %18s %6s %8s %13s %14s %10s\n", "an instance holds", "strain, median", "strain, worst", "fell", "G", "connections", "probes a try", "p99/mean")
	for _, r := range rows {
		fmt.Fprintf(out, "%-18s %18.2f %18.2f %6d %8.3f %13d %14.2f %10.2f\n", r.Name, r.Strain[len(r.Strain)/2], r.Strain[len(r.Strain)-1], r.Fell, r.G, r.Connections, r.Probes, r.Imbalance)
	}
	fmt.Fprintf(out, "%d plays of 16 s each way in %v\n", len(rows[0].Strain), took.Round(time.Second))
}
