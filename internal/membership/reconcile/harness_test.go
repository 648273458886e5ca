package reconcile

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/logcapture"
	_ "pinedale/internal/standin/seeds"
)

// newHost returns a ready endpoint.
func newHost(name string, startedMS int64) engine.Host {
	return engine.Host{Name: name, Address: "127.0.0.1:1", Site: "a", Weight: 1, StartedMS: startedMS}
}

// hosts returns ready endpoints without a start time.
func hosts(names ...string) (ready []engine.Host) {
	for _, name := range names {
		ready = append(ready, newHost(name, 0))
	}
	return ready
}

// change returns a list of one endpoint in a state.
func change(name string, state balancer.State) []engine.Host {
	host := newHost(name, 0)
	host.State = state
	return []engine.Host{host}
}

// applyList applies a list to an endpoint table as the engine does.
func applyList(hosts map[string]engine.Host, list engine.List) {
	if list.Complete {
		clear(hosts)
	}
	for _, host := range list.Hosts {
		if host.State == balancer.Removed {
			delete(hosts, host.Name)
		} else {
			hosts[host.Name] = host
		}
	}
}

// readyNames returns the names of the ready endpoints, sorted and separated by spaces.
func readyNames(hosts map[string]engine.Host) string {
	var ready []string
	for name, host := range hosts {
		if host.State == balancer.Ready {
			ready = append(ready, name)
		}
	}
	slices.Sort(ready)
	return strings.Join(ready, " ")
}

// harness drives a reconciler in virtual time and applies its lists.
type harness struct {
	t          *testing.T
	reconciler *Reconciler
	now        time.Duration
	hosts      map[string]engine.Host
	log        logcapture.Buffer
	lists      int // number of lists that were returned
}

// newHarness returns a harness with one source of each of the given kinds.
func newHarness(t *testing.T, kinds ...Kind) *harness {
	t.Helper()
	h := &harness{t: t, hosts: map[string]engine.Host{}, now: 100 * time.Second}
	h.reconciler = New(DefaultConfig, h.log.Logger())
	for i, kind := range kinds {
		h.reconciler.AddSource(kind, fmt.Sprint(i))
	}
	return h
}

func (h *harness) snapshot(source int, version uint64, hosts []engine.Host) {
	h.reconciler.Snapshot(h.now, source, version, hosts)
}

func (h *harness) delta(source int, version uint64, hosts []engine.Host) {
	h.reconciler.Delta(h.now, source, version, hosts)
}

func (h *harness) sourceUnavailable(source int, reason string) {
	h.reconciler.SourceUnavailable(h.now, source, reason)
}

// readList applies the list if there is one.
func (h *harness) readList() {
	if list, ok := h.reconciler.List(h.now); ok {
		h.lists++
		applyList(h.hosts, list)
	}
}

// advance advances the time and reads the list at each deadline.
func (h *harness) advance(duration time.Duration) {
	h.now = advanceTo(h.reconciler, h.now, h.now+duration, func(now time.Duration) {
		h.now = now
		h.readList()
	})
}

// advanceTo calls read at each of a reconciler's deadlines from now to end, and at the end. It
// returns the time of the last call.
func advanceTo(reconciler *Reconciler, now, end time.Duration, read func(now time.Duration)) time.Duration {
	for {
		deadline := reconciler.NextDeadline()
		if deadline == 0 || deadline > end {
			break
		}
		now = max(deadline, now+time.Millisecond)
		read(now)
	}
	now = max(now, end)
	read(now)
	return now
}

// wantReady checks the names of the ready endpoints, in the form of readyNames.
func (h *harness) wantReady(situation string, names string) {
	h.t.Helper()
	h.advance(minListInterval)
	if got := readyNames(h.hosts); got != names {
		h.t.Errorf("%s: ready endpoints %q, want %q", situation, got, names)
	}
}

// wantSingleLogLine checks that exactly one line was logged, and that it contains text.
func (h *harness) wantSingleLogLine(text string) {
	h.t.Helper()
	if h.log.Count("\n") != 1 {
		h.t.Errorf("logged %q, want one line", h.log.String())
	}
	if h.log.Count(text) != 1 {
		h.t.Errorf("logged %q, want a line with %q", h.log.String(), text)
	}
}

// discardLog returns a logger that discards its lines.
func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }
