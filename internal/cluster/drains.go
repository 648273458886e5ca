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
	// maxAdvertisedDrains bounds the draining servers that an instance advertises: with more a
	// release is under way, and nobody needs others to find out.
	maxAdvertisedDrains = 48
	// drainRefreshInterval is how long after its advertisement a drain that goes on is
	// advertised again.
	drainRefreshInterval = drainadvisory.MaxReportAge / 2
	// drainAdvertisers is how many instances in the mean advertise a drain at each round while
	// it has fewer than enoughDrainReports. In a large fleet the others leave it at that, so
	// that the messages do not grow with the fleet.
	drainAdvertisers = 8
	// enoughDrainReports is more than MinReporters, since reports may be lost.
	enoughDrainReports = 2 * drainadvisory.MinReporters
)

// drains advertises the servers that the own endpoint list has as draining, and advises the
// engine to hold back those that it has as ready although others know that they drain.
//
// Servers are identified by incarnation: a drain of one incarnation says nothing of the next.
type drains struct {
	cfg        *Config
	self       replication.Origin
	store      *replication.Store
	members    *membership
	rng        *rand.Rand
	log        *slog.Logger
	post       func(func(now balancer.Micros)) // to the engine
	goroutines *sync.WaitGroup                 // of the node, which waits for them at its end

	mu          sync.Mutex
	listed      map[string]engine.Host // by name, as the own source lists them
	listChanged bool                   // since endpoints was derived from it

	// Owned by the node's goroutine.
	endpoints  endpoints
	advertised map[string]time.Duration // when each drain was advertised, by incarnation

	advised atomic.Pointer[advisory] // the newest
	applied atomic.Pointer[advisory] // what the engine holds back
}

// endpoints are the incarnations of the own endpoint list.
type endpoints struct {
	hosts    map[string]engine.Host // by incarnation
	ready    []string
	draining []string // in order, at most maxAdvertisedDrains
}

// advisory lists servers to hold back.
type advisory struct {
	incarnations []string         // in order
	started      map[string]int64 // the same, as start times in Unix milliseconds by name
}

func newDrains(
	cfg *Config, store *replication.Store, members *membership, rng *rand.Rand,
	post func(func(now balancer.Micros)), goroutines *sync.WaitGroup,
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

// endpointsUpdated takes over an update of the own endpoint list, on any goroutine.
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

// update advertises drains and advises the engine. It is called once a gossip round.
func (d *drains) update(now time.Duration) {
	d.refreshEndpoints()
	reports, reporters := d.reports(now)
	d.withdrawEnded(now)
	d.advertise(now, reporters)
	if d.cfg.OnDrainAdvisory != nil {
		d.advise(reports)
	}
}

// refreshEndpoints derives endpoints from the own list if that has changed.
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

// reports returns what all instances advertise of drains, and how many others have lately
// advertised each, by incarnation.
func (d *drains) reports(now time.Duration) (reports []drainadvisory.Report, reporters map[string]int) {
	reporters = map[string]int{}
	for _, record := range d.store.View(now, topicDrain) {
		reports = append(reports, drainadvisory.Report{
			Origin:      record.Origin.Name,
			Incarnation: record.Subject,
			Age:         record.Age,
		})
		if record.Origin != d.self && record.Age < drainRefreshInterval {
			reporters[record.Subject]++
		}
	}
	return reports, reporters
}

// withdrawEnded withdraws drains of servers that are listed and no longer among the draining. A
// server that is not listed any more has ended: its drain stays until it is too old to count.
func (d *drains) withdrawEnded(now time.Duration) {
	for incarnation, at := range d.advertised {
		if slices.Contains(d.endpoints.draining, incarnation) {
			continue
		}
		_, listed := d.endpoints.hosts[incarnation]
		if listed || now-at > drainadvisory.MaxReportAge {
			d.store.Withdraw(now, topicDrain, incarnation)
			delete(d.advertised, incarnation)
		}
	}
}

// advertise advertises drains that not enough others have lately advertised.
func (d *drains) advertise(now time.Duration, reporters map[string]int) {
	others := len(d.members.others())
	for _, incarnation := range d.endpoints.draining {
		at, advertised := d.advertised[incarnation]
		if advertised && now-at < drainRefreshInterval {
			continue
		}
		if reporters[incarnation] >= enoughDrainReports {
			continue
		}
		if d.rng.Float64()*float64(others+1) > drainAdvertisers {
			continue
		}
		if err := d.store.Put(now, topicDrain, incarnation, nil); err != nil {
			d.log.Debug("advertisement failed", "topic", topicDrain, "subject", incarnation, "err", err)
		}
		d.advertised[incarnation] = now
	}
}

// advise posts the servers to hold back to the engine if they have changed.
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
	// The engine may be busy, and must not block the node's goroutine. Events that overtake each
	// other do no harm: each applies the newest advisory.
	d.goroutines.Go(func() {
		d.post(func(now balancer.Micros) {
			newest := d.advised.Load()
			d.cfg.OnDrainAdvisory(now, newest.started)
			d.applied.Store(newest)
		})
	})
}
