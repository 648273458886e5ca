package main

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/sockets"
	"pinedale/internal/standin/fakediscovery"
)

// demoFile is the operator's file of the demo.
const demoFile = `version = 1
name = "demo"
site = "arusha"
[http]
listen = "127.0.0.1:0"
[fleet]
sites = ["arusha", "dar"]
kinds = ["box"]
reports = ["eps", "queue"]
[discovery]
address = %q
[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = "3s"
worth = 2
[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = "1.5s"
aim = "600ms"
deadline = "2.5s"
worth = 10
`

// demoRate is the load: about 60% of what the demo's servers can do.
const demoRate = 60 // first tries a second

// demoServers is how many servers the demo begins with.
const demoServers = 5

// demo brings up a small fleet, discovery, pinedale-proxy and clients on loopback, and
// prints what happens each second. A server fails fast for a while, one comes cold.
func demo(out io.Writer, length time.Duration) error {
	f, err := startDemoFleet()
	if err != nil {
		return err
	}
	defer f.close()
	failing := model.Fault{From: length * 3 / 10, Until: length * 6 / 10, FailFastRatio: 0.9}
	for n := range demoServers {
		var faults []model.Fault
		if n == 0 {
			faults = append(faults, failing)
		}
		if err := f.add(false, faults...); err != nil {
			return err
		}
	}
	file, err := config.Parse(fmt.Appendf(nil, demoFile, f.directory.Address))
	if err != nil {
		return err
	}
	i, err := app.Start(file, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	defer func() {
		i.Shutdown()
		_ = i.Wait() // its clients have told what came of their requests
	}()
	if err := i.WaitReady(); err != nil {
		return err
	}
	fmt.Fprintf(out, "five servers, discovery and pinedale-proxy on %s; %d requests a second\n", i.HTTP, demoRate)
	fmt.Fprintf(out, "%4s %6s %8s %6s %8s %7s %9s %9s  %s\n", "s", "asked", "in time", "late", "refused", "failed", "median", "99th", "held by server")
	clients := &demoClients{
		url:    "http://" + i.HTTP.String(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 5 * time.Second},
	}
	defer clients.client.CloseIdleConnections()
	if err := clients.load(out, f, length, failing); err != nil {
		return err
	}
	clients.mu.Lock()
	defer clients.mu.Unlock()
	sum := &clients.sum
	fmt.Fprintf(out, "in all: asked %d, in time %d, late %d, refused %d, failed %d; effects done twice %d\n",
		sum.requested, sum.inTime, sum.late, sum.rejected, sum.failed, len(f.fleet.DuplicateEffects()))
	return nil
}

// demoFleet is the demo's servers and the discovery that lists them.
type demoFleet struct {
	directory *fakediscovery.Directory
	fleet     *sockets.Fleet
	servers   []*sockets.Server
	hosts     []fakediscovery.Host
}

// startDemoFleet starts a fleet without servers.
func startDemoFleet() (*demoFleet, error) {
	list, err := fakediscovery.Start()
	if err != nil {
		return nil, err
	}
	fleet := sockets.New(sockets.Options{Seed: 1, Classes: []sockets.Class{
		{Name: "price-check", Work: 120 * time.Millisecond, CV: 0.4},
		{Name: "stall-pay", Class: model.Class{Idempotency: model.IdempotentWithKey, Window: 1500 * time.Millisecond}, Work: 100 * time.Millisecond, CV: 0.4}}})
	return &demoFleet{directory: list, fleet: fleet}, nil
}

// close ends the servers and their discovery.
func (f *demoFleet) close() {
	f.fleet.Close()
	f.directory.Close()
}

// add starts a server and lists it.
func (f *demoFleet) add(warming bool, faults ...model.Fault) error {
	n := len(f.servers)
	cfg := model.Config{Cores: 3, Speed: [...]float64{2, 1.2, 0.8}[n%3], SlotsPerCore: 1, QueuePerCore: 100, ThrashRatio: 0.08, ThrashThreshold: 5,
		SlowStartRatio: 0.35, SlowStartTime: 6 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second,
		ReportInterval: 100 * time.Millisecond, ProbeWork: 100 * time.Microsecond, HandshakeWork: time.Millisecond}
	s, err := f.fleet.Start(sockets.ServerSpec{Name: fmt.Sprintf("soko-%d", n+1), Group: fmt.Sprint(n / 2), Config: cfg, Seed: uint64(n + 1), Warming: warming, Faults: faults})
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	h := fakediscovery.Ready(s.Name, s.Addresses[0])
	h.Site, h.Class, h.Block = [...]string{"arusha", "dar"}[n%2], "box", uint16(n/2)
	if warming {
		h.StartedMS = time.Now().UnixMilli()
	}
	f.hosts = append(f.hosts, h)
	f.directory.Change(func() {
		f.directory.List = fakediscovery.Document{Seq: f.directory.List.Seq + 1, Complete: true, Hosts: slices.Clone(f.hosts)}
	})
	return nil
}

// load sends requests for a time, waits for their answers and prints each second. Halfway a cold
// server is added.
func (d *demoClients) load(out io.Writer, f *demoFleet, length time.Duration, failing model.Fault) error {
	var all sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 1))
	began, next, printed, added := time.Now(), time.Duration(0), time.Duration(0), false
	for n := 0; time.Since(began) < length; n++ {
		next += time.Duration(rng.ExpFloat64() / demoRate * float64(time.Second))
		time.Sleep(time.Until(began.Add(next)))
		stall := rng.Float64() < 0.4
		all.Go(func() { d.request(n, stall) })
		if !added && next >= length/2 {
			added = true
			if err := f.add(true); err != nil {
				return err
			}
			fmt.Fprintln(out, "     a sixth server has started, cold")
		}
		if next >= printed+time.Second {
			printed += time.Second
			d.line(out, int(printed/time.Second), f.servers)
			if printed >= failing.From && printed < failing.From+time.Second {
				fmt.Fprintln(out, "     soko-1 fails 90% of its requests at once from here on, for a while")
			}
		}
	}
	all.Wait()
	return nil
}

