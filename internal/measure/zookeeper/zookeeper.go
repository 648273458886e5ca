// Package zookeeper measures what reading membership from ephemeral nodes costs, as the
// directory grows and as nodes change.
package zookeeper

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/measure/process"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/multisource"
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/standin/fakezookeeper"
)

// Kinds are what this package's measurements start as processes of their own.
var Kinds = map[string]process.Serve{"reader": serveReader}

const path = "/soko"

// serveReader reads the directory of the service at the address given, merges it and
// throws the lists away.
func serveReader(args []string) (string, func(), error) {
	log := slog.New(slog.DiscardHandler)
	s := multisource.New(reconcile.DefaultConfig, log, multisource.Input{Kind: reconcile.Ephemeral, Name: path, Feeder: ephemeral.New(ephemeral.Options{
		Servers: args, Path: path, SessionTimeout: 15 * time.Second, Log: log})})
	ctx, stop := context.WithCancel(context.Background())
	listed := make(chan int, 1)
	go func() {
		// It ends with ctx, with nobody left to tell.
		_, _ = s.Watch(ctx, nil, func(_ balancer.ListKind, list engine.List) {
			if list.Complete {
				listed <- len(list.Hosts)
			}
		})
	}()
	return fmt.Sprint(<-listed), stop, nil
}

// Run measures at 10, 200 and 2,000 nodes: at rest, and with 10 and 40 changes a
// second of a tenth of the nodes in turn.
func Run(out io.Writer, span time.Duration) error {
	fmt.Fprintf(out, "%8s %12s %18s %18s %18s %14s\n", "nodes", "heap, KB", "at rest, ms/s", "10 changes, ms/s", "40 changes, ms/s", "us a change")
	for _, n := range []int{10, 200, 2000} {
		if err := measure(out, n, span); err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
	}
	return nil
}

func measure(out io.Writer, n int, span time.Duration) error {
	s, err := fakezookeeper.Start(1)
	if err != nil {
		return err
	}
	defer s.Close()
	name := func(i int) string { return fmt.Sprintf("%s/soko-%04d", path, i) }
	data := func(i int) []byte { return fmt.Appendf(nil, `{"address":"127.0.0.1:%d","started_ms":1000}`, 1+i) }
	for i := range n {
		s.Put(name(i), data(i))
	}
	p, err := process.Start("reader", "", s.Addresses()...)
	if err != nil {
		return err
	}
	defer p.Stop()
	if p.Line != fmt.Sprint(n) {
		return fmt.Errorf("the reader found %s", p.Line)
	}
	var heap int64
	cost := func(rate int) (float64, error) {
		time.Sleep(200 * time.Millisecond) // what came before is settled
		before, _, err := p.Figures()
		if err != nil {
			return 0, err
		}
		began := time.Now()
		for i := 0; time.Since(began) < span; i++ {
			if rate == 0 {
				time.Sleep(span)
				continue
			}
			// Each node in turn goes, and comes back a tenth of them later.
			at := i / 2 % max(1, n/10)
			if i%2 == 0 {
				s.Delete(name(at))
			} else {
				s.Put(name(at), data(at))
			}
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * time.Second / time.Duration(rate))))
		}
		after, memory, err := p.Figures()
		heap = memory
		return float64((after - before).Microseconds()) / 1000 / time.Since(began).Seconds(), err
	}
	var ms [3]float64
	for i, rate := range [...]int{0, 10, 40} {
		if ms[i], err = cost(rate); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%8d %12.0f %18.2f %18.2f %18.2f %14.0f\n", n, float64(heap)/1024, ms[0], ms[1], ms[2], (ms[2]-ms[0])/40*1000)
	return nil
}
