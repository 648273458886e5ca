package faulttest

import (
	"slices"
	"sync"
	"time"

	"pinedale/internal/faulttest/history"
	"pinedale/internal/standin/fakediscovery"
)

// drain is a server's drain, from the list's version that advertises it.
type drain struct {
	server  string
	version uint64
	until   time.Duration // when the server was started anew, 0 while it drains
}

// drains are those that have begun, and the lists that advertise them.
type drains struct {
	listMu sync.Mutex // over a change of all lists
	mu     sync.Mutex
	begun  []drain
}

// updateLists changes a server's entry in all lists, and returns the version that has the change.
func (r *rig) updateLists(server string, change func(*fakediscovery.Host)) (version uint64) {
	r.drains.listMu.Lock()
	defer r.drains.listMu.Unlock()
	for _, d := range r.network.lists {
		d.Change(func() {
			hosts := slices.Clone(d.List.Hosts)
			for n := range hosts {
				if hosts[n].Name == server {
					change(&hosts[n])
				}
			}
			d.List.Hosts = hosts
			d.List.Seq++
			version = d.List.Seq
		})
	}
	return version
}

// startDrain has discovery advertise that a server drains.
func (r *rig) startDrain(server string) {
	version := r.updateLists(server, func(h *fakediscovery.Host) { h.Health = "Terminating" })
	r.drains.mu.Lock()
	defer r.drains.mu.Unlock()
	r.drains.begun = append(r.drains.begun, drain{server: server, version: version})
}

// endDrain starts a server anew, and has discovery advertise it.
func (r *rig) endDrain(server string) error {
	r.drains.mu.Lock()
	for n := range r.drains.begun {
		if d := &r.drains.begun[n]; d.server == server && d.until == 0 {
			d.until = r.sinceStart()
		}
	}
	r.drains.mu.Unlock()
	_ = r.requestServers("stop " + server) // it fails with the process alone, and then the start does, too
	if err := r.requestServers("start " + server); err != nil {
		return err
	}
	r.updateLists(server, func(h *fakediscovery.Host) { h.Health, h.StartedMS = "Ready", time.Now().UnixMilli() })
	return nil
}

// observedDrains is what the lists and paths have observed of the drains.
func (r *rig) observedDrains() (out []history.Drain) {
	for _, d := range r.drains.begun {
		observed := history.Drain{
			Server:   d.server,
			End:      d.until,
			Notified: map[string]time.Duration{},
			Sent:     map[string][]time.Duration{},
		}
		for name, list := range r.network.lists {
			if at, ok := list.Acknowledged(d.version); ok {
				observed.Notified[name] = at.Sub(r.began)
			}
			for _, at := range r.network.paths[path{name, d.server}].Arrivals() {
				observed.Sent[name] = append(observed.Sent[name], at.Sub(r.began))
			}
		}
		out = append(out, observed)
	}
	return out
}
