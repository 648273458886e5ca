package multisource

import (
	"context"
	"encoding/json"
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
	"pinedale/internal/standin/coord"
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/wait"
)

const (
	session = 600 * time.Millisecond
)

// world is a combined source and what it told, folded as the engine does.
type world struct {
	t       *testing.T
	service *coord.Service
	dir     *directory.Directory

	mu    sync.Mutex
	hosts map[string]engine.Host
	lists int
	low   int // fewest ready ones since it was set
	log   strings.Builder
}

func (w *world) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log.Write(p)
}

func (w *world) tell(_ balancer.ListKind, list engine.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lists++
	if list.Complete {
		w.hosts = map[string]engine.Host{}
	}
	for _, h := range list.Hosts {
		if h.State == balancer.Removed {
			delete(w.hosts, h.Name)
		} else {
			w.hosts[h.Name] = h
		}
	}
	w.low = min(w.low, len(w.readyLocked()))
}

func (w *world) readyLocked() (names []string) {
	for name, h := range w.hosts {
		if h.State == balancer.Ready {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (w *world) ready() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.readyLocked(), " ")
}

func (w *world) said(what string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(w.log.String(), what)
}

func start(t *testing.T, cfg reconcile.Config, parts func(w *world) []Input, nodes ...string) *world {
	t.Helper()
	w := &world{t: t, hosts: map[string]engine.Host{}}
	var err error
	if w.service, err = coord.Start(2); err != nil {
		t.Fatal(err)
	}
	if w.dir, err = directory.Start(); err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes {
		w.put(n)
	}
	log := slog.New(slog.NewTextHandler(w, nil))
	all := []Input{{reconcile.Ephemeral, "/soko", ephemeral.New(ephemeral.Options{Servers: w.service.Addresses(), Path: "/soko",
		Session: session, Log: log, Rules: ephemeral.Rules{Sites: []string{"a"}, Kinds: []string{"m1"}}})}}
	if parts != nil {
		all = append(all, parts(w)...)
	}
	s := New(cfg, log, all...)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.Watch(ctx, nil, w.tell)
		close(done)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		w.service.Close()
		w.dir.Close()
		goleak.VerifyNone(t)
	})
	return w
}

func (w *world) put(name string) {
	data, _ := json.Marshal(ephemeral.Data{Address: "127.0.0.1:1", Site: "a", StartedMS: 1000})
	w.service.Put("/soko/"+name, data)
}

func (w *world) until(what string, is func() bool) {
	w.t.Helper()
	wait.Until(w.t, what, is, w.ready, w.log.String)
}

func (w *world) shows(names string) {
	w.t.Helper()
	w.until("the list "+names, func() bool { return w.ready() == names })
}

// watchLow begins to note the fewest ready ones.
func (w *world) watchLow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.low = len(w.hosts)
}

// A service that loses all its nodes in a silence, or a restart, takes nobody out;
// the reason is told, and who registers anew is as if nothing had been.
func TestServiceLosesAll(t *testing.T) {
	for name, lose := range map[string]func(w *world){
		"in silence": func(w *world) {
			w.service.Silence(true)
			w.until("the silence", func() bool { return w.said("silent: no connection") })
			for _, n := range w.service.Nodes("/soko") {
				w.service.Drop("/soko/" + n)
			}
			w.service.Silence(false)
		},
		"with a broken connection": func(w *world) {
			w.service.Refuse(true)
			for _, n := range w.service.Nodes("/soko") {
				w.service.Drop("/soko/" + n)
			}
			w.service.Refuse(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, reconcile.DefaultConfig, nil, "a", "b", "c")
			w.shows("a b c")
			w.watchLow()
			lose(w)
			w.until("the reason", func() bool { return w.said("missing from its empty list") })
			w.put("b")
			w.put("a")
			w.put("c")
			w.put("d")
			w.shows("a b c d")
			if w.low < 3 {
				t.Errorf("only %d were ready for a while", w.low)
			}
		})
	}
}

