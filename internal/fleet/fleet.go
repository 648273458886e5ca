// Package fleet is a rig of real processes: instances of pinedale-site, servers in a process
// of their own, and seeded clients, with a relay on each path between them, through which a
// schedule of faults is played. What was asked, answered and done is kept as a history and
// checked against the rules over all processes together.
package fleet

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"pinedale/balancer"
	"pinedale/internal/cluster"
	"pinedale/internal/fleet/history"
	"pinedale/internal/fleet/relay"
	"pinedale/internal/fleet/schedule"
	"pinedale/internal/standin/directory"
	"pinedale/internal/standin/soko"
)

// Options say what a run is made of.
type Options struct {
	Schedule *schedule.Schedule
	Program  string // path of pinedale-site
	Next     string // path of another build of it, for faults that ask for one
	Dir      string // for files of the run
	Log      *slog.Logger
}

// The servers' own faults: enough that requests are repeated without
// any other trouble.
var ordinary = soko.Faults{TurnAway: 0.03, Error: 0.03, Reset: 0.03, Silent: 0.02}

const (
	serverWork = 10 * time.Millisecond
	podSize    = 2
	readyMost  = 60 * time.Second // for all processes to be there, on a machine that does much else
	settleMost = 60 * time.Second // for copies to converge after the last fault
	viewEvery  = 500 * time.Millisecond
)

// way names a direction between two processes.
type way struct{ from, to string }

type rig struct {
	o         Options
	spec      serverSpec
	servers   *servers
	serverMu  sync.Mutex
	keys      string
	instances []*instance
	byName    map[string]*instance
	ways      map[way]*relay.Way
	relays    map[way]*relay.Relay            // by the direction in which connections are opened
	front     map[string]string               // where clients reach an instance
	lists     map[string]*directory.Directory // each instance's discovery: addresses differ, since ways do
	drains    []drain

	began   time.Time
	mu      sync.Mutex
	hist    history.History
	faultMu sync.Mutex
	listMu  sync.Mutex
	active  map[int]schedule.Fault
	firsts  map[int]*process // of faults that have two processes of one name
}

// Run plays a schedule. Its error is of the rig; what the program did wrong is in the
// history's findings.
func Run(ctx context.Context, o Options) (*history.History, error) {
	if err := o.Schedule.Check(); err != nil {
		return nil, err
	}
	r := &rig{o: o, byName: map[string]*instance{}, ways: map[way]*relay.Way{}, relays: map[way]*relay.Relay{}, front: map[string]string{}, lists: map[string]*directory.Directory{}, active: map[int]schedule.Fault{}, firsts: map[int]*process{}}
	r.hist.Schedule = o.Schedule
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.ready(ctx); err != nil {
		return nil, err
	}
	r.began = time.Now()
	var all sync.WaitGroup
	play, stop := context.WithCancel(ctx)
	defer stop()
	all.Go(func() { r.watch(play) })
	all.Go(func() { stalls(play, r.stoodStill) })
	var faults sync.WaitGroup
	faults.Go(func() { r.play(play) })
	r.load(ctx)
	faults.Wait()
	stop()
	all.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := r.settle(ctx); err != nil {
		return nil, err
	}
	for _, i := range r.instances {
		if s, err := r.status(ctx, i, 2*time.Second); err == nil {
			r.hist.Claims = append(r.hist.Claims, fmt.Sprintf("%s: %+v", i.name, s.Counts))
		}
	}
	var report serverReport
	if err := r.servers.ask("report", &report); err != nil {
		return nil, err
	}
	r.hist.Done, r.hist.Twice = report.Done, report.Twice
	for _, s := range report.Stalls {
		r.stoodStill(s)
	}
	r.hist.Drains = r.drainsSeen()
	for _, i := range r.instances {
		i.mu.Lock()
		r.hist.Ends = append(r.hist.Ends, i.crashes...)
		i.mu.Unlock()
	}
	return &r.hist, nil
}

func (r *rig) wayOf(from, to string) *relay.Way {
	k := way{from, to}
	if r.ways[k] == nil {
		r.ways[k] = relay.NewWay(r.o.Schedule.Seed*1_000_003 + uint64(len(r.ways)))
	}
	return r.ways[k]
}

// path makes a relay from one process to another and returns its address.
func (r *rig) path(from, to, target string) (string, error) {
	x, err := relay.Start(target, r.wayOf(from, to), r.wayOf(to, from))
	if err != nil {
		return "", err
	}
	r.relays[way{from, to}] = x
	return x.Address, nil
}

