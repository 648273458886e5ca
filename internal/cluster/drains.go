package cluster

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/drainadvisory"
	"pinedale/internal/engine"
	"pinedale/internal/replication"
)

const (
	// maxAdvertisedDrains bounds the draining servers that an instance advertises. A larger number
	// means that a release is being rolled out, which all instances detect by themselves.
	maxAdvertisedDrains = 48
	// drainRefreshInterval is the interval at which a drain that continues is advertised again.
	drainRefreshInterval = drainadvisory.MaxReportAge / 2
	// drainAdvertisers is the mean number of instances that advertise a drain in each gossip
	// round while it has fewer than enoughDrainReports. It limits the number of messages in a
	// large fleet.
	drainAdvertisers = 8
	// enoughDrainReports exceeds MinReporters because reports may be lost.
	enoughDrainReports = 2 * drainadvisory.MinReporters
)

// drains advertises the servers that this instance's endpoint list has as draining. It advises the
// engine to withhold new requests from servers that the list has as ready but other instances report
// as draining.
//
// Servers are identified by incarnation: a drain of one incarnation does not apply to the next.
type drains struct {
	cfg        *Config
	self       replication.Origin
	store      *replication.Store
	members    *membership
	rng        *rand.Rand
	log        *slog.Logger
	post       PostFunc
	goroutines *sync.WaitGroup // the node's; Close waits for them

	mu          sync.Mutex
	listed      map[string]engine.Host // this instance's endpoint list, by name
	listChanged bool                   // whether listed has changed since endpoints was derived from it

	// The node's goroutine owns the fields below.
	endpoints  endpoints
	advertised map[string]time.Duration // when each drain was advertised, by incarnation

	advised atomic.Pointer[advisory] // the latest advisory
	applied atomic.Pointer[advisory] // the latest advisory that the engine has applied
}

// endpoints holds the incarnations of this instance's endpoint list.
type endpoints struct {
	hosts    map[string]engine.Host // by incarnation
	ready    []string
	draining []string // sorted, at most maxAdvertisedDrains
}

// advisory is a set of server incarnations that get no new requests.
type advisory struct {
	incarnations []string         // sorted
	started      map[string]int64 // start times in Unix milliseconds, by name
}

func newDrains(
	cfg *Config,
	store *replication.Store,
	members *membership,
	rng *rand.Rand,
	post PostFunc,
	goroutines *sync.WaitGroup,
) *drains {
	d := &drains{
		cfg:        cfg,
		self:       store.Self(),
		store:      store,
		members:    members,
		rng:        rng,
		log:        cfg.Log,
		post:       post,
		goroutines: goroutines,
		listed:     map[string]engine.Host{},
		advertised: map[string]time.Duration{},
	}
	d.advised.Store(&advisory{})
	d.applied.Store(&advisory{})
	return d
}

// endpointsUpdated handles an update of this instance's endpoint list. It may be called on any
// goroutine.
func (d *drains) endpointsUpdated(kind balancer.ListKind, list engine.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listChanged = true
	if kind == balancer.ListFull {
		clear(d.listed)
	}
	for _, host := range list.Hosts {
		if host.State == balancer.Removed {
			delete(d.listed, host.Name)
		} else {
			d.listed[host.Name] = host
		}
	}
}

// update advertises drains and advises the engine. It is called once per gossip round.
func (d *drains) update(now time.Duration) {
	d.refreshEndpoints()
	reports, reporterCounts := d.reports(now)
	d.withdrawEnded(now)
	d.advertise(now, reporterCounts)
	if d.cfg.OnDrainAdvisory != nil {
		d.advise(reports)
	}
}

// refreshEndpoints derives endpoints from this instance's list if the list has changed.
func (d *drains) refreshEndpoints() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.listChanged {
		return
	}
	d.listChanged = false
	d.endpoints = endpoints{hosts: map[string]engine.Host{}}
	for _, host := range d.listed {
		incarnation := incarnationOf(host.Name, host.StartedMS)
		d.endpoints.hosts[incarnation] = host
		if host.State == balancer.Ready {
			d.endpoints.ready = append(d.endpoints.ready, incarnation)
		} else {
			d.endpoints.draining = append(d.endpoints.draining, incarnation)
		}
	}
	slices.Sort(d.endpoints.draining)
	d.endpoints.draining = d.endpoints.draining[:min(len(d.endpoints.draining), maxAdvertisedDrains)]
}

// reports returns the drains that all instances advertise, and how many other instances have
// recently advertised each, by incarnation.
func (d *drains) reports(now time.Duration) (reports []drainadvisory.Report, reporterCounts map[string]int) {
	reporterCounts = map[string]int{}
	for _, record := range d.store.View(now, topicDrain) {
		reports = append(reports, drainadvisory.Report{
			Origin:      record.Origin.Name,
			Incarnation: record.Subject,
			Age:         record.Age,
		})
		if record.Origin != d.self && record.Age < drainRefreshInterval {
			reporterCounts[record.Subject]++
		}
	}
	return reports, reporterCounts
}

// withdrawEnded withdraws the advertised drains of servers that are listed but no longer draining. A
// server that is no longer listed has terminated; its drain is withdrawn when the report is too old
// to count.
func (d *drains) withdrawEnded(now time.Duration) {
	for incarnation, advertisedAt := range d.advertised {
		if slices.Contains(d.endpoints.draining, incarnation) {
			continue
		}
		_, listed := d.endpoints.hosts[incarnation]
		if listed || now-advertisedAt > drainadvisory.MaxReportAge {
			d.store.Withdraw(now, topicDrain, incarnation)
			delete(d.advertised, incarnation)
		}
	}
}

// advertise advertises drains that too few other instances have recently advertised.
func (d *drains) advertise(now time.Duration, reporterCounts map[string]int) {
	instanceCount := len(d.members.others()) + 1
	for _, incarnation := range d.endpoints.draining {
		advertisedAt, advertised := d.advertised[incarnation]
		if advertised && now-advertisedAt < drainRefreshInterval {
			continue
		}
		if reporterCounts[incarnation] >= enoughDrainReports {
			continue
		}
		selected := d.rng.Float64()*float64(instanceCount) <= drainAdvertisers
		if !selected {
			continue
		}
		if err := d.store.Put(now, topicDrain, incarnation, nil); err != nil {
			d.log.Debug("advertisement failed", "topic", topicDrain, "subject", incarnation, "err", err)
		}
		d.advertised[incarnation] = now
	}
}

// advise posts an advisory to the engine if the servers that get no new requests have changed.
func (d *drains) advise(reports []drainadvisory.Report) {
	incarnations := drainadvisory.Withheld(d.cfg.Name, d.endpoints.ready, reports)
	if slices.Equal(incarnations, d.advised.Load().incarnations) {
		return
	}
	d.log.Info("drain advisory changed", "servers", incarnations)
	next := &advisory{incarnations: incarnations, started: map[string]int64{}}
	for _, incarnation := range incarnations {
		host := d.endpoints.hosts[incarnation]
		next.started[host.Name] = host.StartedMS
	}
	d.advised.Store(next)
	// The engine must not block the node's goroutine. The order of the events does not matter,
	// because each event applies the latest advisory.
	d.goroutines.Go(func() {
		d.post(func(now balancer.Micros) {
			latest := d.advised.Load()
			d.cfg.OnDrainAdvisory(now, latest.started)
			d.applied.Store(latest)
		})
	})
}
