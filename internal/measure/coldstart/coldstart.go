// Package coldstart measures the load that thousands of instances with few requests each put on servers that have just
// started, and how evenly they spread their requests, with subsets of the fleet and without. It simulates complete
// engines with their decision modules in one process, on the emulator's virtual time.
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
	"pinedale/internal/measure/harness"
	"pinedale/internal/subset"
)

// Options configure a measurement.
type Options struct {
	Instances      int
	Servers        int
	Fresh          int     // how many of the servers start in the middle of a simulation, with slow start
	Rate           float64 // requests per second of all instances, without retries
	SubsetSize     int     // smallest number of servers in a subset
	Seeds          int     // simulations of each row
	WithoutSubsets bool    // measure the complete fleet at every instance, too
}

// Row is the result of all seeds, with subsets or without.
type Row struct {
	Name        string
	Strain      []float64 // by seed, sorted: the peak strain of the fresh servers; 1 is a collapse
	Collapsed   int       // servers that collapsed, over all seeds
	MinScore    float64
	Connections int     // highest number open at once, the highest of any seed
	ProbeRatio  float64 // probes per attempt, the highest of any seed
	Imbalance   float64 // 99th percentile of the servers' requests over their mean, the highest of any seed
	BrokenRule  string
}

// Report is the result of a measurement. The first row is the one with subsets.
type Report struct {
	Rows []Row
	Took time.Duration
}

const (
	// Between these seconds of a simulation, the initial servers have completed their slow start and no other server has
	// started.
	balancedFromSecond  = 2
	balancedUntilSecond = 5

	imbalancePercentile = 0.99

	// endpointsPerInFlight is how many endpoints are added to a subset for each request in flight.
	endpointsPerInFlight = 2
)

const scenarioFormat = `version = 1
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

// scenarioText returns the scenario: half of the instances and servers are at each of two sites.
func (o *Options) scenarioText() string {
	return fmt.Sprintf(scenarioFormat,
		o.Rate,
		o.Instances/2, o.Instances-o.Instances/2,
		o.Servers/2, o.Servers-o.Servers/2,
		float64(o.Fresh)/float64(o.Servers))
}

// Run runs the measurement. Simulations run concurrently, on half of the cores.
func Run(o Options) (*Report, error) {
	start := time.Now()
	file, err := scenario.Parse([]byte(o.scenarioText()))
	if err != nil {
		return nil, err
	}
	withSubsets := &subset.Config{MinSize: o.SubsetSize, PerInFlight: endpointsPerInFlight}
	row, err := simulateSeeds(file, o.Seeds, withSubsets)
	if err != nil {
		return nil, err
	}
	row.Name = fmt.Sprintf("subsets of %d", o.SubsetSize)
	report := &Report{Rows: []Row{*row}}
	if o.WithoutSubsets {
		if row, err = simulateSeeds(file, o.Seeds, nil); err != nil {
			return nil, err
		}
		row.Name = "complete fleet"
		report.Rows = append(report.Rows, *row)
	}
	report.Took = time.Since(start)
	return report, nil
}

// simulateSeeds simulates a scenario with each seed. Without a configuration of subsets, every instance uses the
// complete fleet.
func simulateSeeds(file *scenario.File, seeds int, subsets *subset.Config) (*Row, error) {
	row := &Row{MinScore: 1}
	var mu sync.Mutex
	workers := max(1, runtime.NumCPU()/2) // with the complete fleet at every instance, simulations take much memory
	err := harness.ForEach(seeds, workers, func(seed int) error {
		planned := file.Plan(uint64(seed))
		if subsets != nil {
			config := *subsets
			planned.Subset = &config
		}
		result, err := simulation.Run(planned, simulation.Options{})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		row.add(planned, result)
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.Sort(row.Strain)
	return row, nil
}

// add adds the result of one seed.
func (r *Row) add(planned *plan.Scenario, result *plan.Result) {
	r.Strain = append(r.Strain, result.PeakOverloadRatio)
	r.Collapsed += len(result.Collapsed)
	r.MinScore = min(r.MinScore, planned.Score(result))
	r.Connections = max(r.Connections, result.Connections)
	r.ProbeRatio = max(r.ProbeRatio, float64(result.Probes)/float64(max(1, result.ClientAttempts)))
	r.Imbalance = max(r.Imbalance, imbalance(planned, result))
	if reason := result.Violations(); reason != "" {
		r.BrokenRule = reason
	}
}

// imbalance returns the 99th percentile of the requests per server over their mean, 0 if there are no requests. It
// counts the servers that run from the start, in the seconds before others start.
func imbalance(planned *plan.Scenario, result *plan.Result) float64 {
	var attempts []float64 // by server
	total := 0.0
	for n := range planned.Servers {
		if planned.Servers[n].Incarnations[0].From > 0 {
			continue
		}
		count := 0.0
		for second := balancedFromSecond; second < balancedUntilSecond && second < len(result.Seconds); second++ {
			count += float64(result.Seconds[second].Attempts[n])
		}
		attempts = append(attempts, count)
		total += count
	}
	if total <= 0 {
		return 0
	}
	slices.Sort(attempts)
	servers := float64(len(attempts))
	rank := int(math.Ceil(imbalancePercentile*servers)) - 1
	return attempts[min(len(attempts)-1, rank)] * servers / total
}

// Violation describes the rule that was violated with subsets, "" for none.
func (r *Report) Violation() string { return r.Rows[0].BrokenRule }

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%-18s %18s %18s %6s %8s %13s %14s %10s\n",
		"servers used", "strain, median", "strain, worst", "fell", "G", "connections", "probe ratio", "p99/mean")
	for i := range r.Rows {
		row := &r.Rows[i]
		fmt.Fprintf(w, "%-18s %18.2f %18.2f %6d %8.3f %13d %14.2f %10.2f\n",
			row.Name,
			row.Strain[len(row.Strain)/2],
			row.Strain[len(row.Strain)-1],
			row.Collapsed,
			row.MinScore,
			row.Connections,
			row.ProbeRatio,
			row.Imbalance)
	}
	fmt.Fprintf(w, "%d simulations of 16 s per row in %v\n", len(r.Rows[0].Strain), r.Took.Round(time.Second))
}