// start starts the servers, the relays and the instances.
func (r *rig) start() error {
	addresses, err := r.startServers()
	if err != nil {
		return err
	}
	if err := r.writeKey(); err != nil {
		return err
	}
	for n := range r.o.Schedule.Instances {
		if err := r.addInstance(schedule.InstanceName(n)); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := r.connect(i, addresses); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts the servers' process and returns their addresses.
func (r *rig) startServers() (addresses []string, err error) {
	s := r.o.Schedule
	r.spec = serverSpec{Seed: s.Seed, Work: serverWork, Faults: ordinary}
	for n := range s.Servers {
		r.spec.Names, r.spec.Pods = append(r.spec.Names, schedule.ServerName(n)), append(r.spec.Pods, n/podSize)
	}
	r.servers, addresses, err = startServers(r.spec)
	return addresses, err
}

// writeKey writes the key that the instances share, which follows from the seed.
func (r *rig) writeKey() error {
	key := make([]byte, 32)
	rng := rand.New(rand.NewPCG(r.o.Schedule.Seed, 3))
	for i := range key {
		key[i] = byte(rng.Uint32())
	}
	r.keys = filepath.Join(r.o.Dir, "peers.key")
	return os.WriteFile(r.keys, []byte(base64.StdEncoding.EncodeToString(key)+"\n"), 0o600)
}

// addInstance adds an instance that is not started yet.
func (r *rig) addInstance(name string) (err error) {
	i := &instance{name: name, program: r.o.Program}
	if err := i.addresses(); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(r.o.Dir, i.name+".log")); err != nil {
		return err
	}
	r.instances, r.byName[i.name] = append(r.instances, i), i
	return nil
}

// connect makes an instance's relays: from clients, to the other instances, to the servers and to
// its discovery, which lists the servers at their relays. It writes the instance's configuration.
func (r *rig) connect(i *instance, addresses []string) (err error) {
	if r.front[i.name], err = r.path(schedule.Clients, i.name, i.http); err != nil {
		return err
	}
	i.via = map[string]string{}
	for _, other := range r.instances {
		if other == i {
			continue
		}
		if i.via[other.name], err = r.path(i.name, other.name, other.peers); err != nil {
			return err
		}
	}
	var hosts []directory.Host
	for n, name := range r.spec.Names {
		address, err := r.path(i.name, name, addresses[n])
		if err != nil {
			return err
		}
		hosts = append(hosts, directory.Host{Name: name, Dial: address, Site: "a", Class: "box", Block: uint16(r.spec.Pods[n]), Health: "Ready", Share: 1})
	}
	if r.lists[i.name], err = directory.Start(hosts...); err != nil {
		return err
	}
	if i.discovery, err = r.path(i.name, discoveryOf(i.name), r.lists[i.name].Address); err != nil {
		return err
	}
	return r.writeConfig(i)
}

// stop ends all that the run has started.
func (r *rig) stop() {
	for _, i := range r.instances {
		if i.process() != nil {
			i.signal(syscall.SIGKILL)
			i.end()
		}
		i.log.Close()
	}
	for _, x := range r.relays {
		x.Close()
	}
	for _, d := range r.lists {
		d.Close()
	}
	if r.servers != nil {
		r.servers.stop()
	}
}

// status asks an instance, past the relays.
func (r *rig) status(ctx context.Context, i *instance, within time.Duration) (cluster.Status, error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	i.mu.Lock()
	at := i.status
	i.mu.Unlock()
	return cluster.Fetch(ctx, at)
}

// ready waits until all instances know each other, and answer as witnesses.
func (r *rig) ready(ctx context.Context) error {
	why := ""
	for end := time.Now().Add(readyMost); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		why = ""
		for _, i := range r.instances {
			s, err := r.status(ctx, i, time.Second)
			if err != nil {
				why = fmt.Sprintf("%s: %v", i.name, err)
			} else if len(s.Alive) != len(r.instances) || s.Quiet != "0s" {
				why = fmt.Sprintf("%s knows %v, and is quiet for %s", i.name, s.Alive, s.Quiet)
			}
		}
		if why == "" || ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("the fleet is not ready after %v: %s (logs in %s)", readyMost, why, r.o.Dir)
}

func (r *rig) since() time.Duration { return time.Since(r.began) }

// watch keeps what each instance takes to be there.
func (r *rig) watch(ctx context.Context) {
	for tick := time.NewTicker(viewEvery); ; {
		for _, i := range r.instances {
			if s, err := r.status(ctx, i, viewEvery/5); err == nil {
				r.mu.Lock()
				r.hist.Views = append(r.hist.Views, history.View{At: r.since(), Instance: i.name, Alive: len(s.Alive)})
				r.mu.Unlock()
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			tick.Stop()
			return
		}
	}
}

// stallEvery is how often a process looks whether it has stood still.
const stallEvery = 50 * time.Millisecond

// stall is a time in which a process stood still.
type stall struct{ From, Until time.Time }

// stalls tells of each until ctx ends.
func stalls(ctx context.Context, tell func(stall)) {
	for last := time.Now(); sleep(ctx, stallEvery); last = time.Now() {
		if now := time.Now(); now.Sub(last) > history.StallLeast {
			tell(stall{last, now})
		}
	}
}

// stoodStill keeps when the rig or its servers did.
func (r *rig) stoodStill(s stall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hist.Stalls = append(r.hist.Stalls, history.Stall{From: s.From.Sub(r.began), Until: s.Until.Sub(r.began)})
}

// play begins and ends the faults at their instants.
func (r *rig) play(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for n, f := range r.o.Schedule.Faults {
		all.Go(func() {
			if !sleep(ctx, time.Until(r.began.Add(time.Duration(f.At)))) {
				return
			}
			err := r.begin(n, f)
			if f.Kind == schedule.Twin {
				sleep(ctx, time.Until(r.began.Add(time.Duration(f.At+f.For/2))))
				r.ofFirst(n, f, syscall.SIGCONT) // the first of the two goes on
			}
			sleep(ctx, time.Until(r.began.Add(f.End())))
			if err = errors.Join(err, r.endFault(n, f)); err != nil {
				r.o.Log.Error("a fault could not be played", "fault", f.String(), "error", err)
				r.mu.Lock()
				r.hist.Ends = append(r.hist.Ends, fmt.Sprintf("%s did not come back: %v", f.Of, err))
				r.mu.Unlock()
			}
		})
	}
}

// sleep waits, and says whether the time is over rather than ctx.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *rig) begin(n int, f schedule.Fault) error {
	switch f.Kind {
	case schedule.Kill:
		r.byName[f.Of].signal(syscall.SIGKILL)
	case schedule.Term, schedule.Build:
		r.byName[f.Of].signal(syscall.SIGTERM)
	case schedule.Stop:
		r.byName[f.Of].signal(syscall.SIGSTOP)
	case schedule.Twin:
		return r.twin(n, r.byName[f.Of])
	case schedule.Server:
		return r.tellServers("stop " + f.Of)
	case schedule.Drain:
		r.drain(f.Of)
	case schedule.Break:
		to := end(&f)
		for _, k := range []way{{f.Of, to}, {to, f.Of}} {
			if x := r.relays[k]; x != nil {
				x.Break()
			}
		}
	default:
		r.script(n, &f)
	}
	return nil
}

// twin stops an instance's process and starts another of its name, to which all ways lead
// from now on. What stands between the first and others goes on standing.
func (r *rig) twin(n int, i *instance) error {
	first := i.process()
	i.tell(first, syscall.SIGSTOP)
	r.faultMu.Lock()
	r.firsts[n] = first
	r.faultMu.Unlock()
	if err := i.addresses(); err != nil {
		return err
	}
	if err := r.writeConfig(i); err != nil {
		return err
	}
	if err := i.start(); err != nil {
		return err
	}
	for k, x := range r.relays {
		if k.to != i.name {
			continue
		}
		at := i.peers
		if k.from == schedule.Clients {
			at = i.http
		}
		if err := x.Lead(at); err != nil {
			return err
		}
	}
	return nil
}

// ofFirst sends the first of two processes of one name a signal, and returns it.
func (r *rig) ofFirst(n int, f schedule.Fault, s syscall.Signal) *process {
	r.faultMu.Lock()
	first := r.firsts[n]
	r.faultMu.Unlock()
	r.byName[f.Of].tell(first, s)
	return first
}

func (r *rig) endFault(n int, f schedule.Fault) error {
	switch f.Kind {
	case schedule.Build:
		if r.o.Next != "" {
			r.byName[f.Of].mu.Lock()
			r.byName[f.Of].program = r.o.Next
			r.byName[f.Of].mu.Unlock()
		}
		return r.byName[f.Of].again()
	case schedule.Kill, schedule.Term:
		return r.byName[f.Of].again()
	case schedule.Stop:
		r.byName[f.Of].signal(syscall.SIGCONT)
	case schedule.Twin:
		<-r.ofFirst(n, f, syscall.SIGKILL).ended
	case schedule.Server:
		return r.tellServers("start " + f.Of)
	case schedule.Drain:
		return r.drained(f.Of)
	case schedule.Break:
	default:
		r.script(n, nil)
	}
	return nil
}

func (r *rig) tellServers(line string) error {
	r.serverMu.Lock()
	defer r.serverMu.Unlock()
	var said string
	if err := r.servers.ask(line, &said); err != nil {
		return err
	}
	if said != "done" {
		return fmt.Errorf("the servers: %s", said)
	}
	return nil
}

// script has a fault of a way begin, or end where f is nil, and sets each way to what all
// faults that hold come to.
func (r *rig) script(n int, f *schedule.Fault) {
	r.faultMu.Lock()
	defer r.faultMu.Unlock()
	if f == nil {
		delete(r.active, n)
	} else {
		r.active[n] = *f
	}
	for k, w := range r.ways {
		var s relay.Script
		for _, x := range r.active {
			to := end(&x)
			forth, back := x.Of == k.from && to == k.to, x.Of == k.to && to == k.from
			if !forth && (!x.Both || !back) {
				continue
			}
			switch x.Kind {
			case schedule.Cut:
				s.Cut = true
			case schedule.Loss:
				s.Loss = max(s.Loss, x.Share)
			case schedule.Double:
				s.Double = max(s.Double, x.Share)
			case schedule.Swap:
				s.Swap = max(s.Swap, x.Share)
			case schedule.Spoil:
				s.Corrupt = max(s.Corrupt, x.Share)
			case schedule.Slow:
				s.Delay = max(s.Delay, time.Duration(x.Delay))
			}
		}
		w.Set(s)
	}
}

// discoveryOf names an instance's discovery, as the end of a way.
func discoveryOf(instance string) string { return schedule.Discovery + " of " + instance }

// end is the name of the process at the far end of a fault's way.
func end(f *schedule.Fault) string {
	if f.To == schedule.Discovery {
		return discoveryOf(f.Of)
	}
	return f.To
}

// drain is a server's drain, from the list's version that tells it.
type drain struct {
	server string
	seq    uint64
	until  time.Duration
}

// list changes a server's entry in all lists, and returns the version that tells it.
func (r *rig) list(server string, change func(*directory.Host)) (seq uint64) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	for _, d := range r.lists {
		d.Change(func() {
			hosts := slices.Clone(d.List.Hosts)
			for n := range hosts {
				if hosts[n].Name == server {
					change(&hosts[n])
				}
			}
			d.List.Hosts = hosts
			d.List.Seq++
			seq = d.List.Seq
		})
	}
	return seq
}

