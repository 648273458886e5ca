// Package merge decides, from what several sources of membership tell, which
// endpoints there are: what a vanished node means, what a silent source means, how
// much may vanish at once, when a source that is back is believed, and which source
// wins a contradiction. Every rule stands in docs/design/ephemeral-nodes.md.
//
// A Merge does no I/O and has no clock. It is for one caller at a time: the host
// passes what sources tell with its instant, and asks for the list after that and
// when Due says so.
package reconcile

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// Kind says what sort of source one is. Of two that tell different things of one
// endpoint (address, site, pod, share) the lower kind is believed.
type Kind uint8

// The kinds of source.
const (
	Ephemeral Kind = iota // the endpoint's own node: it is there while its session lives
	Discovery             // a service that knows whether the process runs, seconds late
	Static                // the operator's list
)

// String is the kind as the log has it.
func (k Kind) String() string {
	return [...]string{"ephemeral nodes", "discovery", "static list"}[k]
}

// Config holds what the operator may set.
type Config struct {
	// MaxShrinkRatio is the share of a source's endpoints that may be missing when it is
	// back after silence, or tells an older or an empty list. More are held, not
	// dropped: it has lost them more likely than they have ended.
	MaxShrinkRatio float64
	// HoldTime is how long they are held: the time for endpoints to register anew. After
	// it they go, ShrinkMost at a time, each Hold; an empty list drops nobody.
	HoldTime time.Duration
	// MaxDiscoveryLag is the most by which discovery runs behind. An endpoint whose node vanished
	// without a drain and that discovery still lists so long after is running.
	MaxDiscoveryLag time.Duration
}

// DefaultConfig are the figures for a Config that says nothing: a third of a fleet; twice
// the usual session time-out of 15 s; discovery's 5 s and 9 s more when it falls
// behind.
var DefaultConfig = Config{MaxShrinkRatio: 0.34, HoldTime: 30 * time.Second, MaxDiscoveryLag: 15 * time.Second}

const (
	// heldLeast is how many may be missing in any case: in a fleet of two, one is half.
	heldLeast = 1

	// lingers is how long an endpoint that has vanished is listed as draining, so that
	// one that comes back in the same life finds what was learned of it, and no new
	// warm-up.
	lingers = time.Minute

	// A node that came back flapMost times within flapWithin has to stay for flapWait
	// before it is believed again, twice as long each further time, up to flapWaitMost.
	flapMost     = 3
	flapWithin   = 10 * time.Second
	flapWait     = time.Second
	flapWaitMost = 30 * time.Second

	// gap is the least time between two lists: a storm of changes is one list.
	gap = 20 * time.Millisecond
)

// Entry is what a source tells of one endpoint.
type Entry struct {
	Host    engine.Host // its State is Ready, Draining or, in changes, Gone
	Version int64       // of the entry, where the source has one
}

// state is what a source last said of an endpoint.
type state uint8

const (
	up       state = iota
	draining       // it wants nothing new
	vanished       // it was there and is not any more
	held           // missing, and not believed to be
)

// claim is one source's word on one endpoint.
type claim struct {
	state   state
	host    engine.Host
	at      time.Duration // when it came, drained or vanished
	drained bool          // of vanished: it said before that it drains
	goes    time.Duration // of held: when
	until   time.Duration // of up: when it is believed, after flaps
	heard   time.Duration // of held: when its source was last heard of before
	flaps   int           // times that it came back lately
	flapped time.Duration // the last time
}

// source is what is known of one source.
type source struct {
	kind    Kind
	name    string
	live    bool
	suspect bool // it was silent since its last list
	listed  bool // it has told a list
	empty   bool // its last list was empty
	version uint64
	heard   time.Duration // last list or change
	whole   time.Duration // last list
	claims  map[string]*claim
	held    map[string]bool // claims that are
	evicted time.Duration   // when held ones last went, 0 for never
}

