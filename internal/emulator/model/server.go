// Package model emulates a server and a fleet of them on virtual time: cores, slots,
// a waiting room, a cold start that collapses under too much load, pauses, failures,
// load reports, and the memory that drops repeats of a key. It does no I/O and has no
// clock: the host passes each request with its instant and asks what ended.
//
// Everything random follows from the seed and a request's number, so that the same
// events give the same answers, whatever else happens in between.
package model

import (
	"math"
	"slices"
	"time"
)

// Time is virtual: since the start of a play.
type Time = time.Duration

// Never is an instant that does not come.
const Never = Time(math.MaxInt64)

// quick is how long an answer takes that costs no work.
const quick = time.Millisecond

// job is a request in work or waiting.
type job struct {
	Request
	remaining float64 // work, in seconds of a core of speed 1
	end       Outcome // once its work is done
}

// Server is one server. Make one with New.
type Server struct {
	cfg        Config
	seed       uint64
	dedup      *DedupStore
	recentKeys keyCache
	group      string // whose repeats it drops, beside all
	faults     []Fault

	now       Time
	startedAt Time
	warming   bool
	down      bool
	fallen    Time // when it fell over, Never before
	strain    float64
	done      float64
	running   []*job
	waiting   []*job
	instant   []Completion // that end without work, in order
	window    []sent       // work that came while cold
	pause     Time         // start of the next pause
	resume    Time         // end of the present one
	draws     uint64       // of noise
	pauses    uint64       // drawn: apart, so that no report moves a pause
	conns     int
	errors    []Time // failures of the last second
	reports   []report
	nextRep   Time
}

type sent struct {
	at   Time
	work float64
}

type report struct {
	at    Time
	queue int
	eps   float64
}

// New returns a server that starts at an instant, cold if told so. memory is the
// fleet's, group the part of it that shares what it drops.
func New(cfg Config, seed uint64, at Time, warming bool, memory *DedupStore, group string, faults []Fault) *Server {
	s := &Server{cfg: cfg, seed: seed, dedup: memory, group: group, faults: faults, now: at, startedAt: at, warming: warming, fallen: Never, nextRep: at}
	s.pause = Never
	if cfg.PauseInterval > 0 {
		s.pause = at + s.spread(cfg.PauseInterval)
	}
	return s
}

// draw is a number in [0,1) that follows from the seed, a number and a purpose.
func (s *Server) draw(n, purpose uint64) float64 {
	x := s.seed ^ n*0x9e3779b97f4a7c15 ^ purpose*0xd1342543de82ef95
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}

// Purposes of draws.
const (
	drawFail = iota + 1
	drawLate
	drawPause
	drawNoise
	drawRejected
)

// spread is an exponential time of this mean.
func (s *Server) spread(mean time.Duration) time.Duration {
	s.pauses++
	return time.Duration(-math.Log(1-s.draw(s.pauses, drawPause)) * float64(mean))
}

// Down says that the server refuses connections.
func (s *Server) Down() bool { return s.down }

// Strain is how near a cold server has come to its fall: the most work that came within any
// window, as a share of what would push it over. Handshakes and probes count.
func (s *Server) Strain() float64 { return s.strain }

// CollapsedAt is when the server fell over, Never if it did not.
func (s *Server) CollapsedAt() Time { return s.fallen }

// InFlight counts requests in work and waiting.
func (s *Server) InFlight() (working, waiting int) { return len(s.running), len(s.waiting) }

// WorkDone is the work done since the start, in seconds of a core of speed 1.
func (s *Server) WorkDone() float64 { return s.done }

// Stop has the process end: what it holds is lost, and connections are refused.
func (s *Server) Stop(now Time) []Completion {
	out := s.Advance(now)
	s.down = true
	return append(out, s.drop(now)...)
}

func (s *Server) drop(now Time) (out []Completion) {
	for _, j := range append(s.running, s.waiting...) {
		if j.Key != "" {
			s.dedup.Revert(j.Class, j.Key, s.group)
		}
		out = append(out, Completion{j.Number, ConnectionFailed, now})
	}
	s.running, s.waiting = nil, nil
	return out
}

// Warmth is the share of its capacity that the server has.
func (s *Server) Warmth(now Time) float64 {
	if !s.warming || s.cfg.SlowStartTime <= 0 {
		return 1
	}
	part := float64(now-s.startedAt) / float64(s.cfg.SlowStartTime)
	if s.cfg.WarmByWork {
		// As warm as if it had worked at half its load for SlowStartTime.
		part = max(part, s.done/(0.5*s.capacity()*s.cfg.SlowStartTime.Seconds()))
	}
	return min(1, s.cfg.SlowStartRatio+(1-s.cfg.SlowStartRatio)*part)
}

// capacity is the work a second of a warm server.
func (s *Server) capacity() float64 { return float64(s.cfg.Cores) * s.cfg.Speed }

