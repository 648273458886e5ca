package tenants

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/measure/harness"
)

const (
	maxIdleConnections = 4096
	idleTimeout        = time.Second
	timeoutMargin      = time.Second // that a client waits beyond the timeout that is stated in its request
)

// arrivals draws the times of a tenant's requests, as offsets from the start: a Poisson process.
type arrivals struct {
	random *rand.Rand
	rate   float64 // per second
	next   time.Duration
}

func newArrivals(seed uint64, tenant int, rate float64) *arrivals {
	return &arrivals{random: rand.New(rand.NewPCG(seed, uint64(tenant))), rate: rate}
}

// draw returns the time of the next request.
func (a *arrivals) draw() time.Duration {
	a.next += time.Duration(a.random.ExpFloat64() / a.rate * float64(time.Second))
	return a.next
}

// load has the requests of all tenants in one run.
type load struct {
	options *Options
	client  *http.Client
	url     string // of the proxy
	start   time.Time
	lastID  atomic.Int64
	pending sync.WaitGroup // tenants and their requests

	mu      sync.Mutex
	results [tenantCount]TenantResult // guarded by mu
}

// runLoad has each tenant send requests at its rate, and waits for all responses.
func runLoad(o *Options, name, url string, rates [tenantCount]float64) Row {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout}
	defer transport.CloseIdleConnections()
	l := &load{
		options: o,
		client:  &http.Client{Transport: transport, Timeout: o.requestTimeout() + timeoutMargin},
		url:     url,
		start:   time.Now(),
	}
	for tenant, rate := range rates {
		if rate <= 0 {
			continue
		}
		send := l.sendOpenLoop
		if o.quietClosedLoop && tenant > 0 {
			send = l.sendClosedLoop
		}
		l.pending.Go(func() { send(tenant, rate) })
	}
	l.pending.Wait()
	return Row{Name: name, Tenants: l.results, Took: time.Since(l.start)}
}

// sendOpenLoop sends a tenant's requests at random times, whether earlier ones are answered or not. After a pause of
// the process, it sends all requests that were due meanwhile at once.
func (l *load) sendOpenLoop(tenant int, rate float64) {
	schedule := newArrivals(l.options.Seed, tenant, rate)
	for at := schedule.draw(); at < l.options.For; at = schedule.draw() {
		time.Sleep(time.Until(l.start.Add(at)))
		l.pending.Go(func() { l.send(tenant) })
	}
}

// sendClosedLoop sends each request no sooner than the mean interval after the response to the one before it. This way,
// requests arrive at the proxy no faster than the rate, even on a slow machine.
func (l *load) sendClosedLoop(tenant int, rate float64) {
	interval := time.Duration(float64(time.Second) / rate)
	for time.Since(l.start) < l.options.For {
		l.send(tenant)
		time.Sleep(interval)
	}
}

// send sends one request and counts its response.
func (l *load) send(tenant int) {
	request := &harness.Request{
		URL:     l.url,
		ID:      fmt.Sprint("r-", l.lastID.Add(1)),
		Class:   "read",
		Timeout: l.options.requestTimeout(),
		Tenant:  tenantNames[tenant],
	}
	start := time.Now()
	response, err := request.Send(l.client)
	latency := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[tenant].count(response, latency, err)
}
