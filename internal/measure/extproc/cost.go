package extproc

import (
	"fmt"
	"io"
	"time"

	"pinedale/internal/measure/harness"
	"pinedale/internal/measure/process"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/proxy"
)

const (
	peakCallers   = 64  // closed-loop callers that measure the peak
	commonRatio   = 0.7 // of the no-op's peak: the rate at which both processors are compared
	costRounds    = 3   // of each processor; each figure is the median of the rounds
	warmupDivisor = 3   // a warm-up takes the span of a step divided by this
)

// CostOptions configure a comparison.
type CostOptions struct {
	Servers     int
	Connections int           // of the caller
	Span        time.Duration // of each step
	Profile     string        // file for a CPU profile of the processor, or empty
}

// CostReport compares the decisions of pinedale-proxy with a processor that decides nothing.
type CostReport struct {
	Noop, Pinedale ProcessorCost
	CommonRate     float64 // streams per second that were offered to both
}

// ProcessorCost is the cost of the decisions of one processor.
type ProcessorCost struct {
	Peak          float64       // streams per second that peakCallers reach
	CPU           time.Duration // of the processor's process per stream, at the common rate
	P50, P99      time.Duration // latency of the decision alone, at the common rate
	Rate          float64       // streams per second that were reached at the common rate
	StreamBytes   int64         // of heap and stacks for each open stream that has its decision
	RejectedRatio float64       // of the decisions at the common rate
}

// Print writes the report as a table.
func (r *CostReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%-28s %12s %12s %8s\n", "", "no-op", "pinedale", "ratio")
	printCostRow(w, "peak, streams per second", "", r.Noop.Peak, r.Pinedale.Peak)
	fmt.Fprintf(w, "at %.0f streams per second, 70%% of the no-op's peak (reached: %.0f and %.0f)\n",
		r.CommonRate, r.Noop.Rate, r.Pinedale.Rate)
	printCostRow(w, "CPU per stream", "us", microseconds(r.Noop.CPU), microseconds(r.Pinedale.CPU))
	printCostRow(w, "decision, median", "us", microseconds(r.Noop.P50), microseconds(r.Pinedale.P50))
	printCostRow(w, "decision, 99th percentile", "us", microseconds(r.Noop.P99), microseconds(r.Pinedale.P99))
	fmt.Fprintf(w, "rejected: %.4f of pinedale's decisions\n", r.Pinedale.RejectedRatio)
	printCostRow(w, "memory per open stream", "KB", kilobytes(r.Noop.StreamBytes), kilobytes(r.Pinedale.StreamBytes))
}

