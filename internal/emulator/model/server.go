package model

// Options describe one process of a server.
type Options struct {
	Config  Config
	Seed    uint64
	Start   Time
	Warming bool        // starts with slow start; otherwise the server has its full capacity from its start
	Dedup   *DedupStore // shared by the fleet
	Group   string      // servers of one group share the keys of classes of scope Group
	Faults  []Fault
}

// Server is one process of a server. Create one with New. Calls must be in chronological order.
type Server struct {
	config Config
	seed   uint64
	dedup  *DedupStore
	group  string
	faults []Fault
	cache  keyCache

	now         Time
	startedAt   Time
	warming     bool
	down        bool
	running     []*job
	queued      []*job
	scheduled   []Completion // of requests that need no more work, by time
	workDone    float64      // in seconds of a core of speed 1
	connections int

	// Pauses.
	nextPause  Time
	resumeAt   Time // end of the current or the last pause
	pauseDraws uint64

	// Overload of a warming server.
	recentWork        []arrivedWork // within the overload window
	peakOverloadRatio float64
	collapsedAt       Time

	// Load reports.
	recentErrors []Time // failures within errorWindow
	reports      []recordedReport
	nextReport   Time
	noiseDraws   uint64
}

// job is a request that is running or queued.
type job struct {
	Request
	remaining float64 // work, in seconds of a core of speed 1
	outcome   Outcome // reported when the work is done
}

// New returns a server that starts at o.Start.
func New(o Options) *Server {
	s := &Server{
		config:      o.Config,
		seed:        o.Seed,
		dedup:       o.Dedup,
		group:       o.Group,
		faults:      o.Faults,
		now:         o.Start,
		startedAt:   o.Start,
		warming:     o.Warming,
		collapsedAt: Never,
		nextReport:  o.Start,
		nextPause:   Never,
	}
	if s.config.PauseInterval > 0 {
		s.nextPause = o.Start + s.drawPause(s.config.PauseInterval)
	}
	return s
}

// Down reports whether the server refuses connections: it was stopped, or it collapsed.
func (s *Server) Down() bool { return s.down }

// InFlight returns the numbers of running and of queued requests.
func (s *Server) InFlight() (working, waiting int) { return len(s.running), len(s.queued) }

// WorkDone returns the work done since the start, in seconds of a core of speed 1.
func (s *Server) WorkDone() float64 { return s.workDone }

// Stop ends the process. Its requests are lost, and it refuses connections from now on.
func (s *Server) Stop(now Time) []Completion {
	completed := s.Advance(now)
	s.down = true
	return append(completed, s.dropAll(now)...)
}

// dropAll fails the connections of all requests and reverts their effects.
func (s *Server) dropAll(now Time) []Completion {
	var dropped []Completion
	for _, jobs := range [][]*job{s.running, s.queued} {
		for _, job := range jobs {
			if job.Key != "" {
				s.dedup.Revert(job.Class, job.Key, s.group)
			}
			dropped = append(dropped, Completion{Number: job.Number, Outcome: ConnectionFailed, At: now})
		}
	}
	s.running, s.queued = nil, nil
	return dropped
}
