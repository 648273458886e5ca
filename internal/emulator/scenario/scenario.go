// Package scenario reads scenario files: a fleet, the load on it, what its clients do,
// and a timeline of faults.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/subset"
	"pinedale/internal/tomlfile"
	"pinedale/internal/upstream/handshake"
)

// Duration is written with its unit.
type Duration = tomlfile.Duration

const (
	maxFileBytes = 1 << 20
	maxLength    = time.Hour
	maxServers   = 10_000
	maxInstances = 10_000
)

// File is a scenario as written.
type File struct {
	Version int      `toml:"version"`
	Name    string   `toml:"name"`
	Seed    uint64   `toml:"seed"`
	Length  Duration `toml:"length"`
	Sites   []string `toml:"sites"`
	Latency struct {
		Same  Duration `toml:"same"`  // one way within a site
		Other Duration `toml:"other"` // and between two
	} `toml:"way"`
	Clients struct {
		Rate     float64  `toml:"rate"`   // first tries a second
		Uneven   float64  `toml:"uneven"` // coefficient of variation of the instances' parts of it
		Retries  int      `toml:"retries"`
		TryShare float64  `toml:"try_share"` // of the class's patience, told for one try
		GiveUp   Duration `toml:"give_up"`   // after which they go away whatever they told; 0 for never
		Subjects int      `toml:"subjects"`  // that requests are about, 0 for none
		Skew     float64  `toml:"skew"`      // of their popularity
		Pause    Duration `toml:"pause"`     // before a retry, where no longer one is asked for
	} `toml:"clients"`
	Limits struct {
		Attempts int  `toml:"attempts"`  // at a request
		NoCopies bool `toml:"no_copies"` // never two at once
	} `toml:"limits"`
	Tenants []Tenant `toml:"tenant"`
	List    struct {
		Notice   Duration `toml:"notice"`    // by which instances hear late
		DrainFor Duration `toml:"drain_for"` // from a drain's telling to the end
	} `toml:"list"`
	Subset struct { // of the fleet, that an instance holds; all of it without floor
		Floor  int     `toml:"floor"`  // servers at the least
		Spread float64 `toml:"spread"` // and for each request in flight
	} `toml:"subset"`
	Handshakes struct { // of all instances together; none without per_server
		PerServer float64 `toml:"per_server"` // a second with one server
		All       float64 `toml:"all"`        // and of one instance with all servers
		Burst     float64 `toml:"burst"`      // at once with one server
	} `toml:"handshakes"`
	Instances []struct {
		Site  string `toml:"site"`
		Count int    `toml:"count"`
	} `toml:"instances"`
	Classes  []Class   `toml:"class"`
	Machines []Machine `toml:"machine"`
	Servers  []struct {
		Machine string `toml:"machine"`
		Site    string `toml:"site"`
		Count   int    `toml:"count"`
	} `toml:"servers"`
	PodSize int     `toml:"pod_size"`
	Faults  []Fault `toml:"trouble"`
}

// Class is one class of requests.
type Class struct {
	Name             string   `toml:"name"`
	Repeat           string   `toml:"repeat"`
	Group            string   `toml:"group"`
	Window           Duration `toml:"window"`
	LatencyObjective Duration `toml:"aim"`
	Deadline         Duration `toml:"deadline"`
	PriorityWeight   float64  `toml:"worth"`
	Share            float64  `toml:"share"`
	Work             Duration `toml:"work"` // mean, on a core of speed 1
	CV               float64  `toml:"cv"`
}

// Tenant is one tenant and its part of the load.
type Tenant struct {
	Name      string  `toml:"name"`
	Load      float64 `toml:"load"`      // its share of the first tries
	Allowance float64 `toml:"allowance"` // requests a second
}