// Reconciler keeps the sources' words. Make one with New.
type Reconciler struct {
	cfg     Config
	log     func(string)
	sources []*source
	out     map[string]engine.Host   // as last listed
	dirty   map[string]bool          // endpoints of which something was told since
	pending map[string]time.Duration // those that may change by time alone, and when
	seq     uint64
	listed  time.Duration // when the last list was given
	given   bool
}

// New returns a merge without sources. log takes lines for on-call staff.
func New(cfg Config, log func(string)) *Reconciler {
	return &Reconciler{cfg: cfg, log: log, out: map[string]engine.Host{}, dirty: map[string]bool{}, pending: map[string]time.Duration{}}
}

// Add adds a source and returns its number.
func (m *Reconciler) Add(kind Kind, name string) int {
	m.sources = append(m.sources, &source{kind: kind, name: name, claims: map[string]*claim{}, held: map[string]bool{}})
	return len(m.sources) - 1
}

func (m *Reconciler) say(format string, args ...any) { m.log(fmt.Sprintf(format, args...)) }

// ---- What sources tell -----------------------------------------------------

// Snapshot takes a source's whole list.
func (m *Reconciler) Snapshot(now time.Duration, n int, version uint64, entries []Entry) {
	m.releaseAll(now)
	s := m.sources[n]
	older := s.listed && version < s.version
	present := map[string]bool{}
	for _, e := range entries {
		present[e.Host.Name] = true
	}
	var missing []string
	ups := 0
	for name, c := range s.claims {
		if c.state == up || c.state == draining || c.state == held {
			ups++
			if !present[name] && c.state != held {
				missing = append(missing, name)
			}
		}
	}
	slices.Sort(missing)
	empty := len(entries) == 0 && ups > 0
	most := max(heldLeast, int(m.cfg.MaxShrinkRatio*float64(ups)))
	guard := s.kind != Static && (s.suspect || older || empty) && (len(missing) > most || empty)
	if guard && len(missing) > 0 {
		m.say("%s %s: %d of %d servers are missing from its %s list, more than the %d that may be at once; they are held for %v",
			s.kind, s.name, len(missing), ups, why(s.suspect, older, empty), most, m.cfg.HoldTime)
	}
	if !s.live && s.listed {
		m.say("%s %s: back, with %d servers", s.kind, s.name, len(entries))
	}
	for _, name := range missing {
		if guard {
			if c := s.claims[name]; c.state == up {
				c.state, c.goes, c.heard = held, now+m.cfg.HoldTime, s.heard // at stays: to be missing is no arrival
				s.held[name] = true
			}
			continue // and what drained goes on draining
		}
		m.vanish(now, s, name)
	}
	s.live, s.suspect, s.listed, s.empty = true, false, true, len(entries) == 0
	s.version, s.heard, s.whole = version, now, now
	for _, e := range entries {
		m.take(now, s, e)
	}
	m.heard()
}

// heard has what waits for another source's word looked at again.
func (m *Reconciler) heard() {
	for name := range m.pending {
		m.dirty[name] = true
	}
}

// why names the reason for which a list is doubted.
func why(suspect, older, empty bool) string {
	switch {
	case empty:
		return "empty"
	case older:
		return "older"
	}
	return "first"
}

// Delta takes what a live source tells of single endpoints.
func (m *Reconciler) Delta(now time.Duration, n int, version uint64, entries []Entry) {
	m.releaseAll(now)
	s := m.sources[n]
	s.version, s.heard = max(s.version, version), now
	for _, e := range entries {
		if e.Host.State == balancer.Removed {
			m.vanish(now, s, e.Host.Name)
		} else {
			m.take(now, s, e)
		}
	}
	m.heard()
}

// SourceSilent takes that nothing is heard of a source any more. What it said last stands.
func (m *Reconciler) SourceSilent(now time.Duration, n int, reason string) {
	m.releaseAll(now)
	s := m.sources[n]
	if s.live || !s.suspect {
		m.say("%s %s: silent: %s; its last list of %d servers stands", s.kind, s.name, reason, len(s.claims))
	}
	s.live, s.suspect = false, true
	m.heard()
}

