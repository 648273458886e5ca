package multisource

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/membership/register"
	"pinedale/internal/membership/registry"
	"pinedale/internal/membership/static"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/fakezookeeper"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/wait"
)

const (
	// sessionTimeout is short, so that an outage is noticed soon.
	sessionTimeout = 600 * time.Millisecond

	// ephemeralUnavailable matches the log line of an outage of the coordination service.
	ephemeralUnavailable = `membership source unavailable.* reason="no connection"`
)

// harness runs a source and applies its lists as the engine does.
type harness struct {
	t         *testing.T
	service   *fakezookeeper.Service
	discovery *fakediscovery.Directory
	log       logcapture.Buffer

	mu       sync.Mutex
	hosts    map[string]engine.Host
	lists    int // number of lists received
	minReady int // minimum number of ready endpoints since recordMinReady
}

// applyList is called by the source's watch.
func (h *harness) applyList(_ balancer.ListKind, list engine.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lists++
	if list.Complete {
		h.hosts = map[string]engine.Host{}
	}
	for _, host := range list.Hosts {
		if host.State == balancer.Removed {
			delete(h.hosts, host.Name)
		} else {
			h.hosts[host.Name] = host
		}
	}
	h.minReady = min(h.minReady, len(h.readyLocked()))
}

// readyLocked returns the names of the ready endpoints, sorted. The harness must be locked.
func (h *harness) readyLocked() (names []string) {
	for name, host := range h.hosts {
		if host.State == balancer.Ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ready returns the names of the ready endpoints, sorted and separated by spaces.
func (h *harness) ready() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.readyLocked(), " ")
}

// logged reports whether a line matches a pattern.
func (h *harness) logged(pattern string) bool { return h.log.Find(pattern) != nil }

// start runs a source of ephemeral nodes and of further inputs until the test ends. others may be
// nil.
func start(t *testing.T, others func(h *harness) []Input, nodes ...string) *harness {
	t.Helper()
	h := &harness{t: t, hosts: map[string]engine.Host{}}
	var err error
	if h.service, err = fakezookeeper.Start(2); err != nil {
		t.Fatal(err)
	}
	if h.discovery, err = fakediscovery.Start(); err != nil {
		t.Fatal(err)
	}
	for _, node := range nodes {
		h.put(node)
	}
	client := ephemeral.New(ephemeral.Options{
		Servers:        h.service.Addresses(),
		Path:           "/soko",
		SessionTimeout: sessionTimeout,
		Log:            h.log.Logger(),
		Rules:          ephemeral.Rules{Sites: []string{"a"}, Kinds: []string{"m1"}},
	})
	inputs := []Input{{reconcile.Ephemeral, "/soko", client}}
	if others != nil {
		inputs = append(inputs, others(h)...)
	}
	source := New(reconcile.DefaultConfig, h.log.Logger(), inputs...)
	ctx, cancel := context.WithCancel(context.Background())
	watchEnded := make(chan error, 1)
	go func() {
		_, err := source.Watch(ctx, nil, h.applyList)
		watchEnded <- err
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-watchEnded; !errors.Is(err, context.Canceled) {
			t.Errorf("the watch ended with error %v, want context.Canceled", err)
		}
		h.service.Close()
		h.discovery.Close()
		goleak.VerifyNone(t)
	})
	return h
}

// put writes a server's node.
func (h *harness) put(name string) {
	h.t.Helper()
	data, err := json.Marshal(ephemeral.Data{Address: "127.0.0.1:1", Site: "a", StartedMS: 1000})
	if err != nil {
		h.t.Fatal(err)
	}
	h.service.Put("/soko/"+name, data)
}

// removeNodes removes all nodes of the service.
func (h *harness) removeNodes() {
	for _, node := range h.service.Children("/soko") {
		h.service.Delete("/soko/" + node)
	}
}

func (h *harness) waitUntil(what string, condition func() bool) {
	h.t.Helper()
	wait.Until(h.t, what, condition, h.ready, h.log.String)
}

func (h *harness) waitReady(names string) {
	h.t.Helper()
	h.waitUntil("the list "+names, func() bool { return h.ready() == names })
}

// recordMinReady begins to record the minimum number of ready endpoints.
func (h *harness) recordMinReady() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.minReady = len(h.hosts)
}

// If a service loses all its nodes in an outage or a restart, all endpoints remain ready and the
// reason is logged. Servers that register again keep their history.
func TestEndpointsRemainWhenServiceLosesAllNodes(t *testing.T) {
	for name, loseNodes := range map[string]func(h *harness){
		"in an outage": func(h *harness) {
			h.service.SetUnresponsive(true)
			h.waitUntil("the outage", func() bool { return h.logged(ephemeralUnavailable) })
			h.removeNodes()
			h.service.SetUnresponsive(false)
		},
		"with a broken connection": func(h *harness) {
			h.service.SetRejecting(true)
			h.removeNodes()
			h.service.SetRejecting(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, nil, "a", "b", "c")
			h.waitReady("a b c")
			h.recordMinReady()
			loseNodes(h)
			h.waitUntil("the reason", func() bool { return h.logged("missing endpoints retained.* snapshot=empty") })
			h.put("b")
			h.put("a")
			h.put("c")
			h.put("d")
			h.waitReady("a b c d")
			if h.minReady < 3 {
				t.Errorf("only %d endpoints were ready at one time, want at least 3", h.minReady)
			}
		})
	}
}

