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
	entries []Entry
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
		reconciler.Snapshot(r.at, r.source, r.version, r.entries)
	case reportDelta:
		reconciler.Delta(r.at, r.source, r.version, r.entries)
	case reportUnavailable:
		reconciler.SourceUnavailable(r.at, r.source, "test")
	}
}

var randomNames = []string{"a", "b", "c", "d", "e"}

// randomHistory drives a reconciler, which looks only at what has changed, and a
// reference, which looks at everything each time.
type randomHistory struct {
	t          *rapid.T
	kinds      []Kind
	reconciler *Reconciler
	reference  *Reconciler

	now       time.Duration
	hosts     map[string]engine.Host
	available [3]bool
	version   [3]uint64
	endedAt   map[string]time.Duration // when an available source reported an end that nothing has overruled
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

// read reads the list, has the reference decide on all names, and checks that ends count
// within 2 s.
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

// advance lets time pass and reads the list at each deadline.
func (h *randomHistory) advance(d time.Duration) {
	h.now = advanceTo(h.reconciler, h.now, h.now+d, func(now time.Duration) {
		h.now = now
		h.read()
	})
}

func (h *randomHistory) drawEntry() Entry {
	name := rapid.SampledFrom(randomNames).Draw(h.t, "name")
	incarnation := rapid.IntRange(0, 2).Draw(h.t, "incarnation")
	host := newHost(name, int64(incarnation)*1000)
	host.State = balancer.State(rapid.IntRange(0, 1).Draw(h.t, "state"))
	return Entry{Host: host}
}

// snapshot has a source report a complete list. An empty one, or the first one after an
// outage, does not empty ours.
func (h *randomHistory) snapshot(source int) {
	r := report{at: h.now, source: source, kind: reportSnapshot}
	seen := map[string]bool{}
	for range rapid.IntRange(0, 5).Draw(h.t, "length") {
		if entry := h.drawEntry(); !seen[entry.Host.Name] {
			seen[entry.Host.Name] = true
			r.entries = append(r.entries, entry)
		}
	}
	h.version[source] = uint64(max(0, int(h.version[source])+rapid.IntRange(-1, 3).Draw(h.t, "version")))
	r.version = h.version[source]
	before := countReady(h.hosts)
	h.available[source] = true
	for _, entry := range r.entries {
		delete(h.endedAt, entry.Host.Name)
	}
	h.apply(r)
	h.read()
	after := countReady(h.hosts)
	if h.kinds[source] != Static && len(r.entries) == 0 && after < before {
		h.t.Fatalf("an empty list took %d of %d out", before-after, before)
	}
}

// delta has an available source report on one endpoint.
func (h *randomHistory) delta(source int) {
	r := report{at: h.now, source: source, kind: reportDelta, version: h.version[source]}
	entry := h.drawEntry()
	if rapid.Bool().Draw(h.t, "removed") {
		entry.Host.State = balancer.Removed
	}
	r.entries = []Entry{entry}
	name := entry.Host.Name
	before := h.reconciler.sources[source].claims[name]
	known := before != nil && before.state != stateVanished
	h.apply(r)
	delete(h.endedAt, name)
	if entry.Host.State == balancer.Removed && known && onlyClaim(h.reconciler, source, name) {
		h.endedAt[name] = h.now
	}
}

// unavailable has a source fail, which takes nobody out.
func (h *randomHistory) unavailable(source int) {
	before := countReady(h.hosts)
	h.available[source] = false
	h.apply(report{at: h.now, source: source, kind: reportUnavailable})
	h.read()
	if after := countReady(h.hosts); after < before {
		h.t.Fatalf("an outage took %d out", before-after)
	}
}

// checkReady checks that an endpoint is ready that is up by each claim and has not
// flapped.
func (h *randomHistory) checkReady() {
	for _, name := range randomNames {
		up, ended := false, false
		for _, s := range h.reconciler.sources {
			if c := s.claims[name]; c != nil {
				up = up || c.state == stateUp
				ended = ended || c.state == stateVanished || c.state == stateDraining || c.returns >= flapThreshold
			}
		}
		if host, ok := h.hosts[name]; up && !ended && (!ok || host.State != balancer.Ready) {
			h.t.Fatalf("%s is up by each claim, and listed as %v (%v)", name, host, ok)
		}
	}
}

// checkReference checks that the list is what the reference decides.
func (h *randomHistory) checkReference() {
	for _, name := range randomNames {
		want := h.reference.decide(h.now, name)
		got, listed := h.hosts[name]
		if want.listed != listed || listed && got != want.host {
			h.t.Fatalf("at %v %s is listed as %v (%v), by the reference %v (%v)",
				h.now, name, got, listed, want.host, want.listed)
		}
	}
}

// TestRandomHistories holds the reconciler against the reference, and both against the
// rules.
func TestRandomHistories(t *testing.T) {
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

// onlyClaim reports whether no other source has ever reported on an endpoint: then an end
// stands until the same source reports again.
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
