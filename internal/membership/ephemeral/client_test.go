package ephemeral

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
	"pinedale/internal/membership/reconcile"
	"pinedale/internal/standin/coord"
	"pinedale/internal/standin/logged"
	"pinedale/internal/standin/wait"
)

// session is short, so that silence is noticed soon; the library notices it after
// two thirds.
const session = 600 * time.Millisecond

var rules = Rules{Sites: []string{"arusha", "dar"}, Kinds: []string{"box"}}

// recorder keeps what a client tells, folded into one list.
type recorder struct {
	mu      sync.Mutex
	nodes   map[string]reconcile.Entry
	wholes  int
	changes int
	silent  int
	live    bool
	sizes   []int // of whole lists
}

func (r *recorder) Snapshot(_ uint64, entries []reconcile.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes, r.live = map[string]reconcile.Entry{}, true
	r.wholes++
	r.sizes = append(r.sizes, len(entries))
	for _, e := range entries {
		r.nodes[e.Host.Name] = e
	}
}

func (r *recorder) Delta(_ uint64, entries []reconcile.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes++
	for _, e := range entries {
		if e.Host.State == balancer.Removed {
			delete(r.nodes, e.Host.Name)
		} else {
			r.nodes[e.Host.Name] = e
		}
	}
}

func (r *recorder) SourceUnavailable(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent++
	r.live = false
}

func (r *recorder) names() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for name := range r.nodes {
		all = append(all, name)
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

func (r *recorder) get(f func() int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f()
}

type world struct {
	t       *testing.T
	service *coord.Service
	r       *recorder
	log     logged.Record
}

func data(port int, more string) []byte {
	return fmt.Appendf(nil, `{"address":"127.0.0.1:%d","site":"arusha"%s}`, port, more)
}

// start runs a client of a service with so many members, until the test ends.
func start(t *testing.T, members int, alter func(*Options), nodes ...string) *world {
	t.Helper()
	service, err := coord.Start(members)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, service: service, r: &recorder{nodes: map[string]reconcile.Entry{}}}
	for i, n := range nodes {
		service.Put("/soko/"+n, data(1000+i, ""))
	}
	o := Options{Servers: service.Addresses(), Path: "/soko", Session: session, Rules: rules, Log: slog.New(slog.NewTextHandler(&w.log, nil))}
	if alter != nil {
		alter(&o)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		New(o).Feed(ctx, w.r)
		close(done)
	}()
	t.Cleanup(func() {
		stop()
		<-done
		service.Close()
		goleak.VerifyNone(t)
	})
	return w
}

func (w *world) until(what string, is func() bool) {
	w.t.Helper()
	wait.Until(w.t, what, is, w.r.names, w.log.String)
}

func (w *world) shows(names string) {
	w.t.Helper()
	w.until("the list "+names, func() bool { return w.r.names() == names })
}

func TestNodesComeGoAndChange(t *testing.T) {
	w := start(t, 1, nil, "a", "b")
	w.shows("a b")
	w.service.Put("/soko/c", data(1, ""))
	w.shows("a b c")
	w.service.Drop("/soko/a")
	w.shows("b c")
	w.service.Put("/soko/b", data(2, `,"draining":true,"started_ms":5000`))
	w.until("the new data", func() bool {
		return w.r.get(func() int { return int(w.r.nodes["b"].Host.StartedMS) }) == 5000
	})
	if e := w.r.nodes["b"]; e.Host.State != balancer.Draining || e.Host.Address != "127.0.0.1:2" || e.Host.Site != "arusha" || e.Host.Weight != 1 {
		t.Errorf("b is %+v", e)
	}
	// Watches are set anew each time.
	for range 20 {
		w.service.Drop("/soko/c")
		w.shows("b")
		w.service.Put("/soko/c", data(1, ""))
		w.shows("b c")
	}
}

// A directory that is not there yet is waited for.
func TestDirectoryComesLater(t *testing.T) {
	w := start(t, 1, nil)
	w.until("an empty list", func() bool { return w.r.get(func() int { return w.r.wholes }) == 1 })
	w.service.Put("/soko/a", data(1, ""))
	w.shows("a")
}

// Bad data is one line in the log and leaves the other nodes alone; mended, it counts.
func TestBadData(t *testing.T) {
	w := start(t, 1, nil, "a", "b")
	w.shows("a b")
	w.service.Put("/soko/c", []byte("{"))
	w.service.Put("/soko/d", data(4, ""))
	w.shows("a b d")
	w.service.Put("/soko/a", []byte(`{"address":"here"}`))
	w.shows("b d")
	for i := range 10 { // other changes do not have it read, or told, again
		w.service.Put("/soko/b", data(100+i, ""))
		w.service.Drop("/soko/d")
		w.shows("b")
		w.service.Put("/soko/d", data(4, ""))
		w.shows("b d")
	}
	if n := w.log.Count("bad data"); n != 2 {
		t.Errorf("%d lines about bad data, want 2", n)
	}
	w.service.Put("/soko/a", data(1, ""))
	w.service.Put("/soko/c", data(3, ""))
	w.shows("a b c d")
}