// drain has discovery tell that a server drains.
func (r *rig) drain(server string) {
	seq := r.list(server, func(h *directory.Host) { h.Health = "Terminating" })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains = append(r.drains, drain{server: server, seq: seq})
}

// drained starts a server anew, and has discovery tell it.
func (r *rig) drained(server string) error {
	r.mu.Lock()
	for n := range r.drains {
		if d := &r.drains[n]; d.server == server && d.until == 0 {
			d.until = r.since()
		}
	}
	r.mu.Unlock()
	_ = r.tellServers("stop " + server) // it fails with the process alone, and then the start does, too
	if err := r.tellServers("start " + server); err != nil {
		return err
	}
	r.list(server, func(h *directory.Host) { h.Health, h.BornMS = "Ready", time.Now().UnixMilli() })
	return nil
}

// drainsSeen is what the lists and ways have seen of the drains.
func (r *rig) drainsSeen() (out []history.Drain) {
	for _, d := range r.drains {
		seen := history.Drain{Server: d.server, Until: d.until, Told: map[string]time.Duration{}, Sent: map[string][]time.Duration{}}
		for name, list := range r.lists {
			if at, ok := list.Held(d.seq); ok {
				seen.Told[name] = at.Sub(r.began)
			}
			for _, at := range r.ways[way{name, d.server}].Came() {
				seen.Sent[name] = append(seen.Sent[name], at.Sub(r.began))
			}
		}
		out = append(out, seen)
	}
	return out
}