func printCostRow(w io.Writer, name, unit string, noop, pinedale float64) {
	fmt.Fprintf(w, "%-28s %9.1f %-2s %9.1f %-2s %8.2f\n", name, noop, unit, pinedale, unit, pinedale/noop)
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

func kilobytes(bytes int64) float64 { return float64(bytes) / 1024 }

// processorMeasurement measures one processor.
type processorMeasurement struct {
	options       CostOptions
	kind, arg     string
	profile       string // file for a CPU profile of the last round, or empty
	cost          *ProcessorCost
	cpu, p50, p99 []time.Duration // by round
}

// Cost compares the decisions of pinedale-proxy with those of a processor on the same library that decides nothing.
// Each processor runs in a separate process, one after the other, in rounds.
func Cost(o CostOptions) (*CostReport, error) {
	discovery, err := fakediscovery.Start()
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	servers, err := startServers(discovery, o.Servers)
	defer closeServers(servers)
	if err != nil {
		return nil, err
	}
	report := &CostReport{}
	noop := &processorMeasurement{options: o, kind: noopKind, cost: &report.Noop}
	pinedale := &processorMeasurement{
		options: o,
		kind:    processorKind,
		arg:     discovery.Address,
		profile: o.Profile,
		cost:    &report.Pinedale,
	}
	both := []*processorMeasurement{noop, pinedale}
	for _, m := range both {
		if err := m.measurePeak(); err != nil {
			return nil, err
		}
	}
	report.CommonRate = commonRatio * report.Noop.Peak
	for round := range costRounds {
		for _, m := range both {
			if err := m.measureRound(round, report.CommonRate); err != nil {
				return nil, err
			}
		}
	}
	for _, m := range both {
		m.cost.CPU = harness.Median(m.cpu)
		m.cost.P50 = harness.Median(m.p50)
		m.cost.P99 = harness.Median(m.p99)
	}
	return report, nil
}

// startServers starts servers and lists them in discovery. On an error, it returns the servers that it has started.
func startServers(discovery *fakediscovery.Directory, count int) (servers []*fakebackend.Server, err error) {
	fleet := &fakebackend.Fleet{Seed: 1}
	var hosts []fakediscovery.Host
	for n := range count {
		server, err := fleet.Start(fmt.Sprintf("soko-%d", n), n/2)
		if err != nil {
			return servers, err
		}
		servers = append(servers, server)
		host := fakediscovery.Ready(server.Name, server.Address)
		host.Site, host.Kind = sites[0], "box"
		hosts = append(hosts, host)
	}
	discovery.Change(func() {
		discovery.List.Hosts = append(discovery.List.Hosts, hosts...)
		discovery.List.Seq = 1
	})
	return servers, nil
}

func closeServers(servers []*fakebackend.Server) {
	for _, server := range servers {
		server.Close()
	}
}

// withProcessor starts the processor, calls measure with a caller that is connected to it, and stops it.
func (m *processorMeasurement) withProcessor(
	profile string, measure func(*process.Process, *streamCaller) error,
) error {
	processor, err := process.Start(m.kind, profile, m.arg)
	if err != nil {
		return fmt.Errorf("%s: %w", m.kind, err)
	}
	defer processor.Stop()
	p, err := proxy.Dial(processor.Line, m.options.Connections)
	if err != nil {
		return fmt.Errorf("%s: %w", m.kind, err)
	}
	defer p.Close()
	if err := measure(processor, &streamCaller{proxy: p}); err != nil {
		return fmt.Errorf("%s: %w", m.kind, err)
	}
	return nil
}

// measurePeak measures the peak after a warm-up.
func (m *processorMeasurement) measurePeak() error {
	return m.withProcessor("", func(_ *process.Process, caller *streamCaller) (err error) {
		if _, err := caller.callClosedLoop(peakCallers, m.options.Span/warmupDivisor); err != nil {
			return err
		}
		m.cost.Peak, err = caller.callClosedLoop(peakCallers, m.options.Span)
		return err
	})
}

// measureRound measures one round at the common rate, in the first round also the memory of open streams.
func (m *processorMeasurement) measureRound(round int, rate float64) error {
	profile := ""
	if round == costRounds-1 {
		profile = m.profile
	}
	return m.withProcessor(profile, func(processor *process.Process, caller *streamCaller) error {
		idleMemory, err := m.measureAtRate(processor, caller, rate)
		if err != nil || round > 0 {
			return err
		}
		m.cost.StreamBytes, err = caller.measureOpenStreams(processor, idleMemory)
		return err
	})
}

// measureAtRate measures at a rate after a warm-up. It returns the processor's memory at the end.
func (m *processorMeasurement) measureAtRate(
	processor *process.Process, caller *streamCaller, rate float64,
) (memory int64, err error) {
	if _, err := caller.callOpenLoop(rate, m.options.Span/warmupDivisor); err != nil {
		return 0, err
	}
	caller.rejected.Store(0)
	before, err := processor.Usage()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	latencies, err := caller.callOpenLoop(rate, m.options.Span)
	if err != nil {
		return 0, err
	}
	after, err := processor.Usage()
	if err != nil {
		return 0, err
	}
	count := len(latencies)
	m.cost.Rate = float64(count) / time.Since(start).Seconds()
	m.cost.RejectedRatio = float64(caller.rejected.Load()) / float64(count)
	m.cpu = append(m.cpu, (after.CPU-before.CPU)/time.Duration(count))
	m.p50 = append(m.p50, harness.Median(latencies))
	m.p99 = append(m.p99, harness.Percentile(latencies, 99))
	return after.Memory, nil
}
