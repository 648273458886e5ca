package reconcile

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// report is one call of a source.
type report struct {
	at      time.Duration
	source  int
	kind    reportKind
	version uint64
	hosts   []engine.Host
}

type reportKind uint8

const (
	reportSnapshot reportKind = iota
	reportDelta
	reportUnavailable
)

func (r report) apply(reconciler *Reconciler) {
	switch r.kind {
	case reportSnapshot:
		reconciler.Snapshot(r.at, r.source, r.version, r.hosts)
	case reportDelta:
		reconciler.Delta(r.at, r.source, r.version, r.hosts)
	case reportUnavailable:
		reconciler.SourceUnavailable(r.at, r.source, "test")
	}
}

// randomNames are the names of all endpoints in random histories.
var randomNames = []string{"a", "b", "c", "d", "e"}

// randomHistory passes the same reports to two reconcilers. One is used through List, which
// decides only on endpoints that may have changed. The other is the reference, for which the test
// decides on all endpoints each time.
type randomHistory struct {
	t          *rapid.T
	kinds      []Kind
	reconciler *Reconciler
	reference  *Reconciler

	now       time.Duration
	hosts     map[string]engine.Host
	available [3]bool
	version   [3]uint64
	endedAt   map[string]time.Duration // when an end was reported that no source overrules, by name
}

func newRandomHistory(t *rapid.T) *randomHistory {
	h := &randomHistory{
		t:          t,
		kinds:      []Kind{Ephemeral, Discovery, Static},
		reconciler: New(DefaultConfig, discardLog()),
		reference:  New(DefaultConfig, discardLog()),
		now:        100 * time.Second,
		hosts:      map[string]engine.Host{},
		endedAt:    map[string]time.Duration{},
	}
	for _, kind := range h.kinds {
		h.reconciler.AddSource(kind, "x")
		h.reference.AddSource(kind, "x")
	}
	return h
}

// apply applies a report to the reconciler and to the reference.
func (h *randomHistory) apply(r report) {
	r.apply(h.reconciler)
	r.apply(h.reference)
}

// read applies the list, updates the reference, and checks that no endpoint is ready 2 s after its
// end was reported.
func (h *randomHistory) read() {
	if list, ok := h.reconciler.List(h.now); ok {
		applyList(h.hosts, list)
	}
	for _, s := range h.reference.sources {
		h.reference.evictDue(h.now, s)
	}
	for _, name := range randomNames {
		if h.reference.decide(h.now, name).listed {
			continue
		}
		for _, s := range h.reference.sources {
			delete(s.claims, name)
		}
	}
	for name, at := range h.endedAt {
		if host, ok := h.hosts[name]; ok && host.State == balancer.Ready && h.now >= at+2*time.Second {
			h.t.Fatalf("%s is ready %v after its end was reported", name, h.now-at)
		}
	}
}

// advance advances the time and reads the list at each deadline.
func (h *randomHistory) advance(duration time.Duration) {
	h.now = advanceTo(h.reconciler, h.now, h.now+duration, func(now time.Duration) {
		h.now = now
		h.read()
	})
}

// drawHost draws a ready or draining endpoint.
func (h *randomHistory) drawHost() engine.Host {
	name := rapid.SampledFrom(randomNames).Draw(h.t, "name")
	incarnation := rapid.IntRange(0, 2).Draw(h.t, "incarnation")
	host := newHost(name, int64(incarnation)*1000)
	host.State = balancer.State(rapid.IntRange(0, 1).Draw(h.t, "state"))
	return host
}

// snapshot reports a random complete list. It checks that an empty list leaves all endpoints
// ready.
func (h *randomHistory) snapshot(source int) {
	snapshot := report{at: h.now, source: source, kind: reportSnapshot, hosts: h.drawHosts()}
	h.version[source] = uint64(max(0, int(h.version[source])+rapid.IntRange(-1, 3).Draw(h.t, "version")))
	snapshot.version = h.version[source]
	readyBefore := countReady(h.hosts)
	h.available[source] = true
	for _, host := range snapshot.hosts {
		delete(h.endedAt, host.Name)
	}
	h.apply(snapshot)
	h.read()
	readyAfter := countReady(h.hosts)
	if h.kinds[source] != Static && len(snapshot.hosts) == 0 && readyAfter < readyBefore {
		h.t.Fatalf("an empty list made %d of %d ready endpoints unready", readyBefore-readyAfter, readyBefore)
	}
}

