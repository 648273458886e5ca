// Package gossip measures the cost of replicated state by the size of the fleet. It simulates the stores of package
// replication at the intervals of package cluster, on virtual time, with messages in their wire encoding.
//
//	gossip.go      Options, Run and its rows
//	simulation.go  the simulation of one fleet
package gossip

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"
)

// Options configure a measurement.
type Options struct {
	Sizes   []int         // of fleets, in instances
	Servers int           // that instances advertise
	Span    time.Duration // of virtual time
	Loss    float64       // ratio of the messages that are lost
	Seed    uint64
}

// Row is the result of one fleet. Rates are per second of virtual time and instance.
type Row struct {
	Instances     int
	Entries       int           // that were written
	BytesSent     float64       // mean of all instances
	MaxBytesSent  float64       // of the instance that sent the most
	Messages      float64       // mean of all instances
	Propagation   time.Duration // until all instances had an entry, median
	Propagation95 time.Duration // 95th percentile
	Incomplete    int           // entries of the first three quarters of the span that an instance never received
	MaxStepTime   time.Duration // longest processing time of one instance in one tick, by this machine's clock
	CPU           float64       // cores that one instance needs, by this machine's clock
	StoreBytes    int64         // bytes of one instance's store
}

// Rows are the rows of a table.
type Rows []Row

// Run simulates a fleet of each size.
func Run(o Options) (Rows, error) {
	var rows Rows
	for _, instances := range o.Sizes {
		row, err := simulate(&o, instances)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// simulate simulates one fleet, and measures the heap memory of its stores.
func simulate(o *Options, instances int) (Row, error) {
	before := heapBytes()
	s := newSimulation(o, instances)
	if err := s.run(); err != nil {
		return Row{}, err
	}
	after := heapBytes()
	row := s.row()
	row.StoreBytes = (after - before) / int64(instances)
	runtime.KeepAlive(s.nodes)
	return row, nil
}

// heapBytes returns the bytes of the heap after a collection.
func heapBytes() int64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// Print writes the rows as a table.
func (rows Rows) Print(w io.Writer) {
	const megabyte = 1 << 20
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer table.Flush()
	fmt.Fprintln(table, "instances\tentries\tB/s sent\tmax. B/s sent\tmessages/s\t"+
		"propagation, median\t95%\tincomplete\tlongest step\tCPU cores\tmemory\t")
	for i := range rows {
		row := &rows[i]
		fmt.Fprintf(table, "%d\t%d\t%.0f\t%.0f\t%.1f\t%v\t%v\t%d\t%v\t%.4f\t%.1f MB\t\n",
			row.Instances,
			row.Entries,
			row.BytesSent,
			row.MaxBytesSent,
			row.Messages,
			row.Propagation,
			row.Propagation95,
			row.Incomplete,
			row.MaxStepTime.Round(10*time.Microsecond),
			row.CPU,
			float64(row.StoreBytes)/megabyte)
	}
}
