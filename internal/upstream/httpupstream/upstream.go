package httpupstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/idle"
)

// errStale is the error for an idle connection that turns out to be unusable before anything was
// written to it.
var errStale = errors.New("idle connection no longer usable")

// Options configure an Upstream.
type Options struct {
	DialTimeout time.Duration
	Idle        time.Duration   // time after which an endpoint may close an idle connection
	Connections int             // limit of open connections, including those being dialled
	Fields      []string        // fields of load reports, in the order of the settings
	Dialer      net.Dialer      // its Timeout is replaced by DialTimeout
	Settle      time.Duration   // time within which an endpoint may send a second response; 0 for the default
	Secure      attempt.Securer // nil for plain text
}

// Upstream sends requests to endpoints. Create one with New. It is safe for concurrent use.
type Upstream struct {
	dialer     net.Dialer
	settleTime time.Duration
	// longest wait, beyond a round trip, for a connection to settle while another one may be opened
	maxSettleWait time.Duration
	securer       attempt.Securer // nil for plain text
	maxIdle       time.Duration   // idle time from which on a connection is not used
	loadFields    []string        // fields of load reports, in the order of the settings

	mu            sync.Mutex
	idleEstimator idle.Estimator // lowers maxIdle to the idle time that connections are observed to survive
	open          int            // open connections, including those being dialled
	maxOpen       int
	idleConns     map[*engine.Target][]*conn // by endpoint, the most recently used last
	roundTrips    map[*engine.Target]roundTrip
}

// New returns an upstream without open connections.
func New(o Options) *Upstream {
	o.Dialer.Timeout = o.DialTimeout
	if o.Settle == 0 {
		o.Settle = defaultSettleTime
	}
	return &Upstream{
		dialer:        o.Dialer,
		settleTime:    o.Settle,
		maxSettleWait: defaultMaxSettleWait,
		securer:       o.Secure,
		// An endpoint closes an idle connection at the latest after o.Idle, and what is written
		// to it afterwards is lost.
		maxIdle:    o.Idle * 3 / 4,
		loadFields: o.Fields,
		maxOpen:    o.Connections,
		idleConns:  map[*engine.Target][]*conn{},
		roundTrips: map[*engine.Target]roundTrip{},
	}
}

// NewCarrier returns a carrier for one request.
func (u *Upstream) NewCarrier(m *engine.Message) engine.Carrier {
	return attempt.NewCarrier(u.attempt, m)
}

// Probe sends a health check to an endpoint on a goroutine of its own.
func (u *Upstream) Probe(ctx context.Context, t *engine.Target, completed func(engine.Result)) {
	go func() { completed(attempt.Probe(ctx, u.attempt, t, u.loadFields)) }()
}

// attempt sends a request once. Only the choice of a connection is repeated, as long as nothing
// has been written.
func (u *Upstream) attempt(ctx context.Context, t *engine.Target, m *engine.Message) engine.Result {
	var response *attempt.Response
	var start time.Time
	var err error
	for {
		c, connectErr := u.connect(ctx, t)
		if connectErr != nil {
			return engine.Result{Status: attempt.UnsentStatus(ctx, connectErr)}
		}
		start = time.Now()
		response, err = u.exchange(ctx, c, m)
		if !errors.Is(err, errStale) {
			break
		}
	}
	duration := time.Since(start)
	var unsent *attempt.UnsentError
	switch {
	case errors.As(err, &unsent):
		return engine.Result{Status: attempt.UnsentStatus(ctx, unsent.Cause), Duration: duration}
	case err != nil:
		return engine.Result{Status: attempt.InterruptedStatus(ctx), Duration: duration}
	}
	return attempt.ResponseResult(u.loadFields, response, duration)
}