// A connection is lost: the list stands, what changed meanwhile is read, and watches
// tell on.
func TestConnectionLost(t *testing.T) {
	w := start(t, 2, func(o *Options) { o.Session = 10 * time.Second }, "a", "b")
	w.shows("a b")
	for i := range 3 {
		w.service.Member(0).Break()
		w.service.Member(1).Break()
		w.service.Put(fmt.Sprintf("/soko/n%d", i), data(1, ""))
		w.service.Drop("/soko/b")
		w.until("the new list", func() bool {
			return strings.Contains(w.r.names(), fmt.Sprint("n", i)) && !strings.Contains(w.r.names(), "b")
		})
		w.service.Put("/soko/b", data(2, ""))
		w.until("the watch", func() bool { return strings.Contains(w.r.names(), "b") })
		w.service.Drop(fmt.Sprintf("/soko/n%d", i))
		w.shows("a b")
	}
	if w.r.get(func() int { return w.r.silent }) < 3 {
		t.Error("the silence was not told")
	}
}

// Our own session expires, as after a long pause: all is read anew, and watched.
func TestOwnSessionExpires(t *testing.T) {
	w := start(t, 1, nil, "a", "b")
	w.shows("a b")
	for range 2 {
		wholes := w.r.get(func() int { return w.r.wholes })
		w.service.Drop("/soko/b")
		w.service.ExpireSession(w.service.Sessions()[0])
		w.until("a new reading", func() bool { return w.r.get(func() int { return w.r.wholes }) > wholes })
		w.shows("a")
		w.service.Put("/soko/b", data(1, ""))
		w.shows("a b")
	}
}

// Silence with open connections is noticed by the session's time, and told; the
// list stands, and all is read when it ends.
func TestSilence(t *testing.T) {
	w := start(t, 1, nil, "a", "b")
	w.shows("a b")
	w.service.Silence(true)
	w.until("the silence", func() bool { return w.r.get(func() int { return w.r.silent }) == 1 })
	w.service.Drop("/soko/a")
	w.service.Put("/soko/c", data(1, ""))
	if got := w.r.names(); got != "a b" {
		t.Errorf("listed in silence: %q", got)
	}
	w.service.Silence(false)
	w.shows("b c")
}

// A service that refuses connections is silent; one that answers slowly is not.
func TestRefusedAndSlow(t *testing.T) {
	w := start(t, 2, nil, "a")
	w.shows("a")
	w.service.Delay(100 * time.Millisecond)
	w.service.Put("/soko/b", data(1, ""))
	w.shows("a b")
	if n := w.r.get(func() int { return w.r.silent }); n != 0 {
		t.Errorf("%d silences of a slow service", n)
	}
	w.service.Delay(0)
	w.service.Refuse(true)
	w.until("the silence", func() bool { return w.r.get(func() int { return w.r.silent }) > 0 })
	w.service.Put("/soko/c", data(1, ""))
	w.service.Refuse(false)
	w.shows("a b c")
}

// Restarts go on from an older or a newer zxid; with its sessions a service may lose
// every node. What it then tells is told on, for the merge to judge.
func TestRestarts(t *testing.T) {
	w := start(t, 1, nil, "a", "b")
	w.shows("a b")
	for _, by := range []int64{1000, -900, -100} {
		wholes := w.r.get(func() int { return w.r.wholes })
		w.service.Restart(by, true)
		w.until("a new reading", func() bool { return w.r.get(func() int { return w.r.wholes }) > wholes })
		w.service.Put("/soko/c", data(1, ""))
		w.shows("a b c")
		w.service.Drop("/soko/c")
		w.shows("a b")
	}
}

// Two members that see different lists: each is told as it is, as whole lists.
func TestSplit(t *testing.T) {
	w := start(t, 2, func(o *Options) { o.Session = 10 * time.Second }, "a", "b", "c")
	w.shows("a b c")
	w.service.Member(0).Split(true, "/soko/a", "/soko/b")
	w.service.Member(1).Split(true, "/soko/c")
	seen := map[string]bool{}
	for range 64 { // which member is met is drawn anew each time: 8 were too few once in 128 plays
		wholes := w.r.get(func() int { return w.r.wholes })
		w.service.Member(0).Break()
		w.service.Member(1).Break()
		w.until("a new reading", func() bool { return w.r.get(func() int { return w.r.wholes }) > wholes })
		seen[w.r.names()] = true
		if len(seen) == 2 {
			break
		}
	}
	if !seen["c"] || !seen["a b"] {
		t.Errorf("seen %v, want both lists", seen)
	}
}

// A digest is given where one is set, and again with each connection.
func TestDigest(t *testing.T) {
	service, err := coord.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	service.Put("/soko/a", data(1, ""))
	service.Protect("/soko/a", "reader:secret")
	for digest, want := range map[string]string{"reader:secret": "a", "reader:wrong": ""} {
		w := &world{t: t, service: service, r: &recorder{nodes: map[string]reconcile.Entry{}}}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			New(Options{Servers: service.Addresses(), Path: "/soko", Session: session, Rules: rules, Digest: digest,
				Log: slog.New(slog.NewTextHandler(&w.log, nil))}).Feed(ctx, w.r)
			close(done)
		}()
		if want != "" {
			w.shows(want)
			service.Member(0).Break()
			w.until("a second list", func() bool { return w.r.get(func() int { return w.r.wholes }) == 2 })
		} else {
			w.until("the refusal", func() bool { return w.log.Count("not authenticated") > 0 })
		}
		w.shows(want)
		stop()
		<-done
	}
	service.Close()
	goleak.VerifyNone(t)
}

