// Package extproc plays seeded callers with faults against a whole pinedale-proxy
// and its external processor, over loopback sockets, and counts what must hold:
// one verdict for an ask, no effect twice, nothing to removed servers, nothing held
// at the end.
package extproc

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/proxy"
)

// Options are the size of a run.
type Options struct {
	Calls   int
	Callers int // at work at once
	Servers int
	Seed    uint64
	Change  int           // calls between two changes of the fleet, 0 for none
	Short   bool          // windows and deadlines of seconds, so that the memory empties soon
	Work    time.Duration // of a request at a server
	Once    bool          // no request is sent twice
}

func (o *Options) attempts() int {
	if o.Once {
		return 1
	}
	return 3
}

// Report is what came of a run.
type Report struct {
	Calls, Requests      int
	Decisions            int            // answers to asks
	Kinds                map[string]int // calls by what the caller did
	Codes                map[int]int    // final answers to clients
	Unanswered           int            // asks that stayed and got no verdict
	Doubled              int            // asks that got more than one
	Split                int            // pairs about one keyed request that were told different servers
	Twice                []string       // effects done twice
	Removed              int            // servers removed
	Latest               time.Duration  // latest request at a removed server after its removal was written
	Late                 int            // servers that had one later than 2 s after
	Errors               int            // streams that failed without being broken off
	FirstError           error
	Took                 time.Duration
	OpenRequests, Rounds int // at the end, as are Entries and Ledger
	Entries, Ledger      int
	Goroutines, Extra    int // at the start, and more at the end
	Fleet                fakebackend.Counts
}

// Broken says what of the report must not be, "" if nothing is.
func (r *Report) Broken() string {
	switch {
	case r.Unanswered+r.Doubled > 0:
		return fmt.Sprintf("%d asks without a verdict, %d with two", r.Unanswered, r.Doubled)
	case r.Split > 0:
		return fmt.Sprintf("%d keyed requests were told two servers", r.Split)
	case len(r.Twice) > 0:
		return fmt.Sprintf("%d effects done twice, such as %s", len(r.Twice), r.Twice[0])
	case r.Late > 0:
		return fmt.Sprintf("%d removed servers had requests over 2 s later", r.Late)
	case r.OpenRequests+r.Rounds+r.Entries+r.Ledger > 0:
		return fmt.Sprintf("held at the end: %d asks, %d rounds, %d entries, %d requests", r.OpenRequests, r.Rounds, r.Entries, r.Ledger)
	case r.Extra > 0:
		return fmt.Sprintf("%d goroutines are left", r.Extra)
	case r.Errors > 0:
		return fmt.Sprintf("%d streams failed: %v", r.Errors, r.FirstError)
	}
	return ""
}

// File is the operator's file of a run.
func File(discovery string, short bool, attempts int) string {
	pay, closing, deadline := "1.5s", "12s", "2.5s"
	if short {
		closing, deadline = "2s", "1s"
	}
	return fmt.Sprintf(`version = 1
name = "measured"
site = "arusha"
[http]
listen = "127.0.0.1:0"
[ext_proc]
listen = "127.0.0.1:0"
retries = "ask-again"
[limits]
attempts = %d
[fleet]
sites = ["arusha", "dar"]
kinds = ["box"]
reports = ["eps", "queue"]
warm_within = "0s"
[discovery]
address = %q
[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = %q
worth = 2
[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = %q
aim = "600ms"
deadline = %q
worth = 10
[[class]]
name = "day-close"
repeat = "keyed"
group = "pod"
window = %q
aim = "1s"
deadline = %q
worth = 3
[[class]]
name = "order"
repeat = "unsafe"
aim = "600ms"
deadline = %q
`, attempts, discovery, deadline, pay, deadline, closing, deadline, deadline)
}

// run is the state of one run.
type run struct {
	o       Options
	file    *config.File
	site    *app.Instance
	dir     *fakediscovery.Directory
	fleet   *fakebackend.Fleet
	proxies []*proxy.Proxy
	ext     string

	mu      sync.Mutex
	report  Report
	alive   []*fakebackend.Server
	removed map[*fakebackend.Server]time.Time
	all     []*fakebackend.Server
	names   int
}

// Run plays a run. Its error is one of the rig; what the run shows is in the report.
func Run(o Options) (*Report, error) {
	r := &run{o: o, removed: map[*fakebackend.Server]time.Time{}}
	r.report = Report{Calls: o.Calls, Kinds: map[string]int{}, Codes: map[int]int{}, Goroutines: runtime.NumGoroutine()}
	if err := r.begin(fakebackend.Faults{Reject: 0.02, Error: 0.02, Reset: 0.01, Unresponsive: 0.0005}); err != nil {
		return nil, err
	}
	defer r.end()
	for range 4 {
		p, err := proxy.Dial(r.ext, 2)
		if err != nil {
			return nil, err
		}
		r.proxies = append(r.proxies, p)
	}
	r.play()
	r.finish()
	return &r.report, nil
}