// rate is the work a second that each running request gets.
func (s *Server) rate() float64 {
	n := len(s.running)
	if n == 0 || s.now < s.resume {
		return 0
	}
	each := s.cfg.Speed * min(1, float64(s.cfg.Cores)/float64(n))
	if crowd := float64(n+len(s.waiting))/float64(s.cfg.Cores) - s.cfg.ThrashThreshold; crowd > 0 && s.cfg.ThrashRatio > 0 {
		each /= 1 + s.cfg.ThrashRatio*crowd
	}
	for _, f := range s.faults {
		if f.SlowdownFactor > 1 && s.now >= f.From && s.now < f.Until {
			each /= f.SlowdownFactor
		}
	}
	return each * s.Warmth(s.now)
}

// step is the longest that a rate is taken to hold while the server warms.
const step = 50 * time.Millisecond

// NextEvent is when something next happens by itself.
func (s *Server) NextEvent() Time {
	next := Never
	if len(s.instant) > 0 {
		next = s.instant[0].At
	}
	if s.down {
		return next
	}
	if r := s.rate(); r > 0 {
		shortest := math.Inf(1)
		for _, j := range s.running {
			shortest = min(shortest, j.remaining)
		}
		// Rounded up, so that the work is done by then.
		next = min(next, s.now+time.Duration(math.Ceil(shortest/r*1e9)))
		if s.warming && s.Warmth(s.now) < 1 {
			next = min(next, s.now+step)
		}
		next = min(next, s.pause)
		for _, f := range s.faults { // the rate changes there
			for _, edge := range [2]Time{f.From, f.Until} {
				if f.SlowdownFactor > 1 && edge > s.now {
					next = min(next, edge)
				}
			}
		}
	} else if len(s.running) > 0 {
		next = min(next, s.resume)
	}
	return next
}

// Advance lets time go on and returns what ended, in order.
func (s *Server) Advance(now Time) (out []Completion) {
	for {
		at := s.NextEvent()
		if at > now {
			break
		}
		s.run(at)
		for len(s.instant) > 0 && s.instant[0].At <= at {
			out = append(out, s.instant[0])
			s.instant = s.instant[1:]
		}
		if s.pause <= s.now { // until it resumes nothing is done
			s.resume = s.now + s.spread(s.cfg.PauseDuration)
			s.pause = s.resume + s.spread(s.cfg.PauseInterval)
		}
		for i := 0; i < len(s.running); {
			j := s.running[i]
			if j.remaining > 1e-12 {
				i++
				continue
			}
			s.running = slices.Delete(s.running, i, i+1)
			out = append(out, Completion{j.Number, j.end, s.now})
		}
		s.fill()
	}
	if now > s.now {
		s.run(now)
	}
	return out
}

// advance lets time go on, and keeps what ended for the next call of Advance.
func (s *Server) advance(now Time) {
	for _, e := range s.Advance(now) {
		s.end(e)
	}
}

// run does the work until an instant up to which the rate holds.
func (s *Server) run(at Time) {
	if r := s.rate(); r > 0 {
		did := r * (at - s.now).Seconds()
		for _, j := range s.running {
			j.remaining = max(0, j.remaining-did)
			s.done += did
		}
	}
	s.now = max(s.now, at)
	for s.cfg.ReportInterval > 0 && s.nextRep <= s.now {
		s.errors = slices.DeleteFunc(s.errors, func(at Time) bool { return at < s.nextRep-time.Second })
		s.reports = append(s.reports, report{at: s.nextRep, queue: len(s.waiting), eps: float64(len(s.errors))})
		if len(s.reports) > 64 {
			s.reports = slices.Delete(s.reports, 0, 32)
		}
		s.nextRep += s.cfg.ReportInterval
	}
	if s.warming && s.Warmth(s.now) >= 1 {
		s.warming, s.window = false, nil
	}
}

