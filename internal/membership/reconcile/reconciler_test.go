package reconcile

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
	"pinedale/internal/engine"
	_ "pinedale/internal/standin/seeds"
)

const sec = time.Second

func host(name string, born int64) engine.Host {
	return engine.Host{Name: name, Address: "127.0.0.1:1", Site: "a", Weight: 1, StartedMS: born}
}

func entries(names ...string) (all []Entry) {
	for _, n := range names {
		all = append(all, Entry{Host: host(n, 0)})
	}
	return all
}

func change(name string, s balancer.State) []Entry {
	h := host(name, 0)
	h.State = s
	return []Entry{{Host: h}}
}

// world folds a merge's lists into one, as the engine does.
type world struct {
	t     *testing.T
	m     *Reconciler
	now   time.Duration
	hosts map[string]engine.Host
	logs  []string
	lists int
}

func newWorld(t *testing.T, kinds ...Kind) *world {
	w := &world{t: t, hosts: map[string]engine.Host{}, now: 100 * sec}
	w.m = New(DefaultConfig, func(line string) { w.logs = append(w.logs, line) })
	for i, k := range kinds {
		w.m.Add(k, fmt.Sprint(i))
	}
	return w
}

func fold(hosts map[string]engine.Host, list engine.List) {
	if list.Complete {
		clear(hosts)
	}
	for _, h := range list.Hosts {
		if h.State == balancer.Removed {
			delete(hosts, h.Name)
		} else {
			hosts[h.Name] = h
		}
	}
}

func (w *world) read() {
	if list, ok := w.m.List(w.now); ok {
		w.lists++
		fold(w.hosts, list)
	}
}

// pass lets time go on and reads whenever the merge wants to be read.
func (w *world) pass(d time.Duration) {
	end := w.now + d
	for {
		at := w.m.NextDeadline()
		if at == 0 || at > end {
			break
		}
		w.now = max(at, w.now+time.Millisecond)
		w.read()
	}
	w.now = max(w.now, end)
	w.read()
}

// is checks the names of the ready ones.
func (w *world) is(what string, names string) {
	w.t.Helper()
	w.pass(gap)
	var ready []string
	for name, h := range w.hosts {
		if h.State == balancer.Ready {
			ready = append(ready, name)
		}
	}
	slices.Sort(ready)
	if got := strings.Join(ready, " "); got != names {
		w.t.Errorf("%s: ready are %q, want %q", what, got, names)
	}
}

func (w *world) said(what string) bool {
	return slices.ContainsFunc(w.logs, func(l string) bool { return strings.Contains(l, what) })
}

// A vanished node takes its endpoint out at once. Back in the same life it finds
// what was learned: it was listed as draining meanwhile, not as gone.
func TestVanishedNode(t *testing.T) {
	w := newWorld(t, Ephemeral)
	w.m.Snapshot(w.now, 0, 1, entries("a", "b"))
	w.is("at first", "a b")
	w.m.Delta(w.now, 0, 2, change("a", balancer.Removed))
	w.is("vanished", "b")
	if w.hosts["a"].State != balancer.Draining {
		t.Errorf("it is listed as %v, want draining", w.hosts["a"].State)
	}
	w.m.Delta(w.now, 0, 3, change("a", balancer.Ready))
	w.is("back", "a b")
	w.m.Delta(w.now, 0, 4, change("a", balancer.Removed))
	w.pass(lingers + sec)
	if _, listed := w.hosts["a"]; listed || len(w.m.pending)+len(w.m.sources[0].claims) != 1 {
		t.Errorf("a minute later it is still listed, or known: %v", w.hosts)
	}
}

// A session may expire while its server serves well: the rule holds at once, and
// the server is believed again once discovery, which cannot be so late, lists it.
func TestExpiredButRunning(t *testing.T) {
	for _, drained := range []bool{false, true} {
		w := newWorld(t, Ephemeral, Discovery)
		w.m.Snapshot(w.now, 0, 1, entries("a", "b"))
		w.m.Snapshot(w.now, 1, 1, entries("a", "b"))
		w.is("at first", "a b")
		if drained {
			w.m.Delta(w.now, 0, 2, change("a", balancer.Draining))
		}
		w.m.Delta(w.now, 0, 2, change("a", balancer.Removed))
		w.is("expired", "b")
		w.pass(DefaultConfig.MaxDiscoveryLag / 2)
		w.m.Snapshot(w.now, 1, 2, entries("a", "b"))
		w.is("discovery is late", "b")
		w.pass(DefaultConfig.MaxDiscoveryLag)
		w.is("nothing was heard of discovery since", "b")
		w.m.Snapshot(w.now, 1, 3, entries("a", "b"))
		if drained { // it took its node away itself
			w.is("drained", "b")
			continue
		}
		w.is("discovery has heard by now", "a b")
		w.m.SourceSilent(w.now, 1, "test")
		w.m.Snapshot(w.now, 1, 4, entries("b"))
		w.is("discovery has it gone", "b")
	}
}

