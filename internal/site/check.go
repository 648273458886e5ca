package site

import (
	"fmt"
	"net"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/intake"
	"pinedale/internal/policy"
	"pinedale/internal/subset"
	"pinedale/internal/tomlfile"
)

// The most that the rules let a file ask for.
const (
	attemptsMost = 3       // at a request, the protocol's limit
	namesMost    = 255     // sites or kinds: the balancer numbers them in one byte
	podsMost     = 1 << 16 // and pods in two
	classesMost  = 256     // as the balancer numbers them
	serversMost  = 10_000
)

var repeats = map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentWithKey, "unsafe": balancer.NotIdempotent}
var groups = map[string]balancer.Group{"all": balancer.GroupAll, "site": balancer.GroupZone, "pod": balancer.GroupCell}
var reports = map[string]balancer.Field{"inflight": balancer.FieldInflight, "queue": balancer.FieldQueue,
	"util": balancer.FieldUtil, "latency_ms": balancer.FieldLatency, "qps": balancer.FieldServed, "eps": balancer.FieldErrors}

// check finds every fault of a file.
type check struct {
	*tomlfile.File
	file   *File
	before *policy.Table
}

func (c *check) address(key, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = net.LookupPort("tcp", port)
	}
	c.Require(err == nil && port != "", key, "%q is not host:port", value)
}