// counts are of a second, or of all.
type counts struct {
	requested, inTime, late, rejected, failed int
	took                                      []time.Duration
}

// demoClients send requests and count what comes of them.
type demoClients struct {
	url    string
	client *http.Client

	mu       sync.Mutex
	now, sum counts
}

func (d *demoClients) request(n int, stall bool) {
	method, class := "GET", "price-check"
	if stall {
		method, class = "POST", "stall-pay"
	}
	r, err := http.NewRequest(method, d.url+"/"+class+"/x", nil)
	if err != nil {
		return
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("demo-%d", n))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", "1500")
	if stall {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("demo-key-%d", n))
	}
	began := time.Now()
	code := 0
	if out, err := d.client.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, out.Body) // the status has come
		out.Body.Close()
		code = out.StatusCode
	}
	took := time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range []*counts{&d.now, &d.sum} {
		c.requested++
		switch {
		case code == 200 && took <= 600*time.Millisecond:
			c.inTime++
		case code == 200:
			c.late++
		case code == 503:
			c.rejected++
		default:
			c.failed++
		}
	}
	d.now.took = append(d.now.took, took)
}

// line prints the last second.
func (d *demoClients) line(out io.Writer, second int, servers []*sockets.Server) {
	d.mu.Lock()
	c := d.now
	d.now = counts{}
	d.mu.Unlock()
	slices.Sort(c.took)
	quantile := func(q float64) time.Duration {
		if len(c.took) == 0 {
			return 0
		}
		return c.took[min(len(c.took)-1, int(q*float64(len(c.took))))].Round(time.Millisecond)
	}
	var inFlight []string
	for _, s := range servers {
		n, _, warmth, down := s.Figures()
		text := fmt.Sprint(n)
		if down {
			text = "down"
		} else if warmth < 1 {
			text += fmt.Sprintf(" (%.0f%% warm)", 100*warmth)
		}
		inFlight = append(inFlight, text)
	}
	fmt.Fprintf(out, "%4d %6d %8d %6d %8d %7d %9v %9v  %s\n", second, c.requested, c.inTime, c.late, c.rejected, c.failed,
		quantile(0.5), quantile(0.99), strings.Join(inFlight, ", "))
}