// Silence takes nobody out, and lets nobody in; what others tell still counts.
func TestSilence(t *testing.T) {
	w := newWorld(t, Ephemeral, Discovery)
	w.m.Snapshot(w.now, 0, 1, entries("a", "b", "c"))
	w.m.Snapshot(w.now, 1, 1, entries("a", "b", "c"))
	w.m.SourceSilent(w.now, 0, "no answer")
	w.m.SourceSilent(w.now, 0, "no answer")
	w.pass(10 * time.Minute)
	w.is("minutes of silence", "a b c")
	if !w.said("silent: no answer") || len(w.logs) != 1 {
		t.Errorf("said %q, want one line", w.logs)
	}
	w.m.Delta(w.now, 1, 2, change("b", balancer.Removed))
	w.is("gone by discovery", "a c")
	w.m.Delta(w.now, 1, 2, change("d", balancer.Ready))
	w.is("new by discovery", "a c d")
}

// A source that comes back with an empty or a far shorter list has lost them more
// likely than they have ended. They are held, and go few at a time unless they come
// back; an empty list drops nobody, ever.
func TestMassEvictionGuard(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct {
		name    string
		silent  bool
		version uint64
		left    []string
		at      string // once
		after   string // half a minute later
		later   string // after a minute more
		says    string
	}{
		{"empty after silence", true, 9, nil, "a b c d e f", "a b c d e f", "a b c d e f", "empty"},
		{"empty without silence", false, 9, nil, "a b c d e f", "a b c d e f", "a b c d e f", "empty"},
		{"shorter after silence", true, 9, []string{"a"}, "a b c d e f", "a d e f", "a e f", "first"},
		{"older", false, 1, []string{"a"}, "a b c d e f", "a d e f", "a e f", "older"},
		{"a little shorter after silence", true, 9, []string{"a", "b", "c", "d"}, "a b c d", "a b c d", "a b c d", ""},
		{"shorter while it lives", false, 9, []string{"a"}, "a", "a", "a", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Ephemeral)
			w.m.Snapshot(w.now, 0, 5, entries(all...))
			w.is("at first", "a b c d e f")
			if c.silent {
				w.m.SourceSilent(w.now, 0, "test")
			}
			w.m.Snapshot(w.now, 0, c.version, entries(c.left...))
			w.is("at once", c.at)
			w.pass(DefaultConfig.HoldTime + sec)
			w.is("after the hold", c.after)
			w.pass(DefaultConfig.HoldTime + sec)
			w.is("a hold later", c.later)
			if c.says != "" && !w.said("missing from its "+c.says+" list") {
				t.Errorf("said %q", w.logs)
			}
		})
	}
	// What comes back while it is held is as if nothing had been.
	w := newWorld(t, Ephemeral)
	w.m.Snapshot(w.now, 0, 5, entries(all...))
	w.m.SourceSilent(w.now, 0, "test")
	w.m.Snapshot(w.now, 0, 6, nil)
	for i := range all {
		w.m.Snapshot(w.now, 0, uint64(7+i), entries(all[:i+1]...))
		w.pass(sec)
	}
	w.is("all have registered anew", "a b c d e f")
	w.pass(10 * DefaultConfig.HoldTime)
	w.is("and stay", "a b c d e f")
}

// What is held goes at its instant, whenever the list is next asked for: a server that another source names right
// after it has arrived since, and serves at once. Taken to end later than that, it would wait for Lag.
func TestHeldGoesBeforeWhatIsToldNext(t *testing.T) {
	w := newWorld(t, Ephemeral, Discovery)
	w.m.Snapshot(w.now, 0, 1, entries("a"))
	w.is("at first", "a")
	w.m.Snapshot(w.now, 0, 2, nil)
	w.m.Delta(w.now, 0, 3, change("b", balancer.Ready))
	w.m.Snapshot(w.now, 0, 4, entries("b"))
	w.now += DefaultConfig.HoldTime - gap/4
	w.m.Delta(w.now, 0, 5, change("c", balancer.Ready))
	w.read() // no list is given within the gap from here
	w.now += gap / 2
	w.m.Delta(w.now, 1, 1, change("a", balancer.Ready))
	w.is("named after its hold was over", "a b c")
}