// A server whose session expires registers anew by itself, and is let in again in the
// same life, as soon as its node is back.
func TestSessionOfAHealthyServerExpires(t *testing.T) {
	w := start(t, reconcile.DefaultConfig, nil, "a")
	r, err := register.New(register.Options{Servers: w.service.Addresses(), Path: "/soko", Name: "s", Session: session,
		Data: ephemeral.Data{Address: "127.0.0.1:7", Site: "a", StartedMS: 5000}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	defer func() { stop(); <-done }()
	w.shows("a s")
	w.watchLow()
	w.service.ExpireSession(w.service.Owner("/soko/s"))
	w.until("its node's end", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.low == 1 })
	w.shows("a s")
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.hosts["s"]; h.StartedMS != 5000 {
		t.Errorf("back as %+v, want the same life", h)
	}
}

// Beside discovery: what is new there counts at once, what it has gone goes though
// the coordination service is silent, and its failures empty nothing.
func TestBesideDiscovery(t *testing.T) {
	w := start(t, reconcile.DefaultConfig, func(w *world) []Input {
		w.dir.List = directory.Document{Seq: 1, Whole: true, Hosts: []directory.Host{directory.Ready("a", "127.0.0.1:1"), directory.Ready("b", "127.0.0.1:1")}}
		return []Input{{reconcile.Discovery, w.dir.Address, SourceFeeder{registry.New(w.dir.Address, registry.PollTiming)}}}
	}, "a", "b", "c")
	w.shows("a b c")
	w.service.Silence(true)
	w.until("the silence", func() bool { return w.said("silent: no connection") })
	set := func(seq uint64, names ...string) {
		w.dir.Change(func() {
			w.dir.List = directory.Document{Seq: seq, Whole: true, Hosts: nil}
			for _, n := range names {
				w.dir.List.Hosts = append(w.dir.List.Hosts, directory.Ready(n, "127.0.0.1:1"))
			}
		})
	}
	set(2, "b", "d")
	w.shows("b c d")
	w.dir.Change(func() { w.dir.Down = true })
	w.until("discovery's failure", func() bool { return w.said("discovery " + w.dir.Address + ": silent") })
	w.shows("b c d")
	w.dir.Change(func() { w.dir.Down = false })
	set(3, "b", "d", "e")
	w.shows("b c d e")
	w.service.Silence(false)
	w.until("it is back", func() bool { return w.said("ephemeral nodes /soko: back") })
}

// Beside a static list its servers stand though no node does, and a node's end is
// stronger than the list.
func TestBesideAStaticList(t *testing.T) {
	w := start(t, reconcile.DefaultConfig, func(*world) []Input {
		return []Input{{reconcile.Static, "of the file", SourceFeeder{static.New([]engine.Host{
			{Name: "a", Address: "127.0.0.1:9", Site: "a", Weight: 1}, {Name: "z", Address: "127.0.0.1:9", Site: "a", Weight: 1}})}}}
	}, "a")
	w.shows("a z")
	w.until("what its node says of a", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.hosts["a"].Address == "127.0.0.1:1"
	})
	w.service.Drop("/soko/a")
	w.shows("z")
	w.put("a")
	w.shows("a z")
}

// A storm of changes is few lists.
func TestStorm(t *testing.T) {
	w := start(t, reconcile.DefaultConfig, nil, "a", "b")
	w.shows("a b")
	w.mu.Lock()
	before := w.lists
	w.mu.Unlock()
	began := time.Now()
	for i := range 300 {
		w.put(fmt.Sprint("n", i%30))
		w.service.Drop(fmt.Sprint("/soko/n", i%30))
	}
	w.put("last")
	w.until("the last", func() bool { return strings.Contains(w.ready(), "last") })
	w.mu.Lock()
	defer w.mu.Unlock()
	if most := int(time.Since(began)/(20*time.Millisecond)) + 2; w.lists-before > most {
		t.Errorf("%d lists in %v, want at most %d", w.lists-before, time.Since(began), most)
	}
}