// Two thousand nodes are read in a few round trips' time, and a storm of changes has
// the directory read no more often than the gap allows.
func TestManyNodesAndStorms(t *testing.T) {
	var names []string
	for i := range 2000 {
		names = append(names, fmt.Sprintf("n%04d", i))
	}
	w := start(t, 1, func(o *Options) { o.Session = 10 * time.Second }, names...)
	w.until("all nodes", func() bool { return w.r.get(func() int { return len(w.r.nodes) }) == 2000 })
	lists, reads, began := w.service.Count(coord.OpGetChildren2), w.service.Count(coord.OpGetData), time.Now()
	for i := range 200 { // a hundred times out and in
		if i%2 == 0 {
			w.service.Drop("/soko/n0000")
		} else {
			w.service.Put("/soko/n0000", data(1, ""))
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.until("all nodes again", func() bool { return w.r.get(func() int { return len(w.r.nodes) }) == 2000 })
	most := int(time.Since(began)/childGap) + 2
	if n := w.service.Count(coord.OpGetChildren2) - lists; n > most {
		t.Errorf("the directory was read %d times, want at most %d", n, most)
	}
	if n := w.service.Count(coord.OpGetData) - reads; n > 220 {
		t.Errorf("%d nodes were read for 200 changes of one", n)
	}
}

func TestParse(t *testing.T) {
	full := `{"address":"10.0.0.7:9101","site":"dar","kind":"box","block":7,"share":2.5,"started_ms":1700000000000}`
	if e, err := Parse("s-1", []byte(full), rules); err != nil || e.Host.Cell != 7 || e.Host.Weight != 2.5 || e.Host.StartedMS != 1700000000000 ||
		e.Host.Site != "dar" || e.Host.Kind != "box" || e.Host.Name != "s-1" {
		t.Errorf("%+v, %v", e, err)
	}
	curator := `{"name":"soko","id":"7","address":"10.0.0.8","port":9102,"sslPort":null,"payload":{"site":"arusha","block":3},
		"registrationTimeUTC":1700000000000,"serviceType":"DYNAMIC","uriSpec":null,"enabled":false}`
	if e, err := Parse("7", []byte(curator), rules); err != nil || e.Host.Address != "10.0.0.8:9102" || e.Host.Cell != 3 || e.Host.StartedMS != 0 ||
		e.Host.State != balancer.Draining || e.Host.Weight != 1 {
		t.Errorf("%+v, %v", e, err)
	}
	for _, c := range []struct{ data, says string }{
		{``, "JSON"}, {`[]`, "JSON"}, {`null`, "address"}, {`{}`, "address"}, {`{"address":"x"}`, "address"}, {`{"address":"x:0"}`, "address"},
		{`{"address":"x:http"}`, "address"}, {`{"address":7}`, "address"},
		{`{"address":"x:1","site":"moshi"}`, "site"}, {`{"address":"x:1","kind":"huge"}`, "kind"}, {`{"address":"x:1","block":-1}`, "block"},
		{`{"address":"x:1","block":65536}`, "block"}, {`{"address":"x:1","share":0}`, "share"}, {`{"address":"x:1","share":-2}`, "share"},
		{`{"address":"x:1","started_ms":99999999999999}`, "started_ms"}, {`{"address":"x:1","started_ms":-1}`, "started_ms"},
		{`{"serviceType":"DYNAMIC","address":"x"}`, "port"}, {`{"serviceType":"DYNAMIC","port":1}`, "address"},
		{`{"serviceType":"DYNAMIC","address":"x","port":1,"payload":{"block":"b"}}`, "payload"},
		{`{"address":"` + strings.Repeat("x", dataMost) + `:1"}`, "bytes"},
	} {
		if _, err := Parse("n", []byte(c.data), rules); err == nil || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.60s: %v, want one line with %q", c.data, err, c.says)
		}
	}
}

// Whatever a node holds is an endpoint that can be sent to, or an error.
func FuzzParse(f *testing.F) {
	f.Add("a", data(1, `,"block":3`))
	f.Add("b", []byte(`{"serviceType":"DYNAMIC","address":"::1","port":7,"payload":{}}`))
	f.Add("", []byte(`{"address":":1","share":1e300}`))
	f.Fuzz(func(t *testing.T, name string, in []byte) {
		e, err := Parse(name, in, rules)
		if err != nil {
			if err.Error() == "" || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q", err)
			}
			return
		}
		if e.Host.Name == "" || e.Host.Address == "" || !(e.Host.Weight > 0) || e.Host.StartedMS < 0 || !json.Valid(in) {
			t.Errorf("%q gives %+v", in, e)
		}
	})
}
