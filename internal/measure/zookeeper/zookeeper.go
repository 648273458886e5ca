// Package zookeeper measures the cost of reading membership from ephemeral nodes, by the number of nodes and by the
// rate of their changes.
package zookeeper

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/measure/process"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/multisource"
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/standin/fakezookeeper"
)

const readerKind = "reader"

// Kinds are the processes that this package's measurements start.
var Kinds = process.Kinds{readerKind: serveReader}

const (
	rootPath       = "/soko"
	sessionTimeout = 15 * time.Second
	settleTime     = 200 * time.Millisecond // after a step, before the next one is measured
)

// nodeCounts are the sizes of the directory that are measured.
var nodeCounts = []int{10, 200, 2000}

// changeRates are the changes per second of the steps at each size.
var changeRates = [...]int{0, 10, 40}

// changingNodesDivisor determines how many nodes change in turn: the number of nodes divided by it.
const changingNodesDivisor = 10

// serveReader reads the directory of the service at the given addresses, reconciles it and discards the lists. Its line
// is the number of endpoints in the first complete list.
func serveReader(addresses []string) (line string, stop func(), err error) {
	log := slog.New(slog.DiscardHandler)
	source := multisource.New(reconcile.DefaultConfig, log, multisource.Input{
		Kind: reconcile.Ephemeral,
		Name: rootPath,
		Feeder: ephemeral.New(ephemeral.Options{
			Servers:        addresses,
			Path:           rootPath,
			SessionTimeout: sessionTimeout,
			Log:            log,
		}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	listed := make(chan int, 1)
	var watching sync.WaitGroup
	watching.Go(func() {
		// Watch returns when ctx ends.
		_, _ = source.Watch(ctx, nil, func(_ balancer.ListKind, list engine.List) {
			if list.Complete { // true for the first list only
				listed <- len(list.Hosts)
			}
		})
	})
	return strconv.Itoa(<-listed), func() {
		cancel()
		watching.Wait()
	}, nil
}

// Run measures directories of several sizes: at rest, and while a tenth of the nodes change in turn, 10 and 40 times
// a second. Each step takes span. Run writes each row as soon as it is measured.
func Run(w io.Writer, span time.Duration) error {
	fmt.Fprintf(w, "%8s %12s %18s %18s %18s %14s\n",
		"nodes", "heap, KB", "at rest, ms/s", "10 changes, ms/s", "40 changes, ms/s", "us per change")
	for _, nodes := range nodeCounts {
		result, err := measure(nodes, span)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", nodes, err)
		}
		result.print(w)
	}
	return nil
}

// result is what was measured at one size.
type result struct {
	nodes  int
	memory int64                     // bytes
	cpu    [len(changeRates)]float64 // milliseconds per second
}

func (r *result) print(w io.Writer) {
	highest := len(changeRates) - 1
	perChange := (r.cpu[highest] - r.cpu[0]) / float64(changeRates[highest]) * 1000 // microseconds
	fmt.Fprintf(w, "%8d %12.0f %18.2f %18.2f %18.2f %14.0f\n",
		r.nodes, float64(r.memory)/1024, r.cpu[0], r.cpu[1], r.cpu[2], perChange)
}

// measurement measures a directory of one size.
type measurement struct {
	nodes   int
	span    time.Duration
	service *fakezookeeper.Service
	reader  *process.Process
}

func measure(nodes int, span time.Duration) (*result, error) {
	service, err := fakezookeeper.Start(1)
	if err != nil {
		return nil, err
	}
	defer service.Close()
	m := &measurement{nodes: nodes, span: span, service: service}
	for node := range nodes {
		m.register(node)
	}
	if m.reader, err = process.Start(readerKind, "", service.Addresses()...); err != nil {
		return nil, err
	}
	defer m.reader.Stop()
	if m.reader.Line != strconv.Itoa(nodes) {
		return nil, fmt.Errorf("the reader listed %s nodes", m.reader.Line)
	}
	result := &result{nodes: nodes}
	for i, rate := range changeRates {
		if result.cpu[i], result.memory, err = m.step(rate); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func nodePath(node int) string { return fmt.Sprintf("%s/soko-%04d", rootPath, node) }

func (m *measurement) register(node int) {
	m.service.Put(nodePath(node), fmt.Appendf(nil, `{"address":"127.0.0.1:%d","started_ms":1000}`, 1+node))
}

// step changes nodes at a rate per second, and returns the reader's CPU time in milliseconds per second and its memory
// at the end.
func (m *measurement) step(rate int) (cpu float64, memory int64, err error) {
	time.Sleep(settleTime)
	before, err := m.reader.Usage()
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if rate == 0 {
		time.Sleep(m.span)
	} else {
		m.change(rate, start)
	}
	after, err := m.reader.Usage()
	milliseconds := float64((after.CPU - before.CPU).Microseconds()) / 1000
	return milliseconds / time.Since(start).Seconds(), after.Memory, err
}

// change deletes and registers nodes in turn, at a rate per second, until the span is over.
func (m *measurement) change(rate int, start time.Time) {
	for i := 0; time.Since(start) < m.span; i++ {
		node := i / 2 % max(1, m.nodes/changingNodesDivisor)
		if i%2 == 0 {
			m.service.Delete(nodePath(node))
		} else {
			m.register(node)
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
	}
}