// take takes that an endpoint is there.
func (m *Reconciler) take(now time.Duration, s *source, e Entry) {
	c := s.claims[e.Host.Name]
	if c == nil {
		c = &claim{state: vanished, at: now, flapped: -flapWithin}
		s.claims[e.Host.Name] = c
	} else if c.state == vanished && s.kind == Ephemeral {
		// The same node came back.
		if now-c.flapped >= flapWithin {
			c.flaps = 0
		}
		c.flaps++
		c.flapped = now
		if c.flaps >= flapMost && e.Host.StartedMS <= c.host.StartedMS {
			wait := min(flapWait<<min(c.flaps-flapMost, 10), flapWaitMost)
			c.until = now + wait
			if c.flaps == flapMost {
				m.say("%s %s: %s comes and goes; it has to stay for %v before it is sent to", s.kind, s.name, e.Host.Name, wait)
			}
		}
	}
	next := up
	if e.Host.State == balancer.Draining {
		next = draining
	}
	if c.state != next {
		if c.state == vanished || c.state == held || next == draining {
			c.at = now
		}
		if c.state == draining && next == up {
			c.at = now
		}
		c.state = next
	} else if e.Host.StartedMS > c.host.StartedMS {
		c.at = now // another life
	}
	delete(s.held, e.Host.Name)
	c.host = e.Host
	m.dirty[e.Host.Name] = true
}

// vanish takes that an endpoint is there no more.
func (m *Reconciler) vanish(now time.Duration, s *source, name string) {
	c := s.claims[name]
	if c == nil || c.state == vanished {
		return
	}
	c.drained = c.state == draining
	c.state, c.at = vanished, now
	delete(s.held, name)
	m.dirty[name] = true
}

// ---- What they come to -----------------------------------------------------

// releaseAll lets go what is due. It comes before whatever is told, so that what was due by then has happened
// first, however long ago the list was last asked for.
func (m *Reconciler) releaseAll(now time.Duration) {
	for _, s := range m.sources {
		m.release(now, s)
	}
}

// tick takes the time: what is held goes, what waited for an instant is looked at.
func (m *Reconciler) tick(now time.Duration) {
	m.releaseAll(now)
	for name, at := range m.pending {
		if at <= now {
			m.dirty[name] = true
		}
	}
}

// releases is when held endpoints of a source may go, 0 for never: not before the list by which they may.
func (m *Reconciler) releases(s *source) (at time.Duration) {
	if len(s.held) == 0 || !s.live || s.empty {
		return 0
	}
	for name := range s.held {
		if c := s.claims[name]; at == 0 || c.goes < at {
			at = c.goes
		}
	}
	at = max(at, s.whole)
	if s.evicted != 0 {
		at = max(at, s.evicted+m.cfg.HoldTime)
	}
	return at
}

// release lets held endpoints go whose time is over, so many at once.
func (m *Reconciler) release(now time.Duration, s *source) {
	at := m.releases(s)
	if at == 0 || at > now {
		return
	}
	var over []string
	for name := range s.held {
		if s.claims[name].goes <= at {
			over = append(over, name)
		}
	}
	ups := 0
	for _, c := range s.claims {
		if c.state != vanished {
			ups++
		}
	}
	slices.Sort(over)
	over = over[:min(max(heldLeast, int(m.cfg.MaxShrinkRatio*float64(ups))), len(over))]
	for _, name := range over {
		m.vanish(at, s, name)
	}
	s.evicted = at
	m.say("%s %s: %d servers that were held have not come back and go", s.kind, s.name, len(over))
}

// later says whether a claim speaks of a later life than another: a newer start, or
// an arrival after the other's end.
func later(c, than *claim) bool {
	if c.host.StartedMS != 0 && than.host.StartedMS != 0 && c.host.StartedMS != than.host.StartedMS {
		return c.host.StartedMS > than.host.StartedMS
	}
	return c.at > than.at
}