// settle waits until all copies are the same: what each says of servers, by whom.
func (r *rig) settle(ctx context.Context) error {
	from := r.since()
	var differ []string
	for end := time.Now().Add(settleMost); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		differ = nil
		var first *cluster.Status
		for _, i := range r.instances {
			s, err := r.status(ctx, i, 2*time.Second)
			if err != nil {
				differ = append(differ, fmt.Sprintf("%s: %v", i.name, err))
				continue
			}
			// What each tells of itself goes on changing.
			s.Told = slices.DeleteFunc(s.Told, func(t cluster.Record) bool { return t.Subject == "self" })
			if len(s.Alive) != len(r.instances) {
				differ = append(differ, fmt.Sprintf("%s knows %v", i.name, s.Alive))
			}
			if first == nil {
				first = &s
			} else {
				differ = append(differ, cluster.Diff(first, &s)...)
			}
		}
		if len(differ) == 0 {
			r.hist.Settled = r.since() - from
			return ctx.Err()
		}
	}
	r.hist.Settled, r.hist.Differ = r.since()-from, differ
	return ctx.Err()
}

// effect is what a client wants done.
type effect struct {
	key   string
	class *class
	at    time.Duration
	first int
	rng   *rand.Rand
	hasty bool // gives its first try up early, as clients do whose user taps again
}

