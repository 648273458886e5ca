package handshake

import "time"

// Kind states what a handshake is for.
type Kind uint8

// The kinds of handshakes.
const (
	Request    Kind = iota // a request waits for the connection
	Background             // no request waits for it
)

// Counts are the results of all calls of RequestTurn.
type Counts struct {
	Immediate int // turns granted at once
	Delayed   int // turns granted at a later instant
	Rejected  int // requests rejected: no turn within their maximum wait
	Deferred  int // background handshakes rejected
}

// minSweepServers is the number of servers up to which idle ones are not removed.
const minSweepServers = 64

// Budget holds the rates of one instance. Create one with New. It is not safe for concurrent use.
type Budget struct {
	config  Config
	epoch   time.Time // instants are in seconds since the first call of RequestTurn
	total   rateState
	servers map[string]*rateState // by address
	sweepAt int                   // number of servers at which idle ones are removed
	counts  Counts
}

// rateState is the state of one rate: its theoretical arrival time, in seconds since the
// budget's epoch. The further it is ahead of now, the more of the burst is used up.
type rateState struct{ arrival float64 }

// earliest returns the earliest instant at which a handshake may begin.
func (s *rateState) earliest(now, rate, burst float64) float64 {
	return max(now, s.arrival-(burst-1)/rate)
}

// take consumes one handshake of the rate at an instant.
func (s *rateState) take(instant, rate float64) { s.arrival = max(s.arrival, instant) + 1/rate }

// New returns a budget with its full burst.
func New(c Config) (*Budget, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return &Budget{config: c, servers: map[string]*rateState{}, sweepAt: minSweepServers}, nil
}

// RequestTurn returns the instant at which a handshake with a server may begin. startedAt is the
// time at which the server started, or zero if it is past its slow start. A granted turn is used
// up, whether or not the handshake takes place. If there is no turn within maxWait, or none at once
// for background work, ok is false and nothing is used up.
func (b *Budget) RequestTurn(now time.Time, server string, startedAt time.Time, kind Kind, maxWait time.Duration) (
	begin time.Time, ok bool) {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	instant := now.Sub(b.epoch).Seconds()
	warmup := b.config.warmupRatio(now, startedAt)
	rate, burst := b.config.PerServer*warmup, 1+(b.config.Burst-1)*warmup
	totalRate, totalBurst := b.config.All, max(1, b.config.All)
	state := b.serverState(server, instant)
	if kind == Background {
		// At least (burst+1)/2 handshakes must be left, so that (burst-1)/2 remain for requests.
		turn := max(state.earliest(instant, rate, (burst+1)/2),
			b.total.earliest(instant, totalRate, (totalBurst+1)/2))
		if turn > instant {
			b.counts.Deferred++
			return time.Time{}, false
		}
	}
	turn := max(state.earliest(instant, rate, burst), b.total.earliest(instant, totalRate, totalBurst))
	wait := turn - instant
	if wait > maxWait.Seconds() {
		b.counts.Rejected++
		return time.Time{}, false
	}
	state.take(turn, rate)
	b.total.take(turn, totalRate)
	if wait > 0 {
		b.counts.Delayed++
		return now.Add(time.Duration(wait * float64(time.Second))), true
	}
	b.counts.Immediate++
	return now, true
}

// serverState returns the state of a server's rate, and creates it if there is none.
func (b *Budget) serverState(server string, instant float64) *rateState {
	if state := b.servers[server]; state != nil {
		return state
	}
	if len(b.servers) >= b.sweepAt {
		b.removeIdle(instant)
	}
	state := &rateState{}
	b.servers[server] = state
	return state
}

// removeIdle removes servers that have their full burst again: their state is equivalent to a new one.
func (b *Budget) removeIdle(instant float64) {
	for server, state := range b.servers {
		if state.arrival <= instant {
			delete(b.servers, server)
		}
	}
	b.sweepAt = max(minSweepServers, 2*len(b.servers))
}

// Counts returns the results so far.
func (b *Budget) Counts() Counts { return b.counts }
