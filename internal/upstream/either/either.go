// Package either sends requests over HTTP/3 to endpoints that speak it, and over
// HTTP/1.1 to all others. Each attempt goes by one protocol: one that could not be sent
// ends so, and the balancer decides what follows.
package either

import (
	"context"
	"sync"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/http3upstream"
	"pinedale/internal/upstream/httpupstream"
	"pinedale/internal/upstream/speaks"
)

// Upstream sends by either protocol. Make one with New.
type Upstream struct {
	one   *httpupstream.Upstream
	three *http3upstream.Upstream

	mu     sync.Mutex
	memory *speaks.Memory
}

// New returns an upstream over two.
func New(one httpupstream.Options, three http3upstream.Options) (*Upstream, error) {
	u := &Upstream{one: httpupstream.New(one), memory: speaks.New()}
	three.Told = u.told
	var err error
	u.three, err = http3upstream.New(three)
	return u, err
}

// Close ends what is open over HTTP/3.
func (u *Upstream) Close() error { return u.three.Close() }

func (u *Upstream) told(t *engine.Target, how speaks.Tried) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.memory.Told(time.Now(), t.Address, how)
}

// use says by which protocol something goes to a target now.
func (u *Upstream) use(t *engine.Target) (http3 bool) {
	u.mu.Lock()
	http3, try := u.memory.Use(time.Now(), t.Address)
	u.mu.Unlock()
	if try {
		u.three.Warm(t)
	}
	return http3
}

// carriage carries out the attempts of one request, each by its protocol.
type carriage struct {
	up         *Upstream
	one, three engine.Carrier
}

// NewCarrier returns a carrier for one request.
func (u *Upstream) NewCarrier(m *engine.Message) engine.Carrier {
	return &carriage{u, u.one.NewCarrier(m), u.three.NewCarrier(m)}
}

// Send starts an attempt.
func (c *carriage) Send(a *engine.Attempt) {
	if c.up.use(a.Target) {
		c.three.Send(a)
	} else {
		c.one.Send(a)
	}
}

// Cancel gives an attempt up: both protocols stop by the attempt's own Stop.
func (c *carriage) Cancel(a *engine.Attempt) { a.Stop() }

// Probe asks an endpoint by the protocol that its requests go by.
func (u *Upstream) Probe(ctx context.Context, t *engine.Target, told func(engine.Result)) {
	if u.use(t) {
		u.three.Probe(ctx, t, told)
	} else {
		u.one.Probe(ctx, t, told)
	}
}

// Retire lets go of what is kept for a target, and of what is known of it: the next one
// at its address may be another program.
func (u *Upstream) Retire(t *engine.Target) {
	u.one.Retire(t)
	u.three.Retire(t)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.memory.Forget(t.Address)
}

// Prune lets go of what has been idle for too long.
func (u *Upstream) Prune() {
	u.one.Prune()
	u.three.Prune()
}
