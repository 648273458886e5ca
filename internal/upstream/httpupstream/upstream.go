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

// defaultSettleTime is how long a connection rests after a response. Endpoints may send a second
// one some milliseconds later. A request that was written meanwhile would take it for its own:
// it would not be visible yet to the check for unread bytes.
const defaultSettleTime = 10 * time.Millisecond

// errStale is the error for an idle connection that turns out to be unusable before anything was
// written to it.
var errStale = errors.New("idle connection no longer usable")

// Options configure an Upstream.
type Options struct {
	DialTimeout time.Duration
	Idle        time.Duration   // after which an endpoint may close an idle connection
	Connections int             // limit of open connections, those being dialled included
	Fields      []string        // fields of load reports, in the order of the settings
	Dialer      net.Dialer      // its Timeout is replaced by DialTimeout
	Settle      time.Duration   // rest of a connection after a response; 0 for the default
	Secure      attempt.Securer // nil for plain text
}

// Upstream sends requests to endpoints. Make one with New. It is safe for concurrent use.
type Upstream struct {
	dialer     net.Dialer
	settleTime time.Duration
	securer    attempt.Securer // nil for plain text
	maxIdle    time.Duration   // idle connections are not used for longer
	loadFields []string        // fields of load reports, in the order of the settings

	mu            sync.Mutex
	idleEstimator idle.Estimator // lowers maxIdle to what connections have proven to last
	open          int            // open connections, those being dialled included
	maxOpen       int
	idleConns     map[*engine.Target][]*conn // by endpoint, the most recently used last
}

// New returns an upstream without open connections.
func New(o Options) *Upstream {
	o.Dialer.Timeout = o.DialTimeout
	if o.Settle == 0 {
		o.Settle = defaultSettleTime
	}
	return &Upstream{
		dialer:     o.Dialer,
		settleTime: o.Settle,
		securer:    o.Secure,
		// An endpoint closes a connection at the latest when its idle time is over, and what
		// is written to it from then on is lost.
		maxIdle:    o.Idle * 3 / 4,
		loadFields: o.Fields,
		maxOpen:    o.Connections,
		idleConns:  map[*engine.Target][]*conn{},
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

// attempt sends a request once. Only the choice of a connection is repeated, and only while
// nothing has been written.
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
