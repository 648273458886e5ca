package faulttest

import (
	"slices"
	"sync"
	"time"

	"pinedale/internal/faulttest/history"
	"pinedale/internal/standin/fakediscovery"
)

// drain is one drain of a server.
type drain struct {
	server      string
	listVersion uint64        // of the endpoint lists that first advertised the drain
	end         time.Duration // when the server was restarted, 0 before
}

// drainLog records the drains of a run.
type drainLog struct {
	listsMu sync.Mutex // held while all endpoint lists are updated, so that their versions stay equal

	mu      sync.Mutex
	started []drain
}

// updateLists changes a server's entry in all endpoint lists, and returns the new version of the lists.
func (r *testRun) updateLists(server string, update func(*fakediscovery.Host)) uint64 {
	r.drains.listsMu.Lock()
	defer r.drains.listsMu.Unlock()
	var version uint64
	for _, directory := range r.network.directories {
		directory.Change(func() {
			directory.List.Hosts = slices.Clone(directory.List.Hosts)
			for i := range directory.List.Hosts {
				if host := &directory.List.Hosts[i]; host.Name == server {
					update(host)
				}
			}
			directory.List.Seq++
			version = directory.List.Seq
		})
	}
	return version
}

// startDrain has discovery advertise that a server drains.
func (r *testRun) startDrain(server string) {
	version := r.updateLists(server, func(host *fakediscovery.Host) { host.State = healthDraining })
	r.drains.mu.Lock()
	defer r.drains.mu.Unlock()
	r.drains.started = append(r.drains.started, drain{server: server, listVersion: version})
}

// endDrain restarts a draining server, and has discovery advertise it as ready.
func (r *testRun) endDrain(server string) error {
	r.recordDrainEnd(server)
	_ = r.servers.stopServer(server) // if this fails, startServer fails too
	if err := r.servers.startServer(server); err != nil {
		return err
	}
	r.updateLists(server, func(host *fakediscovery.Host) {
		host.State = healthReady
		host.StartedMS = time.Now().UnixMilli()
	})
	return nil
}

func (r *testRun) recordDrainEnd(server string) {
	r.drains.mu.Lock()
	defer r.drains.mu.Unlock()
	for i := range r.drains.started {
		if started := &r.drains.started[i]; started.server == server && started.end == 0 {
			started.end = r.sinceLoadStart()
		}
	}
}

// observedDrains returns the drains together with what discovery services and paths have observed of them.
func (r *testRun) observedDrains() []history.Drain {
	r.drains.mu.Lock()
	defer r.drains.mu.Unlock()
	var observed []history.Drain
	for _, started := range r.drains.started {
		observed = append(observed, r.observedDrain(started))
	}
	return observed
}

// observedDrain returns one drain in the form of observedDrains.
func (r *testRun) observedDrain(started drain) history.Drain {
	observed := history.Drain{
		Server:   started.server,
		End:      started.end,
		Notified: map[string]time.Duration{},
		Sent:     map[string][]time.Duration{},
	}
	for instance, directory := range r.network.directories {
		if at, ok := directory.Acknowledged(started.listVersion); ok {
			observed.Notified[instance] = at.Sub(r.loadStart)
		}
		path := r.network.paths[endpoints{instance, started.server}]
		for _, arrival := range path.Arrivals() {
			observed.Sent[instance] = append(observed.Sent[instance], arrival.Sub(r.loadStart))
		}
	}
	return observed
}
