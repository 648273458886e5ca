package largelist

import (
	"context"
	"time"

	"pinedale/internal/ctxtime"
	"pinedale/internal/standin/fakediscovery"
)

// A release replaces six in ten servers. In each step some of them begin to drain while as many new ones become ready.
// The draining ones are removed drainTime later.
const (
	releaseSteps    = 6
	releaseInterval = 600 * time.Millisecond
	releaseDelay    = time.Second
	replacedTenths  = 6
	drainTime       = 3500 * time.Millisecond
)

// runRelease replaces servers in steps, until the release is complete or ctx is done.
func (r *testRun) runRelease(ctx context.Context) {
	if !ctxtime.Sleep(ctx, releaseDelay) {
		return
	}
	began := time.Now()
	hosts := r.initialHosts()
	perStep := len(hosts) * replacedTenths / 10 / releaseSteps
	var removed []fakediscovery.Host
	for step := range releaseSteps {
		var changes []fakediscovery.Host
		for _, host := range hosts[step*perStep : (step+1)*perStep] {
			host.State = fakediscovery.StateTerminating
			changes = append(changes, host)
			host.State = fakediscovery.StateGone
			removed = append(removed, host)
		}
		if added, err := r.servers.start(perStep, time.Now()); err == nil {
			changes = append(changes, added...)
		}
		r.discovery.ApplyChanges(changes...)
		if !ctxtime.Sleep(ctx, releaseInterval) {
			return
		}
	}
	for step := range releaseSteps {
		end := time.Duration(step)*releaseInterval + drainTime
		if !ctxtime.Sleep(ctx, time.Until(began.Add(end))) {
			return
		}
		r.discovery.ApplyChanges(removed[step*perStep : (step+1)*perStep]...)
	}
}

// initialHosts returns the servers of the first list in random order.
func (r *testRun) initialHosts() []fakediscovery.Host {
	r.discovery.Lock()
	defer r.discovery.Unlock()
	hosts := append([]fakediscovery.Host(nil), r.discovery.List.Hosts...)
	r.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts
}