// A server whose session expires registers again by itself, and is ready in the same incarnation
// as soon as its node exists.
func TestServerReturnsAfterSessionExpiry(t *testing.T) {
	h := start(t, nil, "a")
	registrar, err := register.New(register.Options{
		Servers:        h.service.Addresses(),
		Path:           "/soko",
		Name:           "s",
		SessionTimeout: sessionTimeout,
		Data:           ephemeral.Data{Address: "127.0.0.1:7", Site: "a", StartedMS: 5000},
		Log:            slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runEnded := make(chan error, 1)
	go func() { runEnded <- registrar.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-runEnded; err != nil {
			t.Error(err)
		}
	})
	h.waitReady("a s")
	h.recordMinReady()
	h.service.ExpireSession(h.service.Owner("/soko/s"))
	h.waitUntil("the removal of its node", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.minReady == 1
	})
	h.waitReady("a s")
	h.mu.Lock()
	defer h.mu.Unlock()
	if host := h.hosts["s"]; host.StartedMS != 5000 {
		t.Errorf("the endpoint returned as %+v, want the same incarnation", host)
	}
}

// document returns a discovery document with a complete list of ready servers.
func document(version uint64, names ...string) fakediscovery.Document {
	list := fakediscovery.Document{Seq: version, Complete: true}
	for _, name := range names {
		list.Hosts = append(list.Hosts, fakediscovery.Ready(name, "127.0.0.1:1"))
	}
	return list
}

// With discovery as a second source, endpoints that it adds are ready at once, and endpoints that
// it removes are removed even while the coordination service is unavailable. If discovery fails,
// all endpoints remain ready.
func TestDiscoveryBesideEphemeralNodes(t *testing.T) {
	h := start(t, func(h *harness) []Input {
		h.discovery.List = document(1, "a", "b")
		client := registry.New(h.discovery.Address, registry.PollTiming(2*time.Second))
		return []Input{{reconcile.Discovery, h.discovery.Address, SourceFeeder{client}}}
	}, "a", "b", "c")
	h.waitReady("a b c")
	h.service.SetUnresponsive(true)
	h.waitUntil("the outage", func() bool { return h.logged(ephemeralUnavailable) })
	setList := func(version uint64, names ...string) {
		h.discovery.Change(func() { h.discovery.List = document(version, names...) })
	}
	setList(2, "b", "d")
	h.waitReady("b c d")
	h.discovery.Change(func() { h.discovery.Down = true })
	discoveryUnavailable := "membership source unavailable.* kind=discovery source=" + h.discovery.Address
	h.waitUntil("discovery's failure", func() bool { return h.logged(discoveryUnavailable) })
	h.waitReady("b c d")
	h.discovery.Change(func() { h.discovery.Down = false })
	setList(3, "b", "d", "e")
	h.waitReady("b c d e")
	h.service.SetUnresponsive(false)
	const recovered = "membership source recovered.* kind=ephemeral source=/soko"
	h.waitUntil("the recovery", func() bool { return h.logged(recovered) })
}

// With a static list as a second source, its servers are ready without a node, and the removal of
// a node overrules the list.
func TestStaticListBesideEphemeralNodes(t *testing.T) {
	h := start(t, func(*harness) []Input {
		list := static.New([]engine.Host{
			{Name: "a", Address: "127.0.0.1:9", Site: "a", Weight: 1},
			{Name: "z", Address: "127.0.0.1:9", Site: "a", Weight: 1},
		})
		return []Input{{reconcile.Static, "of the file", SourceFeeder{list}}}
	}, "a")
	h.waitReady("a z")
	h.waitUntil("the address of its node", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.hosts["a"].Address == "127.0.0.1:1"
	})
	h.service.Delete("/soko/a")
	h.waitReady("z")
	h.put("a")
	h.waitReady("a z")
}

// A burst of changes yields few lists.
func TestBurstOfChangesYieldsFewLists(t *testing.T) {
	h := start(t, nil, "a", "b")
	h.waitReady("a b")
	h.mu.Lock()
	listsBefore := h.lists
	h.mu.Unlock()
	burstStart := time.Now()
	for i := range 300 {
		h.put(fmt.Sprint("n", i%30))
		h.service.Delete(fmt.Sprint("/soko/n", i%30))
	}
	h.put("last")
	h.waitUntil("the last node", func() bool { return strings.Contains(h.ready(), "last") })
	h.mu.Lock()
	defer h.mu.Unlock()
	const minListInterval = 20 * time.Millisecond // of package reconcile
	limit := int(time.Since(burstStart)/minListInterval) + 2
	if lists := h.lists - listsBefore; lists > limit {
		t.Errorf("%d lists in %v, want at most %d", lists, time.Since(burstStart), limit)
	}
}