// A node that flaps ten times a second ends up out, is let in again once it stays,
// and lists are no more than the gap allows.
func TestFlapping(t *testing.T) {
	w := newWorld(t, Ephemeral)
	w.m.Snapshot(w.now, 0, 1, entries("a", "b"))
	w.is("at first", "a b")
	before := w.lists
	for range 100 {
		w.m.Delta(w.now, 0, 2, change("a", balancer.Removed))
		w.pass(50 * time.Millisecond)
		w.m.Delta(w.now, 0, 3, change("a", balancer.Ready))
		w.pass(50 * time.Millisecond)
	}
	if n := w.lists - before; n > 20 {
		t.Errorf("%d lists for a hundred changes of a node that is not believed", n)
	}
	w.is("flapping", "b")
	w.pass(flapWaitMost + sec)
	w.is("it stays", "a b")
	if h := w.hosts["a"]; h.StartedMS != 0 {
		t.Errorf("it has a new start time: %v", h)
	}
	if !w.said("comes and goes") || len(w.logs) != 1 {
		t.Errorf("said %q, want one line", w.logs)
	}
}

// The same address under a new start time is a new life, whatever was told of the
// old one; who knows of a newer life is believed.
func TestNewLife(t *testing.T) {
	w := newWorld(t, Ephemeral, Discovery)
	w.m.Snapshot(w.now, 0, 1, []Entry{{Host: host("a", 1000)}})
	w.m.Snapshot(w.now, 1, 1, []Entry{{Host: host("a", 1000)}})
	w.m.Delta(w.now, 0, 2, []Entry{{Host: host("a", 2000)}})
	w.pass(sec)
	if h := w.hosts["a"]; h.StartedMS != 2000 || h.State != balancer.Ready {
		t.Errorf("listed %v, want the new life", h)
	}
	gone := host("a", 1000)
	gone.State = balancer.Removed
	w.m.Delta(w.now, 1, 2, []Entry{{Host: gone}})
	w.is("discovery hears of the old one's end", "a")
}

// Where sources differ on an endpoint its own node is believed, and a drain wins.
func TestContradictions(t *testing.T) {
	w := newWorld(t, Static, Discovery, Ephemeral)
	at := func(dial string) []Entry {
		h := host("a", 0)
		h.Address = dial
		return []Entry{{Host: h}}
	}
	w.m.Snapshot(w.now, 0, 1, at("127.0.0.1:10"))
	w.m.Snapshot(w.now, 1, 1, at("127.0.0.1:11"))
	w.m.Snapshot(w.now, 2, 1, at("127.0.0.1:12"))
	w.is("three words", "a")
	if h := w.hosts["a"]; h.Address != "127.0.0.1:12" {
		t.Errorf("at %s, want its own node's word", h.Address)
	}
	w.pass(sec)
	w.m.Delta(w.now, 1, 2, change("a", balancer.Draining))
	w.is("discovery says that it drains", "")
	w.pass(sec)
	w.m.Delta(w.now, 1, 3, change("a", balancer.Ready))
	w.is("and not any more", "a")
	w.m.Delta(w.now, 2, 2, change("a", balancer.Removed))
	w.pass(time.Hour)
	w.is("a static list does not overrule a vanished node", "")
}

// event is one thing that a source told.
type event struct {
	at      time.Duration
	source  int
	what    int // 0 whole, 1 change, 2 silent
	version uint64
	entries []Entry
}

func (e event) tell(m *Reconciler) {
	switch e.what {
	case 0:
		m.Snapshot(e.at, e.source, e.version, e.entries)
	case 1:
		m.Delta(e.at, e.source, e.version, e.entries)
	case 2:
		m.SourceSilent(e.at, e.source, "test")
	}
}

