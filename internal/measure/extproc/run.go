package extproc

import (
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"pinedale/internal/config"
	"pinedale/internal/measure/harness"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/proxy"
)

const (
	proxyCount       = 4 // shared by the callers
	proxyConnections = 2 // of each proxy

	// maxRemovalDelay is how long a server may get requests after its removal was published.
	maxRemovalDelay = 2 * time.Second

	// maxRetention is the longest time that the front may keep a request: twice the deadline and window of day-close,
	// since a request that is repeated is recorded anew.
	maxRetention = 40 * time.Second

	// goroutineTimeout is how long goroutines may take to end after everything is closed.
	goroutineTimeout = 10 * time.Second
)

// sites of the servers, assigned in turn by pod.
var sites = [...]string{"arusha", "dar"}

// run is the state of a run.
type run struct {
	options   Options
	instance  *harness.Instance
	discovery *fakediscovery.Directory
	fleet     *fakebackend.Fleet
	proxies   []*proxy.Proxy

	mu      sync.Mutex
	report  Report
	servers []*fakebackend.Server // all that were started
	listed  []*fakebackend.Server // by discovery, the oldest first
	removed map[*fakebackend.Server]time.Time
}

// Run runs the calls. It returns an error if they could not be run; rules that they violated are in the report.
func Run(o Options) (*Report, error) {
	r, err := startRun(o, fakebackend.Faults{Reject: 0.02, Error: 0.02, Reset: 0.01, Unresponsive: 0.0005})
	if err != nil {
		return nil, err
	}
	defer r.closeServers()
	for range proxyCount {
		p, err := proxy.Dial(r.processorAddress(), proxyConnections)
		if err != nil {
			return nil, err
		}
		r.proxies = append(r.proxies, p)
	}
	start := time.Now()
	r.makeCalls()
	r.report.Took = time.Since(start)
	r.awaitNoPending()
	r.shutDown()
	r.checkRemovals()
	r.closeServers()
	r.report.Duplicates = r.fleet.DuplicateEffects()
	r.report.Backends = r.fleet.Counts()
	r.awaitGoroutines()
	return &r.report, nil
}

// startRun starts the servers, discovery and the instance.
func startRun(o Options, faults fakebackend.Faults) (_ *run, err error) {
	r := &run{
		options: o,
		removed: map[*fakebackend.Server]time.Time{},
		report: Report{
			Calls:      o.Calls,
			CallKinds:  map[callKind]int{},
			Codes:      map[int]int{},
			Goroutines: runtime.NumGoroutine(),
		},
	}
	defer func() {
		if err != nil {
			r.closeServers()
		}
	}()
	if r.discovery, err = fakediscovery.Start(); err != nil {
		return nil, err
	}
	file, err := config.Parse([]byte(configText(r.discovery.Address, o.ShortWindows, o.maxAttempts())))
	if err != nil {
		return nil, err
	}
	r.fleet = &fakebackend.Fleet{
		Classes:     file.Settings().Classes,
		Seed:        o.Seed,
		ServiceTime: o.ServiceTime,
		Faults:      faults,
	}
	for range o.Servers {
		if err = r.addServer(); err != nil {
			return nil, err
		}
	}
	r.publish()
	if r.instance, err = harness.StartInstance(file, slog.New(slog.DiscardHandler)); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *run) processorAddress() string { return r.instance.ExtProc.String() }

// closeServers closes the servers and discovery. It may be called more than once.
func (r *run) closeServers() {
	if r.discovery != nil {
		r.discovery.Close()
	}
	for _, server := range r.servers {
		server.Close()
	}
}

// addServer starts a server. Two servers share a pod.
func (r *run) addServer() error {
	number := len(r.servers) + 1
	server, err := r.fleet.Start(fmt.Sprintf("soko-%d", number), number/2)
	if err != nil {
		return err
	}
	r.servers = append(r.servers, server)
	r.listed = append(r.listed, server)
	return nil
}

// publish writes the listed servers to discovery.
func (r *run) publish() {
	hosts := []fakediscovery.Host{}
	for _, server := range r.listed {
		host := fakediscovery.Ready(server.Name, server.Address)
		host.Site = sites[server.Cell%len(sites)]
		host.Kind = "box"
		host.Cell = uint16(server.Cell)
		hosts = append(hosts, host)
	}
	r.discovery.Change(func() {
		r.discovery.List = fakediscovery.Document{Seq: r.discovery.List.Seq + 1, Complete: true, Hosts: hosts}
	})
}

// changeFleet replaces the oldest listed server by a new one. The old one keeps running, to record late requests.
func (r *run) changeFleet() {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.listed[0]
	r.listed = r.listed[1:]
	if r.addServer() != nil {
		return
	}
	r.publish()
	r.removed[oldest] = time.Now()
	r.report.Removed++
}

// awaitNoPending waits until the instance keeps no state of requests, for at most maxRetention.
func (r *run) awaitNoPending() {
	for end := time.Now().Add(maxRetention); ; time.Sleep(20 * time.Millisecond) {
		pending := &r.report.Pending
		pending.waiting, pending.rounds, pending.entries = r.instance.InFlight()
		pending.ledger = r.instance.Requests()
		if pending.total() == 0 || time.Now().After(end) {
			return
		}
	}
}

// shutDown closes the proxies and the instance.
func (r *run) shutDown() {
	for _, p := range r.proxies {
		p.Close()
	}
	if err := r.instance.Close(); err != nil {
		r.report.FailedStreams++
		r.report.FirstError = err
	}
}

// checkRemovals looks for requests at servers after their removal.
func (r *run) checkRemovals() {
	for server, removedAt := range r.removed {
		after := server.LastRequest().Sub(removedAt)
		r.report.LastAfter = max(r.report.LastAfter, after)
		if after > maxRemovalDelay {
			r.report.Late++
		}
	}
}

// awaitGoroutines waits until all goroutines that were started since the beginning have ended.
func (r *run) awaitGoroutines() {
	for end := time.Now().Add(goroutineTimeout); ; time.Sleep(10 * time.Millisecond) {
		r.report.ExtraGoroutines = runtime.NumGoroutine() - r.report.Goroutines
		if r.report.ExtraGoroutines <= 0 || time.Now().After(end) {
			return
		}
	}
}