// load asks for effects from the seed until the length is over, and waits for the last.
func (r *rig) load(ctx context.Context) {
	s := r.o.Schedule
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	// A connection for each request: one that is kept may be closed while a request comes on it,
	// which clients would have to tell from a loss.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var all sync.WaitGroup
	defer all.Wait()
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= time.Duration(s.Length) {
			return
		}
		e := &effect{key: fmt.Sprintf("e-%d-%d", s.Seed, n), at: at, first: rng.IntN(s.Instances), rng: rand.New(rand.NewPCG(s.Seed, uint64(n)+100)), hasty: rng.IntN(4) == 0}
		draw := rng.Float64()
		for i := range classes {
			if e.class = &classes[i]; draw < e.class.share {
				break
			}
			draw -= e.class.share
		}
		if !sleep(ctx, time.Until(r.began.Add(at))) {
			return
		}
		all.Go(func() { r.client(ctx, client, e) })
	}
}

// The ways of clients: up to four tries, a fifth to a half of the patience for a hasty one,
// and at another instance more often than not.
const triesMost = 4

func (r *rig) client(ctx context.Context, c *http.Client, e *effect) {
	deadline := r.since() + e.class.patience
	at := e.first
	for n := range triesMost {
		left := deadline - r.since()
		if left < 20*time.Millisecond {
			return
		}
		t := history.Try{Effect: e.key, Class: e.class.name, Keyed: e.class.repeat == balancer.IdempotentWithKey, Number: n, Instance: r.instances[at].name, Asked: r.since(), Deadline: deadline}
		var leave time.Duration
		if e.hasty && n < 2 {
			leave = time.Duration(float64(e.class.patience) * (0.01 + 0.2*e.rng.Float64()))
		}
		retry := r.try(ctx, c, e, &t, left, leave)
		t.Ended = r.since()
		r.mu.Lock()
		r.hist.Tries = append(r.hist.Tries, t)
		r.mu.Unlock()
		if t.Kind == history.Answered && t.Code == http.StatusOK || ctx.Err() != nil {
			return
		}
		if !sleep(ctx, retry+time.Duration(e.rng.IntN(40))*time.Millisecond) {
			return
		}
		if e.rng.IntN(4) > 0 {
			at = e.rng.IntN(len(r.instances))
		}
	}
}

// try asks once. It returns how long the answer wants the client to wait.
func (r *rig) try(ctx context.Context, c *http.Client, e *effect, t *history.Try, left, leave time.Duration) (retry time.Duration) {
	wait, onTime := left+history.SilentAfter, history.Silent
	if leave > 0 {
		wait, onTime = leave, history.Left
	}
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	method, body := http.MethodPost, io.Reader(bytes.NewReader([]byte("pay")))
	if e.class.repeat == balancer.Idempotent {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.front[t.Instance]+"/"+e.class.name+"/x", body)
	if err != nil {
		t.Kind = history.Broken
		return 0
	}
	req.GetBody = nil // the client library must not send again by itself
	req.Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d", e.key, t.Number))
	req.Header.Set("X-Service-Class", e.class.name)
	req.Header.Set("X-Time-Left-Ms", fmt.Sprint(left.Milliseconds()))
	if e.class.repeat == balancer.IdempotentWithKey {
		req.Header["Idempotency-Key"] = []string{e.key}
	}
	res, err := c.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	switch {
	case err == nil:
		t.Kind, t.Code = history.Answered, res.StatusCode
		if d, err := time.ParseDuration(res.Header.Get("Retry-After") + "s"); err == nil {
			retry = min(d, time.Second)
		}
	case ctx.Err() != nil:
		t.Kind = onTime
	default:
		t.Kind = history.Broken
	}
	return retry
}

// Save writes a history to a file.
func Save(path string, h *history.History) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// Read reads a history that Save has written.
func Read(path string) (*history.History, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	h := &history.History{}
	if err := json.Unmarshal(data, h); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if h.Schedule == nil {
		return nil, fmt.Errorf("%s: it has no schedule", path)
	}
	return h, h.Schedule.Check()
}