func words[T any](known map[string]T) string {
	var all []string
	for w := range known {
		all = append(all, w)
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

func (c *check) all() {
	f := c.file
	c.Require(f.Version == 1, "version", "%d is not a known version of this file; this program reads 1", f.Version)
	c.Require(f.HTTP.Listen != "" || f.HTTP3.Listen != "" || f.ExtProc.Listen != "", "http.listen", "no front is switched on: set this, http3.listen or ext_proc.listen")
	c.http3()
	c.keys()
	c.upstream()
	if f.HTTP.Listen != "" {
		c.address("http.listen", f.HTTP.Listen)
	}
	if f.ExtProc.Listen != "" {
		c.address("ext_proc.listen", f.ExtProc.Listen)
		_, port, _ := net.SplitHostPort(f.HTTP.Listen)
		c.Require(f.ExtProc.Listen != f.HTTP.Listen || port == "0", "ext_proc.listen", "%q is http.listen, too", f.ExtProc.Listen)
	}
	c.Require(f.ExtProc.Retries == "none" || f.ExtProc.Retries == "ask-again", "ext_proc.retries",
		"%q is neither none nor ask-again", f.ExtProc.Retries)
	c.Require(f.ExtProc.Streams >= 1, "ext_proc.streams", "%d is not positive", f.ExtProc.Streams)
	c.Require(f.ExtProc.Backlog >= 1 && f.ExtProc.Backlog <= 1024, "ext_proc.backlog", "%d is not in 1 to 1024", f.ExtProc.Backlog)
	c.limits()
	c.fleet()
	c.classes()
	c.members()
	c.peers()
	c.policy()
	if c.Valid() {
		// The module's own checks are the last net.
		s := f.Settings()
		if err := s.Validate(); err != nil {
			c.Require(false, "file", "%v", err)
		}
	}
}

func (c *check) http3() {
	h := &c.file.HTTP3
	c.Require(h.Connections >= 1, "http3.connections", "%d is not positive", h.Connections)
	c.Require(h.Streams >= 1 && h.Streams <= 1<<16, "http3.streams", "%d is not in 1 to %d", h.Streams, 1<<16)
	if h.Listen != "" {
		c.address("http3.listen", h.Listen)
		c.Require(h.Keys != "", "http3.keys", "is missing: HTTP/3 needs a certificate")
	}
}

func (c *check) limits() {
	l := &c.file.Limits
	for _, n := range [...]struct {
		key   string
		value int
	}{{"memory_mb", l.MemoryMB}, {"client_connections", l.ClientConnections},
		{"upstream_connections", l.UpstreamConnections}, {"open_requests", l.OpenRequests}} {
		c.Require(n.value >= 1, "limits."+n.key, "%d is not positive", n.value)
	}
	c.Require(l.Attempts >= 1 && l.Attempts <= attemptsMost, "limits.attempts",
		"%d is not in 1 to %d: no request may be sent more often", l.Attempts, attemptsMost)
	c.Require(l.RetryAfterMost >= 0, "limits.retry_after_most", "%v is negative", time.Duration(l.RetryAfterMost))
	c.Positive("limits.dial_timeout", l.DialTimeout)
	c.Positive("limits.idle_timeout", l.IdleTimeout)
}

func (c *check) fleet() {
	l := &c.file.Fleet
	c.Require(l.Instances >= 1, "fleet.instances", "%d is not positive", l.Instances)
	for key, list := range map[string][]string{"fleet.sites": l.Sites, "fleet.kinds": l.Kinds} {
		c.Require(len(list) <= namesMost, key, "%d names, at most %d", len(list), namesMost)
		for i, name := range list {
			c.Require(name != "", key, "name %d is empty", i+1)
			c.Require(!slices.Contains(list[:i], name), key, "%q is there twice", name)
		}
	}
	c.Require(len(l.Sites) > 0, "fleet.sites", "no site is named")
	c.Require(slices.Contains(l.Sites, c.file.Site), "site", "%q is not in fleet.sites", c.file.Site)
	for _, r := range l.Reports {
		_, ok := reports[r]
		c.Require(ok, "fleet.reports", "%q is not one of %s", r, words(reports))
	}
	c.Require(l.DrainGrace >= 0, "fleet.drain_grace", "%v is negative", time.Duration(l.DrainGrace))
	c.Require(l.ColdFrom > 0 && l.ColdFrom <= 1, "fleet.cold_from", "%v is not over 0 and up to 1", l.ColdFrom)
	c.Require(l.WarmWithin >= 0, "fleet.warm_within", "%v is negative", time.Duration(l.WarmWithin))
	// A keyed request may be resent within a site or a pod alone: of each site there must be two.
	least := 4 * max(1, len(l.Sites))
	c.Require(l.Subset == 0 || l.Subset >= least && l.Subset <= serversMost, "fleet.subset", "%d is not 0 (the whole fleet) or %d to %d", l.Subset, least, serversMost)
	c.Require(l.Spread >= 0 && l.Spread <= 1000, "fleet.subset_spread", "%v is not in 0 to 1000", l.Spread)
	c.Require(l.Subset == 0 || c.file.Name != "", "name", "is missing: by it an instance chooses its part of the fleet")
	c.Require(l.FallFactor > 0, "fleet.fall_factor", "%v is not positive", l.FallFactor)
	c.Require(l.FallAfter >= 0, "fleet.fall_after", "%v is negative", time.Duration(l.FallAfter))
}

func (c *check) classes() {
	c.Require(len(c.file.Classes) > 0, "class", "no class is there")
	c.Require(len(c.file.Classes) <= classesMost, "class", "%d classes, at most %d", len(c.file.Classes), classesMost)
	seen := map[string]bool{}
	for i, k := range c.file.Classes {
		at := func(key string) string { return fmt.Sprintf("class[%d].%s", i, key) }
		// The class is the first part of the path and a header's value.
		c.Require(k.Name != "" && !strings.ContainsAny(k.Name, "/?# \t\r\n"), at("name"), "%q can't be the first part of a path", k.Name)
		c.Require(!seen[k.Name], at("name"), "%q is there twice", k.Name)
		seen[k.Name] = true
		repeat, ok := repeats[k.Repeat]
		c.Require(ok, at("repeat"), "%q is not one of %s", k.Repeat, words(repeats))
		c.Positive(at("aim"), k.Aim)
		c.Positive(at("deadline"), k.Deadline)
		c.Require(k.Deadline >= k.Aim, at("deadline"), "%v is under the aim of %v", time.Duration(k.Deadline), time.Duration(k.Aim))
		c.Require(time.Duration(k.Deadline) <= intake.MaxRequestTime, at("deadline"), "%v is over %v", time.Duration(k.Deadline), intake.MaxRequestTime)
		c.Require(k.Worth == nil || *k.Worth >= 0, at("worth"), "is negative")
		c.Require(k.LateWorth >= 0 && k.LateWorth <= 1, at("late_worth"), "%v is not in 0 to 1", k.LateWorth)
		if !ok {
			continue
		}
		if repeat == balancer.IdempotentWithKey {
			_, known := groups[k.Group]
			c.Require(known, at("group"), "%q is not one of %s: a keyed class needs to say who drops its repeats", k.Group, words(groups))
			c.Require(k.Window > 0, at("window"), "%v: a keyed class needs the time for which its repeats are dropped", time.Duration(k.Window))
		} else {
			c.Require(k.Group == "", at("group"), "%q: only a keyed class has one", k.Group)
			c.Require(k.Window == 0, at("window"), "%v: only a keyed class has one", time.Duration(k.Window))
		}
	}
}

// config is what the file says of classes, routes, pools and tenants.
func (f *File) config() *policy.Config {
	patience := func(p *Patience) policy.Timing {
		return policy.Timing{Deadline: time.Duration(p.Deadline), AttemptTimeout: time.Duration(p.TryFor), MaxAttempts: p.Attempts,
			HedgeDelay: time.Duration(p.CopyAfter), Hedging: p.SecondCopies, RetryRatio: p.RetryShare, RetryBurst: p.RetryBurst}
	}
	out := &policy.Config{Version: f.version(), Limits: policy.Limits{MaxAttempts: f.Limits.Attempts, Hedging: f.Limits.SecondCopies,
		MaxDeadline: intake.MaxRequestTime, Dial: time.Duration(f.Limits.DialTimeout), TimerSlack: time.Duration(f.Limits.TimerSlack),
		ClockError: f.Limits.ClockError, DrainGrace: time.Duration(f.Fleet.DrainGrace), DrainFor: time.Duration(f.Fleet.DrainFor)}}
	for i := range f.Classes {
		k := &f.Classes[i]
		out.Classes = append(out.Classes, policy.Class{Timing: patience(&k.Patience), Name: k.Name, Idempotency: repeats[k.Repeat], Group: groups[k.Group],
			DedupWindow: time.Duration(k.Window), LatencyObjective: time.Duration(k.Aim), PriorityWeight: or(k.Worth, 1), LateWeightRatio: k.LateWorth, HedgeQuantile: k.CopyAt,
			TypicalWork: time.Duration(k.Usual), Clients: k.Clients, MaxInFlight: k.Open, BrownOut: k.BrownOut})
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		out.Routes = append(out.Routes, policy.Route{Timing: patience(&r.Patience), Name: r.Name, Host: r.Host, Path: r.Path, Prefix: r.Prefix,
			Method: r.Method, Headers: r.Headers, Class: r.Class, Pool: r.Pool})
	}
	for _, p := range f.Pools {
		out.Pools = append(out.Pools, policy.Pool(p))
	}
	for _, t := range f.Tenants {
		out.Tenants = append(out.Tenants, policy.Tenant(t))
	}
	return out
}

// policy compiles classes and routes, and notes what is wrong with them.
func (c *check) policy() {
	f := c.file
	c.Require(f.Limits.AdmitRate >= 0 && f.Limits.AdmitRate <= 1e7, "limits.admit_rate", "%v is not in 0 to 1e7", f.Limits.AdmitRate)
	for i, p := range f.Pools {
		for key, list := range map[string][2][]string{"sites": {p.Sites, f.Fleet.Sites}, "kinds": {p.Kinds, f.Fleet.Kinds}} {
			for _, name := range list[0] {
				c.Require(slices.Contains(list[1], name), fmt.Sprintf("pool[%d].%s", i, key), "%q is not in fleet.%s", name, key)
			}
		}
	}
	table, faults := policy.Compile(f.config(), c.before)
	for _, x := range faults {
		if x.Warning {
			c.Warn(x.Key, x.Reason)
		} else {
			c.Require(false, x.Key, "%s", x.Reason)
		}
	}
	f.table = table
}

func (c *check) members() {
	f := c.file
	merged := len(f.Ephemeral.Servers) > 0
	c.Require(merged || len(f.Servers) == 0 || f.Discovery.Address == "", "discovery.address",
		"servers are named in the file, too: one of the two decides, unless ephemeral.servers is set")
	c.Require(merged || len(f.Servers) > 0 || f.Discovery.Address != "", "server",
		"no server is named, and neither discovery.address nor ephemeral.servers")
	c.ephemeral()
	c.Require(len(f.Servers) <= serversMost, "server", "%d servers, at most %d", len(f.Servers), serversMost)
	if f.Discovery.Address != "" {
		c.address("discovery.address", f.Discovery.Address)
		c.Positive("discovery.ask_within", f.Discovery.AskWithin)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, s := range f.Servers {
		at := func(key string) string { return fmt.Sprintf("server[%d].%s", i, key) }
		c.Require(s.Name != "", at("name"), "is missing")
		c.Require(!names[s.Name], at("name"), "%q is there twice", s.Name)
		c.address(at("address"), s.Address)
		c.Require(!addresses[s.Address], at("address"), "%q is there twice", s.Address)
		names[s.Name], addresses[s.Address] = true, true
		c.Require(slices.Contains(f.Fleet.Sites, s.Site), at("site"), "%q is not in fleet.sites", s.Site)
		c.Require(s.Kind == "" || slices.Contains(f.Fleet.Kinds, s.Kind), at("kind"), "%q is not in fleet.kinds", s.Kind)
		c.Require(s.Pod >= 0 && s.Pod < podsMost, at("pod"), "%d is not in 0 to %d", s.Pod, podsMost-1)
		c.Require(s.Share == nil || *s.Share > 0 && *s.Share <= 1e6, at("share"), "is not over 0 and up to 1e6")
	}
}

func (c *check) ephemeral() {
	e, m := &c.file.Ephemeral, &c.file.Membership
	for _, s := range e.Servers {
		c.address("ephemeral.servers", s)
	}
	if len(e.Servers) > 0 {
		c.Require(strings.HasPrefix(e.Path, "/") && e.Path != "/" && path.Clean(e.Path) == e.Path, "ephemeral.path",
			"%q is not the path of a directory, such as /soko", e.Path)
		// Under a second a pause of the collector or the machine would end the session.
		c.Require(time.Duration(e.Session) >= time.Second && time.Duration(e.Session) <= 10*time.Minute, "ephemeral.session",
			"%v is not in 1s to 10m", time.Duration(e.Session))
	}
	if e.DigestFile != "" {
		text, err := os.ReadFile(e.DigestFile)
		c.file.digest = strings.TrimSpace(string(text))
		c.Require(err == nil, "ephemeral.digest_file", "%v", err)
		c.Require(err != nil || strings.Contains(c.file.digest, ":"), "ephemeral.digest_file", "the file does not hold user:password")
	}
	c.Require(m.ShrinkMost > 0 && m.ShrinkMost <= 1, "membership.shrink_most", "%v is not over 0 and up to 1", m.ShrinkMost)
	c.Positive("membership.hold", m.Hold)
	c.Positive("membership.lag", m.Lag)
}

func or(v *float64, fallback float64) float64 {
	if v == nil {
		return fallback
	}
	return *v
}

// Settings is what the file says, as the balancer is told it.
func (f *File) Settings() balancer.Settings {
	s := balancer.Settings{
		Balancers: f.Fleet.Instances, Zone: slices.Index(f.Fleet.Sites, f.Site),
		Zones: len(f.Fleet.Sites), Kinds: len(f.Fleet.Kinds), PollDiscovery: f.Discovery.Address != "" && len(f.Ephemeral.Servers) == 0,
		Limits: balancer.Limits{Cancel: true, Probes: f.Limits.Probes, Hedging: f.Limits.SecondCopies,
			RetryAfter: f.Limits.RetryAfterMost > 0, MaxAttempts: f.Limits.Attempts, MaxOpen: f.Limits.OpenRequests,
			MaxRetryAfter: f.Limits.RetryAfterMost.Micros(), DialTimeout: f.Limits.DialTimeout.Micros()},
		Contract: balancer.Contract{DrainGrace: f.Fleet.DrainGrace.Micros(), SlowStartRatio: f.Fleet.ColdFrom,
			SlowStartTime: f.Fleet.WarmWithin.Micros(), OverloadMultiple: f.Fleet.FallFactor,
			OverloadTime: f.Fleet.FallAfter.Micros(), PollInterval: f.Discovery.AskWithin.Micros(),
			AnswerSlack: intake.ResponseMargin.Microseconds()},
		// What the co-operative's users judge, and what probes and crossings cost them.
		Goal:   balancer.Goal{Overall: 0.45, WorstWindow: 0.35, WorstClass: 0.2},
		Prices: balancer.Prices{CrossZone: 0.03, Probe: 0.05, Waste: 0.05, LateFail: 0.05},
	}
	for _, r := range f.Fleet.Reports {
		s.Fields = append(s.Fields, reports[r])
	}
	if f.table != nil {
		s.Classes, s.Budgets = f.table.Classes(), f.table.Budgets()
	}
	return s
}

// subset is the part of the fleet that the instance holds, nil for all of it.
func (f *File) subset() (engine.Subset, error) {
	if f.Fleet.Subset == 0 {
		return nil, nil
	}
	c := subset.Config{Instance: f.Name, Site: f.Site, Floor: f.Fleet.Subset, Spread: f.Fleet.Spread}
	for _, k := range f.Classes {
		c.Pods = c.Pods || k.Group == "pod"
	}
	return subset.New(c)
}

// hosts are the file's servers.
func (f *File) hosts() []engine.Host {
	hosts := make([]engine.Host, len(f.Servers))
	for i, s := range f.Servers {
		hosts[i] = engine.Host{Name: s.Name, Address: s.Address, Site: s.Site, Kind: s.Kind, Cell: uint16(s.Pod),
			State: balancer.Ready, Weight: float32(or(s.Share, 1))}
	}
	return hosts
}

// Summary is one line on what a file asks for.
func (f *File) Summary() string {
	var parts []string
	if f.HTTP.Listen != "" {
		parts = append(parts, "http on "+f.HTTP.Listen)
	}
	if f.HTTP3.Listen != "" {
		parts = append(parts, "http3 on "+f.HTTP3.Listen)
	}
	if f.ExtProc.Listen != "" {
		parts = append(parts, "ext_proc on "+f.ExtProc.Listen)
	}
	var classes []string
	for _, k := range f.Classes {
		classes = append(classes, k.Name)
	}
	parts = append(parts, fmt.Sprintf("%d classes (%s)", len(classes), strings.Join(classes, ", ")))
	if len(f.Routes) > 0 {
		parts = append(parts, fmt.Sprintf("%d routes", len(f.Routes)))
	}
	if len(f.Ephemeral.Servers) > 0 {
		parts = append(parts, "servers from ephemeral nodes under "+f.Ephemeral.Path)
	}
	if f.Discovery.Address != "" {
		parts = append(parts, "servers from "+f.Discovery.Address)
	}
	if len(f.Servers) > 0 {
		parts = append(parts, fmt.Sprintf("%d servers", len(f.Servers)))
	}
	return strings.Join(parts, ", ")
}