// TestRandomHistories holds the merge, which looks only at what has changed, against
// a plain reference that looks at everything, and both against the rules.
func TestRandomHistories(t *testing.T) {
	kinds := []Kind{Ephemeral, Discovery, Static}
	rapid.Check(t, func(t *rapid.T) {
		m, plain := New(DefaultConfig, func(string) {}), New(DefaultConfig, func(string) {})
		for _, k := range kinds {
			m.Add(k, "x")
			plain.Add(k, "x")
		}
		hosts, now := map[string]engine.Host{}, 100*sec
		live, version := [3]bool{}, [3]uint64{}
		ended := map[string]time.Duration{} // when a live source told an end that nothing has overruled
		names := []string{"a", "b", "c", "d", "e"}
		read := func() {
			if list, ok := m.List(now); ok {
				fold(hosts, list)
			}
			// The reference: all names, every time. It forgets what is over, too.
			for _, s := range plain.sources {
				plain.release(now, s)
			}
			for _, name := range names {
				if _, ok, _ := plain.decide(now, name); !ok {
					for _, s := range plain.sources {
						delete(s.claims, name)
					}
				}
			}
			for name, at := range ended {
				if h, ok := hosts[name]; ok && h.State == balancer.Ready && now >= at+2*sec {
					t.Fatalf("%s is ready %v after its end was told", name, now-at)
				}
			}
		}
		pass := func(d time.Duration) {
			end := now + d
			for {
				at := m.NextDeadline()
				if at == 0 || at > end {
					break
				}
				now = max(at, now+time.Millisecond)
				read()
			}
			now = max(now, end)
			read()
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			n := rapid.IntRange(0, 2).Draw(t, "source")
			e := event{at: now, source: n}
			entry := func() Entry {
				h := host(rapid.SampledFrom(names).Draw(t, "name"), int64(rapid.IntRange(0, 2).Draw(t, "life"))*1000)
				h.State = balancer.State(rapid.IntRange(0, 1).Draw(t, "state"))
				return Entry{Host: h}
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				seen := map[string]bool{}
				for range rapid.IntRange(0, 5).Draw(t, "length") {
					if x := entry(); !seen[x.Host.Name] {
						seen[x.Host.Name] = true
						e.entries = append(e.entries, x)
					}
				}
				version[n] = uint64(max(0, int(version[n])+rapid.IntRange(-1, 3).Draw(t, "version")))
				e.version = version[n]
				ready := countReady(hosts)
				suspect := !live[n]
				live[n] = true
				for _, x := range e.entries {
					delete(ended, x.Host.Name)
				}
				e.tell(m)
				e.tell(plain)
				read()
				// An empty list, or the first one after silence, does not empty ours.
				if (suspect || len(e.entries) == 0) && ready > 0 && kinds[n] != Static && len(e.entries) == 0 && countReady(hosts) < ready {
					t.Fatalf("an empty list took %d of %d out", ready-countReady(hosts), ready)
				}
			case 1:
				if !live[n] {
					continue
				}
				e.what, e.version = 1, version[n]
				x := entry()
				if rapid.Bool().Draw(t, "gone") {
					x.Host.State = balancer.Removed
				}
				e.entries = []Entry{x}
				was := m.sources[n].claims[x.Host.Name]
				known := was != nil && was.state != vanished
				e.tell(m)
				e.tell(plain)
				delete(ended, x.Host.Name)
				if x.Host.State == balancer.Removed && known && onlyWord(m, n, x.Host.Name) {
					ended[x.Host.Name] = now
				}
			case 2:
				e.what = 2
				ready := countReady(hosts)
				live[n] = false
				e.tell(m)
				e.tell(plain)
				read()
				if countReady(hosts) < ready {
					t.Fatalf("silence took %d out", ready-countReady(hosts))
				}
			default:
				pass(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
			}
			pass(gap)
			// Who is there by every word, and has not flapped, is sent to.
			for _, name := range names {
				there, ended := false, false
				for _, s := range m.sources {
					if c := s.claims[name]; c != nil {
						there = there || c.state == up
						ended = ended || c.state == vanished || c.state == draining || c.flaps >= flapMost
					}
				}
				if h, ok := hosts[name]; there && !ended && (!ok || h.State != balancer.Ready) {
					t.Fatalf("%s is there by every word, and listed as %v (%v)", name, h, ok)
				}
			}
			for _, name := range names {
				want, ok, _ := plain.decide(now, name)
				got, is := hosts[name]
				if ok != is || ok && got != want {
					t.Fatalf("at %v %s is listed as %v (%v), by the reference %v (%v)", now, name, got, is, want, ok)
				}
			}
		}
	})
}

// onlyWord says that no other source has ever spoken of an endpoint: then its end is
// the last word until the same source speaks again.
func onlyWord(m *Reconciler, n int, name string) bool {
	for i, s := range m.sources {
		if i != n && s.claims[name] != nil {
			return false
		}
	}
	return true
}

func countReady(hosts map[string]engine.Host) (n int) {
	for _, h := range hosts {
		if h.State == balancer.Ready {
			n++
		}
	}
	return n
}
