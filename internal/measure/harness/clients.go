package harness

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Clients are closed-loop clients that run until Stop is called.
type Clients struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// StartClients starts count clients. Each calls run once, with its number. run sends requests one after the other until
// the context ends, and must complete the request that is in flight then.
func StartClients(count int, run func(ctx context.Context, client int)) *Clients {
	ctx, cancel := context.WithCancel(context.Background())
	return startClients(ctx, cancel, count, run)
}

// RunClients is StartClients for a fixed time. It returns once all clients have ended.
func RunClients(count int, duration time.Duration, run func(ctx context.Context, client int)) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	startClients(ctx, cancel, count, run).running.Wait()
}

func startClients(
	ctx context.Context, cancel context.CancelFunc, count int, run func(ctx context.Context, client int),
) *Clients {
	c := &Clients{cancel: cancel}
	for client := range count {
		c.running.Go(func() { run(ctx, client) })
	}
	return c
}

// Stop ends the context of the clients and waits for them.
func (c *Clients) Stop() {
	c.cancel()
	c.running.Wait()
}

// ForEach calls do with each number from 1 to count, on the given number of goroutines, and returns the first error. It
// makes all calls even after an error.
func ForEach(count, workers int, do func(n int) error) error {
	var (
		last    atomic.Int64
		running sync.WaitGroup
		once    sync.Once
		first   error
	)
	for range workers {
		running.Go(func() {
			for n := int(last.Add(1)); n <= count; n = int(last.Add(1)) {
				if err := do(n); err != nil {
					once.Do(func() { first = err })
				}
			}
		})
	}
	running.Wait()
	return first
}