// drawHosts draws up to five endpoints with different names.
func (h *randomHistory) drawHosts() (hosts []engine.Host) {
	drawn := map[string]bool{}
	for range rapid.IntRange(0, 5).Draw(h.t, "length") {
		host := h.drawHost()
		if drawn[host.Name] {
			continue
		}
		drawn[host.Name] = true
		hosts = append(hosts, host)
	}
	return hosts
}

// delta reports a random change of one endpoint by an available source.
func (h *randomHistory) delta(source int) {
	host := h.drawHost()
	if rapid.Bool().Draw(h.t, "removed") {
		host.State = balancer.Removed
	}
	name := host.Name
	claimBefore := h.reconciler.sources[source].claims[name]
	wasListed := claimBefore != nil && claimBefore.state != stateVanished
	h.apply(report{
		at:      h.now,
		source:  source,
		kind:    reportDelta,
		version: h.version[source],
		hosts:   []engine.Host{host},
	})
	delete(h.endedAt, name)
	if host.State == balancer.Removed && wasListed && onlyClaim(h.reconciler, source, name) {
		h.endedAt[name] = h.now
	}
}

// unavailable reports that a source is unavailable. It checks that all endpoints remain ready.
func (h *randomHistory) unavailable(source int) {
	readyBefore := countReady(h.hosts)
	h.available[source] = false
	h.apply(report{at: h.now, source: source, kind: reportUnavailable})
	h.read()
	if readyAfter := countReady(h.hosts); readyAfter < readyBefore {
		h.t.Fatalf("the outage of a source made %d endpoints unready", readyBefore-readyAfter)
	}
}

// checkReady checks that each endpoint with an up claim, no end and no claim that flapped is ready.
func (h *randomHistory) checkReady() {
	for _, name := range randomNames {
		up, ended := false, false
		for _, s := range h.reconciler.sources {
			c := s.claims[name]
			if c == nil {
				continue
			}
			up = up || c.state == stateUp
			ended = ended || c.state == stateVanished || c.state == stateDraining || c.returns >= flapThreshold
		}
		if host, ok := h.hosts[name]; up && !ended && (!ok || host.State != balancer.Ready) {
			h.t.Fatalf("%s is up by each claim, but listed as %v (listed: %v)", name, host, ok)
		}
	}
}

// checkReference checks that the list agrees with the reference's decisions.
func (h *randomHistory) checkReference() {
	for _, name := range randomNames {
		want := h.reference.decide(h.now, name)
		got, listed := h.hosts[name]
		if want.listed != listed || listed && got != want.host {
			h.t.Fatalf("at %v, %s is listed as %v (listed: %v), by the reference as %v (listed: %v)",
				h.now, name, got, listed, want.host, want.listed)
		}
	}
}

// For random reports at random times, the list agrees with the reference, and all checks of
// randomHistory pass.
func TestRandomReportsAgreeWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRandomHistory(t)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			source := rapid.IntRange(0, 2).Draw(t, "source")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				h.snapshot(source)
			case 1:
				if !h.available[source] {
					continue
				}
				h.delta(source)
			case 2:
				h.unavailable(source)
			default:
				h.advance(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
			}
			h.advance(minListInterval)
			h.checkReady()
			h.checkReference()
		}
	})
}

// onlyClaim reports whether no other source has a claim on an endpoint. If so, an end remains valid
// until the same source reports the endpoint again.
func onlyClaim(reconciler *Reconciler, source int, name string) bool {
	for i, s := range reconciler.sources {
		if i != source && s.claims[name] != nil {
			return false
		}
	}
	return true
}

func countReady(hosts map[string]engine.Host) (count int) {
	for _, host := range hosts {
		if host.State == balancer.Ready {
			count++
		}
	}
	return count
}