// Machine is one kind of machine.
type Machine struct {
	Name           string   `toml:"name"`
	Cores          int      `toml:"cores"`
	Speed          float64  `toml:"speed"`
	SlotsPerCore   int      `toml:"slots_per_core"`
	QueuePerCore   int      `toml:"queue_per_core"`
	Thrash         float64  `toml:"thrash"`
	ThrashAt       float64  `toml:"thrash_at"`
	SlowStartRatio float64  `toml:"cold_from"`
	SlowStartTime  Duration `toml:"cold_for"`
	WarmByWork     bool     `toml:"warm_by_work"`
	PauseEvery     Duration `toml:"pause_every"`
	PauseFor       Duration `toml:"pause_for"`
	ReportEvery    Duration `toml:"report_every"`
	ReportDelay    Duration `toml:"report_delay"`
	ReportNoise    float64  `toml:"report_noise"`
	Connections    int      `toml:"connections"` // open at once, 0 for any number
	Handshake      Duration `toml:"handshake"`   // work of a core for a new connection
	ProbeWork      Duration `toml:"probe_work"`  // and for a probe
	Subjects       int      `toml:"subjects"`    // remembered, the latest met
	SubjectSaves   float64  `toml:"subject_saves"`
	SubjectFor     Duration `toml:"subject_for"`
}

// Fault is one fault of the timeline.
type Fault struct {
	Kind   string   `toml:"kind"`
	From   Duration `toml:"from"`
	Until  Duration `toml:"until"`
	Part   float64  `toml:"part"`   // of the servers, or the instances, that have it, drawn by the seed
	Share  float64  `toml:"share"`  // of requests
	Factor float64  `toml:"factor"` // of rate or work
	Class  string   `toml:"class"`
	Site   string   `toml:"site"`
	Tenant string   `toml:"tenant"` // of a surge, "" for all
	Gap    Duration `toml:"gap"`    // between a life's end and the next
}

// kinds are the faults, and which keys each needs.
var kinds = map[string][]string{
	"fail_fast": {"part", "share", "until"},  // servers fail a share of requests at once, and look healthy
	"swallow":   {"part", "share", "until"},  // a share is never answered
	"silent":    {"part", "until"},           // servers answer nothing
	"slow":      {"part", "factor", "until"}, // servers work slower, and answer probes as ever
	"crash":     {"part", "gap"},             // servers die at once, and come back cold
	"break":     {"part", "share", "until"},  // a share of requests loses its connection once its work is done
	"cut_off":   {"site", "until"},           // all servers of a site answer nothing
	"surge":     {"factor", "until"},         // the rate is multiplied
	"costly":    {"class", "share", "factor", "until"},
	"start":     {"part"},                 // servers come then, cold
	"drain":     {"part"},                 // servers drain, one after the other until Until
	"kill":      {"part"},                 // instances end at once and start again with nothing
	"rotate":    {"until"},                // keys change: standing connections are replaced until then
	"restart":   {"part", "until", "gap"}, // they drain, end and come back cold, one after the other
}