// begin starts the servers, discovery and the processor.
func (r *run) begin(faults fakebackend.Faults) (err error) {
	defer func() {
		if err != nil {
			r.end()
		}
	}()
	if r.dir, err = fakediscovery.Start(); err != nil {
		return err
	}
	if r.file, err = config.Parse([]byte(File(r.dir.Address, r.o.Short, r.o.attempts()))); err != nil {
		return err
	}
	r.fleet = &fakebackend.Fleet{Classes: r.file.Settings().Classes, Seed: r.o.Seed, ServiceTime: r.o.Work, Faults: faults}
	for range r.o.Servers {
		if err = r.add(); err != nil {
			return err
		}
	}
	r.publish()
	if r.site, err = app.Start(r.file, slog.New(slog.DiscardHandler)); err != nil {
		return err
	}
	r.ext = r.site.ExtProc.String()
	return r.site.WaitReady()
}

// end closes the servers and discovery, once more if need be.
func (r *run) end() {
	if r.dir != nil {
		r.dir.Close()
	}
	for _, s := range r.all {
		s.Close()
	}
}

// add starts a server. Pairs share a pod; pods take turns between the sites.
func (r *run) add() error {
	r.names++
	s, err := r.fleet.Start(fmt.Sprintf("soko-%d", r.names), r.names/2)
	if err != nil {
		return err
	}
	r.alive, r.all = append(r.alive, s), append(r.all, s)
	return nil
}

// publish writes the list of servers that are there.
func (r *run) publish() {
	r.dir.Change(func() {
		hosts := []fakediscovery.Host{}
		for _, s := range r.alive {
			h := fakediscovery.Ready(s.Name, s.Address)
			h.Site, h.Class, h.Block = [...]string{"arusha", "dar"}[s.Cell%2], "box", uint16(s.Cell)
			hosts = append(hosts, h)
		}
		r.dir.List = fakediscovery.Document{Seq: r.dir.List.Seq + 1, Complete: true, Hosts: hosts}
	})
}

// change takes the oldest server off the list, though it goes on serving, and adds
// a new one.
func (r *run) change() {
	r.mu.Lock()
	defer r.mu.Unlock()
	removed := r.alive[0]
	r.alive = r.alive[1:]
	if r.add() != nil {
		return
	}
	r.publish()
	r.removed[removed] = time.Now()
	r.report.Removed++
}

func (r *run) play() {
	began := time.Now()
	var next atomic.Int64
	var callers sync.WaitGroup
	for range r.o.Callers {
		callers.Go(func() {
			for {
				n := int(next.Add(1))
				if n > r.o.Calls {
					return
				}
				if r.o.Change > 0 && n%r.o.Change == 0 {
					r.change()
				}
				r.call(n)
			}
		})
	}
	callers.Wait()
	r.report.Took = time.Since(began)
}

// request is the nth client's request, of a class drawn by its share.
func (r *run) request(n int, rng *rand.Rand) (q proxy.Request, class string) {
	id := fmt.Sprintf("%016x", uint64(n)<<20|r.o.Seed&0xfffff)
	q = proxy.Request{Method: "POST", Body: "body", Header: map[string]string{"x-correlation-id": id,
		"x-time-left-ms": "900", "x-weight-hint": "2000"}}
	switch x := rng.Float64(); {
	case x < 0.45:
		class, q.Method, q.Body = "price-check", "GET", ""
	case x < 0.79:
		class = "stall-pay"
	case x < 0.95:
		class = "day-close"
	default:
		class = "order"
	}
	if class == "stall-pay" || class == "day-close" {
		q.Header["idempotency-key"] = "key-" + id
	}
	q.Header["x-service-class"], q.Path = class, "/"+class+"/x?n="+id
	return q, class
}

