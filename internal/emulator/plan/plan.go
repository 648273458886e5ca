// Package plan is a rehearsal as it is played: a fleet, what its clients do, a
// timeline of faults, and the count of what came of it. It does no I/O and has no
// clock: the hosts (package simulation on virtual time, package realtime on sockets) play the
// same plan and count in the same way.
package plan

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/model"
	"pinedale/internal/engine"
	"pinedale/internal/subset"
	"pinedale/internal/upstream/handshake"
)

// Time is since the start of a play.
type Time = model.Time

// Never is an instant that does not come.
const Never = model.Never

// Incarnation is one life of a server.
type Incarnation struct {
	From  Time // it comes cold; 0: it was there before, warm
	Drain Time // told draining, Never if it is not
	End   Time // its process ends
}

// Always is the life of a server that was there before and stays.
var Always = []Incarnation{{Drain: Never, End: Never}}

// Server is one server of a scenario.
type Server struct {
	Name         string
	Site, Pod    int
	Kind         int // of machine
	Config       model.Config
	Faults       []model.Fault
	Incarnations []Incarnation // one after the other
}

// Class is one class of a scenario's requests.
type Class struct {
	balancer.Class
	Share float64
	Work  time.Duration // mean, on a core of speed 1
	CV    float64       // of the work, lognormal
}

// Tenant is one tenant, with its part of the load.
type Tenant struct {
	balancer.Tenant
	Load float64 // its share of the first tries
}

// Surge multiplies the rate while it lasts: of all, or of one tenant.
type Surge struct {
	From, Until Time
	Factor      float64
	Tenant      int // -1 for all
}

// CostSurge has a share of one class's requests cost a multiple while it lasts.
type CostSurge struct {
	From, Until Time
	Class       int
	Share       float64
	Factor      float64
}

// Rotation is a change of keys: connections of before it are replaced, spread over the time
// until its end, by new ones with full handshakes.
type Rotation struct{ From, Until Time }

// ReplaceAt is when a connection is of no more use by a rotation, Never where it began later. part
// spreads their ends, from 0 to 1.
func (r *Rotation) ReplaceAt(opened Time, part float64) Time {
	if opened >= r.From {
		return Never
	}
	return r.From + Time(part*float64(r.Until-r.From))
}

// Kill has some instances end at once, with all that they hold and know, and start again with nothing.
type Kill struct {
	At        Time
	Instances []int
}

// Clients is what clients do.
type Clients struct {
	Rate               float64       // first tries a second, over all instances
	RateVariation      float64       // coefficient of variation of their parts of it
	Retries            int           // of what is refused, failed or given up
	TimeoutRatio       float64       // of a class's patience, told for one try
	AffinityKeys       int           // that requests are about, 0 for none
	PopularityExponent float64       // of their popularity: that of the n-th goes by 1/n to this power
	AbandonAfter       time.Duration // after which a client goes away, whatever it told; 0 for never
	RetryDelay         time.Duration // before a retry, where no longer one was asked for
}

// Scenario is what is played.
type Scenario struct {
	Seed                 uint64
	Length               Time
	Sites                []string
	Kinds                []string         // of machine
	Weights              []float64        // of each kind: the work a second of a warm machine
	Latencies            [2]time.Duration // within a site, and between two
	Servers              []Server
	Instances            []int // site of each
	Classes              []Class
	Tenants              []Tenant
	Clients              Clients
	Surges               []Surge
	CostSurges           []CostSurge
	Rotations            []Rotation
	Kills                []Kill            // on virtual time alone
	Budget               *handshake.Config // of each instance's handshakes, nil for none; on virtual time alone
	Subset               *subset.Config    // of what each instance holds, but for its name and site; nil for the whole fleet
	MaxNotificationDelay time.Duration     // by which instances hear of the list's changes late, at most
	DrainDuration        time.Duration     // from a drain's telling to the process's end
	Settings             balancer.Settings
}

// Latency is how long what is sent from one site takes to another.
func (s *Scenario) Latency(from, to int) time.Duration {
	if from == to {
		return s.Latencies[0]
	}
	return s.Latencies[1]
}

// SettingsFor is the settings of one instance.
func (s *Scenario) SettingsFor(instance int) balancer.Settings {
	out := s.Settings
	out.Balancers, out.Position, out.Zone = len(s.Instances), instance, s.Instances[instance]
	out.Zones, out.Kinds, out.PollDiscovery = len(s.Sites), len(s.Kinds), false
	out.Classes, out.Tenants = nil, nil
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, c.Class)
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, t.Tenant)
	}
	return out
}

// SubsetFor is what an instance holds of the fleet, nil for all of it.
func (s *Scenario) SubsetFor(instance int) (engine.Subset, error) {
	if s.Subset == nil {
		return nil, nil
	}
	c := *s.Subset
	c.Instance, c.Site = fmt.Sprint("instance-", instance+1), s.Sites[s.Instances[instance]]
	return subset.New(c)
}

// NewDedupStore is what the fleet remembers of keys.
func (s *Scenario) NewDedupStore() *model.DedupStore {
	classes := make([]model.Class, len(s.Classes))
	for i, c := range s.Classes {
		classes[i] = c.DedupClass()
	}
	return model.NewDedupStore(classes)
}

// DedupClass is what a fleet knows of a class.
func (c *Class) DedupClass() model.Class {
	out := model.Class{Idempotency: model.Idempotency(c.Idempotency), Window: time.Duration(c.DedupWindow) * time.Microsecond}
	if c.Group != balancer.GroupAll {
		out.Scope = model.Group
	}
	return out
}

// ServerSeed is one server's, from the scenario's.
func (s *Scenario) ServerSeed(server int) uint64 { return s.Seed ^ uint64(server+1)*0x9e3779b97f4a7c15 }

// HostEntry is a server as a list of membership has it, in one of its lives. began is the
// time of the system, or of a host, at the play's start.
func (s *Scenario) HostEntry(server int, incarnation Incarnation, state balancer.State, address string, began time.Time) engine.Host {
	x := &s.Servers[server]
	h := engine.Host{Name: x.Name, Address: address, Site: s.Sites[x.Site], Kind: s.Kinds[x.Kind], Cell: uint16(x.Pod), State: state, Weight: 1}
	if incarnation.From > 0 {
		h.StartedMS = began.Add(incarnation.From).UnixMilli()
	}
	return h
}

// NotificationDelay is by how much an instance hears late of what happens to a server: the same for
// all that happens to it, so that news never overtakes older news.
func (s *Scenario) NotificationDelay(server, instance int) time.Duration {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(server+1)<<32|uint64(instance+1)))
	return time.Duration(rng.Float64() * float64(s.MaxNotificationDelay))
}