// Load reads and checks a scenario file.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// Parse is Load on a file's text. Its error joins one *tomlfile.Error for each fault.
func Parse(data []byte) (*File, error) {
	f := &File{Seed: 1, PodSize: 4}
	f.Limits.Attempts = 3
	f.Clients.TryShare, f.Clients.Pause = 1, Duration(50*time.Millisecond)
	in, err := tomlfile.Decode(data, maxFileBytes, f)
	if err != nil {
		return nil, err
	}
	c := checker{in, f}
	c.all()
	if err := c.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

type checker struct {
	*tomlfile.File
	f *File
}

func (c *checker) all() {
	f := c.f
	c.Require(f.Version == 1, "version", "%d is not a known version of this file; this program reads 1", f.Version)
	c.Require(f.Length > 0 && time.Duration(f.Length) <= maxLength, "length", "%v is not over 0 and up to %v", time.Duration(f.Length), maxLength)
	c.Require(len(f.Sites) > 0 && len(f.Sites) < 255, "sites", "%d sites, must be 1 to 254", len(f.Sites))
	c.Require(f.Latency.Same >= 0, "way.same", "is negative")
	c.Require(f.Latency.Other >= 0, "way.other", "is negative")
	c.Require(f.Clients.Rate > 0 && f.Clients.Rate <= 1e6, "clients.rate", "%v is not over 0 and up to 1e6", f.Clients.Rate)
	c.Require(f.Clients.Uneven >= 0 && f.Clients.Uneven <= 10, "clients.uneven", "%v is not in 0 to 10", f.Clients.Uneven)
	c.Require(f.Clients.Retries >= 0 && f.Clients.Retries <= 10, "clients.retries", "%d is not in 0 to 10", f.Clients.Retries)
	c.Require(f.Clients.TryShare > 0 && f.Clients.TryShare <= 1, "clients.try_share", "%v is not over 0 and up to 1", f.Clients.TryShare)
	c.Require(f.Clients.Subjects >= 0 && f.Clients.Subjects <= 1e6, "clients.subjects", "%d is not in 0 to 1e6", f.Clients.Subjects)
	c.Require(f.Clients.Skew >= 0 && f.Clients.Skew <= 10, "clients.skew", "%v is not in 0 to 10", f.Clients.Skew)
	c.Require(f.Clients.GiveUp >= 0, "clients.give_up", "is negative")
	c.Require(f.Clients.Pause >= 0, "clients.pause", "is negative")
	c.Require(f.Limits.Attempts >= 1 && f.Limits.Attempts <= 100, "limits.attempts", "%d is not in 1 to 100", f.Limits.Attempts)
	c.Require(f.List.Notice >= 0, "list.notice", "is negative")
	c.Require(f.List.DrainFor >= 0, "list.drain_for", "is negative")
	c.Require(f.PodSize >= 1, "pod_size", "%d is not positive", f.PodSize)
	site := func(key, name string) {
		c.Require(slices.Contains(f.Sites, name), key, "%q is not in sites", name)
	}
	n := 0
	for i, x := range f.Instances {
		at := fmt.Sprintf("instances[%d]", i)
		site(at+".site", x.Site)
		c.Require(x.Count >= 1, at+".count", "%d is not positive", x.Count)
		n += x.Count
	}
	c.Require(n >= 1 && n <= maxInstances, "instances", "%d in all, must be 1 to %d", n, maxInstances)
	c.classes()
	c.tenants()
	c.servers(site)
	c.subset()
	c.handshakes()
	c.faults(site)
}

func (c *checker) classes() {
	var sum float64
	for i, k := range c.f.Classes {
		at := fmt.Sprintf("class[%d].", i)
		c.Require(k.Name != "", at+"name", "is missing")
		c.Require(slices.Contains([]string{"safe", "keyed", "unsafe"}, k.Repeat), at+"repeat", "%q is not one of safe, keyed, unsafe", k.Repeat)
		c.Require(k.Repeat != "keyed" || k.Group == "all" || k.Group == "pod", at+"group", "%q is neither all nor pod", k.Group)
		c.Require(k.Repeat != "keyed" || k.Window > 0, at+"window", "a keyed class needs one")
		c.Positive(at+"aim", k.LatencyObjective)
		c.Require(k.Deadline >= k.LatencyObjective, at+"deadline", "%v is under the aim", time.Duration(k.Deadline))
		c.Positive(at+"work", k.Work)
		c.Require(k.CV >= 0 && k.CV <= 10, at+"cv", "%v is not in 0 to 10", k.CV)
		c.Require(k.PriorityWeight >= 0, at+"worth", "is negative")
		c.Require(k.Share >= 0, at+"share", "is negative")
		sum += k.Share
	}
	c.Require(len(c.f.Classes) > 0, "class", "no class is there")
	c.Require(len(c.f.Classes) == 0 || sum > 0.999 && sum < 1.001, "class", "the shares sum to %v, must be 1", sum)
}

func (c *checker) tenants() {
	var sum float64
	for i, t := range c.f.Tenants {
		at := fmt.Sprintf("tenant[%d].", i)
		c.Require(t.Name != "", at+"name", "is missing")
		c.Require(t.Load >= 0, at+"load", "is negative")
		c.Require(t.Allowance > 0, at+"allowance", "%v is not positive", t.Allowance)
		sum += t.Load
	}
	c.Require(len(c.f.Tenants) == 0 || sum > 0.999 && sum < 1.001, "tenant", "the loads sum to %v, must be 1", sum)
}

func (c *checker) servers(site func(key, name string)) {
	machines := map[string]bool{}
	c.Require(len(c.f.Machines) < 255, "machine", "%d kinds, must be under 255", len(c.f.Machines))
	for i, m := range c.f.Machines {
		at := fmt.Sprintf("machine[%d].", i)
		c.Require(m.Name != "" && !machines[m.Name], at+"name", "%q is missing or there twice", m.Name)
		machines[m.Name] = true
		c.Require(m.Cores >= 1 && m.Cores <= 1024, at+"cores", "%d is not in 1 to 1024", m.Cores)
		c.Require(m.Speed > 0 && m.Speed <= 1000, at+"speed", "%v is not over 0 and up to 1000", m.Speed)
		c.Require(m.SlotsPerCore >= 0 && m.QueuePerCore >= 0, at+"slots_per_core", "slots and queue must not be negative")
		c.Require(m.Thrash >= 0 && m.ThrashAt >= 0, at+"thrash", "is negative")
		c.Require(m.SlowStartTime == 0 || m.SlowStartRatio > 0 && m.SlowStartRatio <= 1, at+"cold_from", "%v is not over 0 and up to 1", m.SlowStartRatio)
		for key, d := range map[string]Duration{"cold_for": m.SlowStartTime, "pause_every": m.PauseEvery, "pause_for": m.PauseFor,
			"report_every": m.ReportEvery, "report_delay": m.ReportDelay, "handshake": m.Handshake, "probe_work": m.ProbeWork, "subject_for": m.SubjectFor} {
			c.Require(d >= 0, at+key, "is negative")
		}
		c.Require(m.Connections >= 0, at+"connections", "is negative")
		c.Require(m.Subjects >= 0, at+"subjects", "is negative")
		c.Require(m.SubjectSaves >= 0 && m.SubjectSaves < 1, at+"subject_saves", "%v is not in 0 to 1", m.SubjectSaves)
		c.Require(m.ReportNoise >= 0 && m.ReportNoise < 1, at+"report_noise", "%v is not in 0 to 1", m.ReportNoise)
	}
	n := 0
	for i, x := range c.f.Servers {
		at := fmt.Sprintf("servers[%d].", i)
		c.Require(machines[x.Machine], at+"machine", "%q is not a machine of this file", x.Machine)
		site(at+"site", x.Site)
		c.Require(x.Count >= 1, at+"count", "%d is not positive", x.Count)
		n += x.Count
	}
	c.Require(n >= 1 && n <= maxServers, "servers", "%d in all, must be 1 to %d", n, maxServers)
}

func (c *checker) subset() {
	x := &c.f.Subset
	c.Require(x.Floor == 0 || x.Floor >= 2 && x.Floor <= maxServers, "subset.floor", "%d is not 2 to %d", x.Floor, maxServers)
	c.Require(x.Spread >= 0 && x.Spread <= 1000, "subset.spread", "%v is not in 0 to 1000", x.Spread)
	c.Require(x.Floor > 0 || x.Spread == 0, "subset.floor", "is missing")
}

func (c *checker) handshakes() {
	h := &c.f.Handshakes
	for key, x := range map[string]float64{"per_server": h.PerServer, "all": h.All, "burst": h.Burst} {
		c.Require(x >= 0 && x <= 1e6, "handshakes."+key, "%v is not in 0 to 1e6", x)
	}
	c.Require(h.PerServer > 0 || h.All == 0 && h.Burst == 0, "handshakes.per_server", "is missing")
}

func (c *checker) faults(site func(key, name string)) {
	for i, x := range c.f.Faults {
		at := fmt.Sprintf("trouble[%d].", i)
		needs, ok := kinds[x.Kind]
		var known []string
		for k := range kinds {
			known = append(known, k)
		}
		sort.Strings(known)
		c.Require(ok, at+"kind", "%q is not one of %s", x.Kind, strings.Join(known, ", "))
		c.Require(x.From >= 0 && x.From < c.f.Length, at+"from", "%v is not within the play", time.Duration(x.From))
		needed := func(key string) bool { return slices.Contains(needs, key) }
		c.Require(x.Until > x.From || !needed("until") && x.Until == 0, at+"until", "%v is not after from", time.Duration(x.Until))
		if needed("part") {
			c.Require(x.Part > 0 && x.Part <= 1, at+"part", "%v is not over 0 and up to 1", x.Part)
		}
		if needed("share") {
			c.Require(x.Share > 0 && x.Share <= 1, at+"share", "%v is not over 0 and up to 1", x.Share)
		}
		if needed("factor") {
			c.Require(x.Factor > 0 && x.Factor <= 1000, at+"factor", "%v is not over 0 and up to 1000", x.Factor)
		}
		if needed("class") {
			c.Require(slices.ContainsFunc(c.f.Classes, func(k Class) bool { return k.Name == x.Class }), at+"class", "%q is not a class of this file", x.Class)
		}
		c.Require(x.Gap >= 0 && (needed("gap") || x.Gap == 0), at+"gap", "%v is negative, or of no use to this kind", time.Duration(x.Gap))
		c.Require(x.Tenant == "" || x.Kind == "surge" && slices.ContainsFunc(c.f.Tenants, func(t Tenant) bool { return t.Name == x.Tenant }),
			at+"tenant", "%q is not a tenant of this file, or the kind takes none", x.Tenant)
		if needed("site") {
			site(at+"site", x.Site)
		}
	}
}

// machine is a kind as the model has it. The rule's figures on cold servers are those
// that the instances are told.
func (m *Machine) config() model.Config {
	c := model.Config{Cores: m.Cores, Speed: m.Speed, SlotsPerCore: max(1, m.SlotsPerCore), QueuePerCore: m.QueuePerCore,
		ThrashRatio: m.Thrash, ThrashThreshold: m.ThrashAt, SlowStartRatio: m.SlowStartRatio, SlowStartTime: time.Duration(m.SlowStartTime), WarmByWork: m.WarmByWork,
		OverloadMultiple: fallFactor, OverloadWindow: time.Second, PauseInterval: time.Duration(m.PauseEvery), PauseDuration: time.Duration(m.PauseFor),
		ReportInterval: time.Duration(m.ReportEvery), ReportDelay: time.Duration(m.ReportDelay), ReportNoise: m.ReportNoise,
		MaxConnections: m.Connections, KeyCacheSize: m.Subjects, KeyCacheSavings: m.SubjectSaves, KeyCacheTTL: time.Duration(m.SubjectFor), ProbeWork: time.Duration(m.ProbeWork), HandshakeWork: time.Duration(m.Handshake)}
	if c.ProbeWork == 0 {
		c.ProbeWork = 120 * time.Microsecond
	}
	if c.HandshakeWork == 0 {
		c.HandshakeWork = time.Millisecond
	}
	if c.ReportInterval == 0 {
		c.ReportInterval = 150 * time.Millisecond
	}
	return c
}

// fallFactor is the multiple of what a cold server can do at which it falls over.
const fallFactor = 2.5

// Plan is the scenario as it is played, with another seed if that is not 0.
func (f *File) Plan(seed uint64) *plan.Scenario {
	if seed == 0 {
		seed = f.Seed
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	s := &plan.Scenario{Seed: seed, Length: time.Duration(f.Length), Sites: f.Sites,
		Latencies:            [2]time.Duration{time.Duration(f.Latency.Same), time.Duration(f.Latency.Other)},
		MaxNotificationDelay: time.Duration(f.List.Notice), DrainDuration: time.Duration(f.List.DrainFor),
		Clients: plan.Clients{Rate: f.Clients.Rate, RateVariation: f.Clients.Uneven, Retries: f.Clients.Retries, TimeoutRatio: f.Clients.TryShare,
			AffinityKeys: f.Clients.Subjects, PopularityExponent: f.Clients.Skew,
			AbandonAfter: time.Duration(f.Clients.GiveUp), RetryDelay: time.Duration(f.Clients.Pause)},
		Settings: balancer.Settings{Fields: []balancer.Field{balancer.FieldErrors, balancer.FieldQueue},
			Limits:   balancer.Limits{Cancel: true, Probes: true, Hedging: !f.Limits.NoCopies, RetryAfter: true, MaxAttempts: f.Limits.Attempts, MaxOpen: 20_000, MaxRetryAfter: 1_500_000, KeepAlive: 5_000_000},
			Contract: balancer.Contract{DrainGrace: 2_000_000, SlowStartRatio: 1, OverloadMultiple: fallFactor, OverloadTime: 1_000_000, PollInterval: 10_000_000},
			Prices:   balancer.Prices{CrossZone: 0.03, Probe: 0.05}, Goal: balancer.Goal{Overall: 0.45, WorstWindow: 0.35, WorstClass: 0.2}, WeightByWork: true}}
	for _, x := range f.Instances {
		for range x.Count {
			s.Instances = append(s.Instances, slices.Index(f.Sites, x.Site))
		}
	}
	for _, k := range f.Classes {
		c := plan.Class{Class: balancer.Class{Name: k.Name, DedupWindow: k.Window.Microseconds(), LatencyObjective: k.LatencyObjective.Microseconds(), ClientTimeout: k.Deadline.Microseconds(), PriorityWeight: k.PriorityWeight, LateWeightRatio: 0.3},
			Share: k.Share, Work: time.Duration(k.Work), CV: k.CV}
		switch k.Repeat {
		case "keyed":
			c.Idempotency = balancer.IdempotentWithKey
			if k.Group == "pod" {
				c.Group = balancer.GroupCell
			}
		case "unsafe":
			c.Idempotency = balancer.NotIdempotent
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, plan.Tenant{Tenant: balancer.Tenant{Name: t.Name, Quota: t.Allowance, Share: t.Load}, Load: t.Load})
	}
	s.Settings.KeyAffinity = f.Clients.Subjects > 0
	for _, m := range f.Machines {
		s.Kinds, s.Weights = append(s.Kinds, m.Name), append(s.Weights, float64(m.Cores)*m.Speed)
	}
	contract := &s.Settings.Contract
	for _, x := range f.Servers {
		kind := slices.Index(s.Kinds, x.Machine)
		m := &f.Machines[kind]
		if m.SlowStartTime > 0 { // the instances are told the worst of the fleet
			contract.SlowStartRatio = min(contract.SlowStartRatio, m.SlowStartRatio)
			contract.SlowStartTime = max(contract.SlowStartTime, m.SlowStartTime.Microseconds())
		}
		for range x.Count {
			n := len(s.Servers)
			s.Servers = append(s.Servers, plan.Server{Name: fmt.Sprintf("%s-%d", x.Machine, n+1), Site: slices.Index(f.Sites, x.Site),
				Kind: kind, Pod: n / f.PodSize, Config: m.config(), Incarnations: plan.Always})
		}
	}
	for _, x := range f.Faults {
		f.addFault(s, rng, x)
	}
	if f.Subset.Floor > 0 {
		s.Subset = &subset.Config{MinSize: f.Subset.Floor, PerInFlight: f.Subset.Spread}
		for _, k := range f.Classes {
			s.Subset.RankPods = s.Subset.RankPods || k.Group == "pod"
		}
	}
	if h := f.Handshakes; h.PerServer > 0 {
		all := handshake.Config{PerServer: h.PerServer, All: h.All, Burst: h.Burst,
			InitialWarmupRatio: s.Settings.Contract.SlowStartRatio, WarmWithin: time.Duration(s.Settings.Contract.SlowStartTime) * time.Microsecond}
		one := all.Share(len(s.Instances), 0)
		s.Budget = &one
	}
	return s
}
