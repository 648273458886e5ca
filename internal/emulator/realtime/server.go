package realtime

import (
	"context"
	"fmt"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/sockets"
	"pinedale/internal/emulator/trace"
	"pinedale/internal/engine"
)

// server returns the current process of a server, nil before the first.
func (r *runner) server(number int) *sockets.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.servers[number]
}

// startInitialServers starts the servers of the initial fleet.
func (r *runner) startInitialServers() error {
	for number := range r.scenario.Servers {
		incarnation := r.scenario.Servers[number].Incarnations[0]
		if incarnation.From > 0 {
			continue
		}
		if err := r.startServer(number, incarnation); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts a process of a server.
func (r *runner) startServer(number int, incarnation plan.Incarnation) error {
	spec := &r.scenario.Servers[number]
	var latencies []time.Duration
	for site := range r.scenario.Sites {
		latencies = append(latencies, r.scenario.Latency(site, spec.Site))
	}
	server, err := r.fleet.Start(sockets.ServerSpec{
		Name:      spec.Name,
		Group:     fmt.Sprint(spec.Pod),
		Config:    spec.Config,
		Seed:      r.scenario.ServerSeed(number),
		Warming:   incarnation.From > 0,
		Faults:    spec.Faults,
		Latencies: latencies,
	})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[number] = server
	r.serverNumbers[server] = number
	return nil
}

// scheduleIncarnations schedules the starts, drains and ends of processes during the run. cancel ends the run if a
// process fails to start.
func (r *runner) scheduleIncarnations(ctx context.Context, cancel context.CancelCauseFunc) {
	for number := range r.scenario.Servers {
		for _, incarnation := range r.scenario.Servers[number].Incarnations {
			r.scheduleIncarnation(ctx, cancel, number, incarnation)
		}
	}
}

func (r *runner) scheduleIncarnation(
	ctx context.Context, cancel context.CancelCauseFunc, number int, incarnation plan.Incarnation,
) {
	length := r.scenario.Length
	if incarnation.From > 0 && incarnation.From < length {
		r.at(ctx, incarnation.From, func() {
			if err := r.startServer(number, incarnation); err != nil {
				cancel(err)
				return
			}
			r.notifyInstances(ctx, number, incarnation, balancer.Ready)
		})
	}
	if incarnation.Drain < length {
		r.at(ctx, incarnation.Drain, func() {
			r.notifyInstances(ctx, number, incarnation, balancer.Draining)
		})
	}
	if incarnation.End < length {
		r.at(ctx, incarnation.End, func() {
			r.recordCollapse(number)
			r.server(number).Close()
			r.notifyInstances(ctx, number, incarnation, balancer.Removed)
		})
	}
}

// notifyInstances notifies every instance of a new state of a server, each after its own delay.
func (r *runner) notifyInstances(ctx context.Context, number int, incarnation plan.Incarnation, state balancer.State) {
	now := r.now()
	for i, instance := range r.instances {
		entry := r.hostEntry(number, incarnation, state, r.scenario.Instances[i])
		list := engine.List{Hosts: []engine.Host{entry}}
		r.at(ctx, now+r.scenario.NotificationDelay(number, i), func() {
			instance.engine.Call(func(now balancer.Micros) {
				instance.engine.UpdateEndpoints(now, balancer.ListDelta, list)
			})
			r.recordNotification(number, i, state)
		})
	}
}

// recordNotification records that an instance was notified of a new state of a server.
func (r *runner) recordNotification(server, instance int, state balancer.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := notificationKey{server: server, instance: instance}
	if state == balancer.Ready {
		delete(r.drainingSince, key)
	} else if _, known := r.drainingSince[key]; !known {
		r.drainingSince[key] = r.now()
	}
	r.emit(trace.Event{
		Kind:     trace.KindEndpoint,
		Instance: instance + 1,
		Server:   server + 1,
		Code:     int(state),
	})
}

// recordCollapse records a server that has collapsed. The caller must not hold mu, since the fleet's lock comes first.
func (r *runner) recordCollapse(number int) {
	server := r.server(number)
	if server == nil || !server.Collapsed() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.collapsed[number] {
		r.collapsed[number] = true
		r.emit(trace.Event{Kind: trace.KindCollapse, Server: number + 1})
	}
}