// decide tells what an endpoint is, from the sources' words on it, and when that may
// change by time alone (0: not).
func (m *Reconciler) decide(now time.Duration, name string) (h engine.Host, ok bool, next time.Duration) {
	var end *claim // the latest word that ends it
	var endOf, bestOf *source
	var ups []*claim // the words that it is there
	var best *claim  // the one that describes it
	note := func(at time.Duration) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	for _, s := range m.sources {
		c := s.claims[name]
		switch {
		case c == nil:
		case c.state == up && c.until <= now, c.state == held:
			ups = append(ups, c)
			if best == nil || c.host.StartedMS > best.host.StartedMS || c.host.StartedMS == best.host.StartedMS && s.kind < bestOf.kind {
				best, bestOf = c, s
			}
		default:
			if c.state == up {
				note(c.until) // it comes and goes
			}
			if end == nil || later(c, end) {
				end, endOf = c, s
			}
		}
	}
	switch {
	case best != nil:
		h = best.host
	case end != nil:
		h = end.host
	default:
		return h, false, 0
	}
	h.State = balancer.Ready
	if end == nil || slices.ContainsFunc(ups, func(c *claim) bool { return later(c, end) }) {
		return h, true, next
	}
	// An end stands. One alone contradicts it: discovery still lists, so long after
	// that it must have heard, a server whose node vanished without a drain.
	if best != nil && endOf.kind == Ephemeral && end.state == vanished && !end.drained {
		for _, s := range m.sources {
			if c := s.claims[name]; c != nil && s.kind == Discovery && (c.state == up || c.state == held) {
				heard := s.heard
				if c.state == held {
					heard = c.heard
				}
				if heard >= end.at+m.cfg.MaxDiscoveryLag {
					return h, true, next
				}
				note(max(end.at+m.cfg.MaxDiscoveryLag, now+time.Second)) // once it is heard of again
			}
		}
	}
	h.State = balancer.Draining
	if end.state == vanished && best == nil {
		if now >= end.at+lingers {
			return h, false, 0
		}
		note(end.at + lingers)
	}
	return h, true, next
}

// List returns what has changed since it was last asked: a whole list first, changes
// from then on, with State Gone for what is there no more. It is false where nothing
// has, or where the last list is under 20 ms old.
func (m *Reconciler) List(now time.Duration) (list engine.List, ok bool) {
	if m.given && now < m.listed+gap {
		return list, false
	}
	m.tick(now)
	for name := range m.dirty {
		h, is, next := m.decide(now, name)
		delete(m.pending, name)
		if next != 0 {
			m.pending[name] = next
		}
		if !is { // all that was said of it is over
			for _, s := range m.sources {
				delete(s.claims, name)
			}
		}
		old, was := m.out[name]
		switch {
		case is && (!was || old != h):
			m.out[name] = h
			list.Hosts = append(list.Hosts, h)
		case !is && was:
			delete(m.out, name)
			old.State = balancer.Removed
			list.Hosts = append(list.Hosts, old)
		}
	}
	clear(m.dirty)
	if len(list.Hosts) == 0 {
		return list, false
	}
	slices.SortFunc(list.Hosts, func(a, b engine.Host) int { return cmp.Compare(a.Name, b.Name) })
	m.seq++
	list.Version, list.Complete = m.seq, !m.given
	m.listed, m.given = now, true
	return list, true
}

// NextDeadline is when List is wanted next, though nothing is told; 0 for never.
func (m *Reconciler) NextDeadline() (at time.Duration) {
	earlier := func(t time.Duration) {
		if t != 0 && (at == 0 || t < at) {
			at = t
		}
	}
	if len(m.dirty) > 0 {
		earlier(m.listed + gap)
	}
	for _, t := range m.pending {
		earlier(t)
	}
	for _, s := range m.sources {
		earlier(m.releases(s))
	}
	return at
}