// fill moves those that wait into free slots.
func (s *Server) fill() {
	for len(s.running) < s.cfg.Cores*s.cfg.SlotsPerCore && len(s.waiting) > 0 {
		s.running = append(s.running, s.waiting[0])
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
}

// Arrive takes a request. What ends with it, at once or soon, comes from Advance, but
// for what is refused, turned away, or falls with the server, which is returned.
func (s *Server) Arrive(now Time, r Request) []Completion {
	out := s.Advance(now)
	if s.down {
		return append(out, Completion{r.Number, ConnectionFailed, now})
	}
	work := r.Work.Seconds()
	if s.recentKeys.touch(now, r.AffinityKey, s.cfg.KeyCacheSize, s.cfg.KeyCacheTTL) {
		work *= 1 - s.cfg.KeyCacheSavings
	}
	if s.load(now, work) {
		out = append(out, s.Advance(now)...)
		return append(out, Completion{r.Number, ConnectionFailed, now})
	}
	j, by := &job{Request: r, remaining: work}, r.FaultSeed
	if by == 0 {
		by = r.Number
	}
	for _, f := range s.faults {
		if now < f.From || now >= f.Until {
			continue
		}
		if f.Unresponsive {
			return out // nobody is there to say so
		}
		if s.draw(by, drawRejected) < f.RejectRatio {
			return append(out, Completion{r.Number, Rejected, now})
		}
		if s.draw(by, drawFail) < f.FailFastRatio {
			s.errors = append(s.errors, now)
			s.end(Completion{r.Number, Failed, now + quick})
			return out
		}
		switch late := s.draw(by, drawLate); {
		case late < f.FailLateRatio:
			j.end = Failed
		case late < f.FailLateRatio+f.ResetRatio:
			j.end = ConnectionFailed
		case late < f.FailLateRatio+f.ResetRatio+f.UnansweredRatio:
			j.end = Unanswered
		}
	}
	full := len(s.running) >= s.cfg.Cores*s.cfg.SlotsPerCore
	if full && len(s.waiting) >= s.cfg.Cores*s.cfg.QueuePerCore {
		return append(out, Completion{r.Number, Rejected, now})
	}
	// A repeat is dropped as it comes: its effect is there, or on its way.
	if r.Key != "" && !s.dedup.Execute(now, r.Class, r.Key, s.group) {
		if j.end == Served {
			j.end = Deduplicated
		}
		s.end(Completion{r.Number, j.end, now + quick})
		return out
	}
	if full {
		s.waiting = append(s.waiting, j)
		return out
	}
	s.running = append(s.running, j)
	return out
}

// end has something end without work.
func (s *Server) end(e Completion) {
	at, _ := slices.BinarySearchFunc(s.instant, e, func(a, b Completion) int { return int(min(1, max(-1, a.At-b.At))) })
	s.instant = slices.Insert(s.instant, at, e)
}

// load counts work that comes to a cold server, and says whether it falls over: all
// work within any window of FallAfter, against what it can do just now.
func (s *Server) load(now Time, work float64) bool {
	if !s.warming || s.cfg.OverloadMultiple <= 0 {
		return false
	}
	s.window = append(s.window, sent{now, work})
	old := 0
	for old < len(s.window) && s.window[old].at <= now-s.cfg.OverloadWindow {
		old++
	}
	s.window = slices.Delete(s.window, 0, old)
	var sum float64
	for _, w := range s.window {
		sum += w.work
	}
	limit := s.cfg.OverloadMultiple * s.capacity() * s.Warmth(now) * s.cfg.OverloadWindow.Seconds()
	s.strain = max(s.strain, sum/limit)
	if sum <= limit {
		return false
	}
	s.down, s.fallen = true, now
	for _, e := range s.drop(now) {
		s.end(e)
	}
	return true
}

// Connect opens a connection: it costs a core work and a place. False where the
// server is down or holds as many as it can.
func (s *Server) Connect(now Time) bool {
	s.advance(now)
	if s.down || s.cfg.MaxConnections > 0 && s.conns >= s.cfg.MaxConnections {
		return false
	}
	s.conns++
	s.burden(now, s.cfg.HandshakeWork)
	return !s.down
}

// Disconnect gives a connection's place back.
func (s *Server) Disconnect() { s.conns = max(0, s.conns-1) }

// burden is work that delays what is there: it is shared by all requests in work.
func (s *Server) burden(now Time, work time.Duration) {
	if s.load(now, work.Seconds()) {
		return
	}
	for _, j := range s.running {
		j.remaining += work.Seconds() / float64(max(1, len(s.running)))
	}
}

// OpenConnections counts the open ones.
func (s *Server) OpenConnections() int { return s.conns }

// unresponsive says that the server answers nothing just now.
func (s *Server) unresponsive(now Time) bool {
	return slices.ContainsFunc(s.faults, func(f Fault) bool { return f.Unresponsive && now >= f.From && now < f.Until })
}

// Probe is what a probe tells, and what it costs. False where the server does not
// answer.
func (s *Server) Probe(now Time) (eps, queue float64, ok bool) {
	s.advance(now)
	if s.down || s.unresponsive(now) {
		return 0, 0, false
	}
	s.burden(now, s.cfg.ProbeWork)
	eps, queue = s.LoadReport(now)
	return eps, queue, !s.down
}

// LoadReport is what an answer tells beside: failures a second and requests that wait,
// some time old and not exact. The server has been brought to this instant.
func (s *Server) LoadReport(now Time) (eps, queue float64) {
	for i := len(s.reports) - 1; i >= 0; i-- {
		if r := s.reports[i]; r.at <= now-s.cfg.ReportDelay {
			s.draws++
			off := 1 + s.cfg.ReportNoise*(2*s.draw(s.draws, drawNoise)-1)
			return r.eps * off, float64(r.queue) * off
		}
	}
	return 0, 0
}