// call plays one call, with what its draw says goes wrong.
func (r *run) call(n int) {
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(n)))
	q, _ := r.request(n, rng)
	p := r.proxies[n%len(r.proxies)]
	other := r.proxies[(n+1)%len(r.proxies)]
	ctx := context.Background()
	_, hasKey := q.Header["idempotency-key"]
	kind, x := "plain", rng.Float64()
	switch {
	case x < 0.03:
		kind = "left before the verdict"
		r.ask(p.Do(ctx, q, proxy.Behaviour{DisconnectBeforeDecision: true}), true)
	case x < 0.06:
		kind = "left with the verdict"
		r.ask(p.Do(ctx, q, proxy.Behaviour{DisconnectAtDecision: true}), false)
	case x < 0.09:
		kind = "no report"
		r.ask(p.Do(ctx, q, proxy.Behaviour{NoReport: true}), false)
	case x < 0.10:
		kind = "broken off"
		r.breakOff(q)
	case x < 0.15 && hasKey:
		kind = "asked twice at once"
		var second proxy.Result
		var both sync.WaitGroup
		both.Go(func() { second = other.Do(ctx, q, proxy.Behaviour{}) })
		first := p.Do(ctx, q, proxy.Behaviour{})
		both.Wait()
		r.ask(first, false)
		r.ask(second, false)
		r.pair(first, second)
		r.code(first.Code)
	case x < 0.20 && hasKey:
		kind = "asked again after the outcome"
		first := p.Do(ctx, q, proxy.Behaviour{})
		retry := q
		retry.Header = map[string]string{}
		for k, v := range q.Header {
			retry.Header[k] = v
		}
		retry.Header["x-correlation-id"] += "r" // a client's retry
		second := other.Do(ctx, retry, proxy.Behaviour{})
		r.ask(first, false)
		r.ask(second, false)
		if first.Code == 200 {
			r.pair(first, second)
		}
		r.code(first.Code)
	default:
		last := p.DoWithRetries(ctx, q, func(a proxy.Result) { r.ask(a, false) })
		r.code(last.Code)
	}
	r.mu.Lock()
	r.report.Kinds[kind]++
	r.mu.Unlock()
}

// breakOff asks over a connection of its own, and breaks it once there is a verdict.
func (r *run) breakOff(q proxy.Request) {
	p, err := proxy.Dial(r.ext, 1)
	if err != nil {
		return
	}
	r.ask(p.Do(context.Background(), q, proxy.Behaviour{DisconnectAtDecision: true}), false)
	p.Close()
}

// ask counts an ask. left says that it was broken off before its verdict.
func (r *run) ask(a proxy.Result, remaining bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Decisions += a.Decisions
	if a.Decisions > 1 {
		r.report.Doubled++
	}
	if !remaining && a.Decisions == 0 {
		r.report.Unanswered++
	}
	if a.Err != nil {
		r.report.Errors++
		if r.report.FirstError == nil {
			r.report.FirstError = a.Err
		}
	}
}

// pair checks two asks about one keyed request: where both had the first attempt
// handed out, it was one verdict.
func (r *run) pair(a, b proxy.Result) {
	x, y := a.Decision, b.Decision
	if x.Endpoint == "" || y.Endpoint == "" || x.Headers["x-pinedale-attempt"] != "1" ||
		y.Headers["x-pinedale-attempt"] != "1" || a.Code != 200 || b.Code != 200 {
		return
	}
	if x.Endpoint != y.Endpoint {
		r.mu.Lock()
		r.report.Split++
		r.mu.Unlock()
	}
}

func (r *run) code(code int) {
	r.mu.Lock()
	r.report.Codes[code]++
	r.mu.Unlock()
}

// maxMemory is the longest that the front may remember a request: the deadline and
// window of day-close, twice, since what is asked for again is kept anew.
const maxMemory = 40 * time.Second

// finish waits until all is forgotten, ends everything and counts what is left.
func (r *run) finish() {
	rep := &r.report
	for end := time.Now().Add(maxMemory); ; time.Sleep(20 * time.Millisecond) {
		rep.OpenRequests, rep.Rounds, rep.Entries = r.site.InFlight()
		rep.Ledger = r.site.Requests()
		if rep.OpenRequests+rep.Rounds+rep.Entries+rep.Ledger == 0 || time.Now().After(end) {
			break
		}
	}
	for _, p := range r.proxies {
		p.Close()
	}
	r.site.Shutdown()
	if err := r.site.Wait(); err != nil {
		rep.Errors++
		rep.FirstError = err
	}
	for s, at := range r.removed {
		if last := s.LastRequest(); last.After(at) {
			rep.Latest = max(rep.Latest, last.Sub(at))
			if last.Sub(at) > 2*time.Second {
				rep.Late++
			}
		}
	}
	r.end()
	rep.Twice, rep.Fleet = r.fleet.DuplicateEffects(), r.fleet.Counts()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		rep.Extra = runtime.NumGoroutine() - rep.Goroutines
		if rep.Extra <= 0 || time.Now().After(end) {
			return
		}
	}
}
