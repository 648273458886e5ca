// Package byprotocol sends requests over HTTP/3 to endpoints that support it, and over HTTP/1.1 to
// all others.
//
// Each attempt uses one protocol. An attempt that could not be sent is not repeated over the
// other one: its outcome states that it did not run, and the balancer decides whether to retry.
// Package protocol chooses the protocol; its state is guarded by Upstream.mu and lost on a restart.
package byprotocol

import (
	"context"
	"sync"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/http3upstream"
	"pinedale/internal/upstream/httpupstream"
	"pinedale/internal/upstream/protocol"
)

// Upstream sends requests over one of two protocols. Create one with New. It is safe for
// concurrent use.
type Upstream struct {
	http1 *httpupstream.Upstream
	http3 *http3upstream.Upstream

	mu      sync.Mutex
	tracker *protocol.Tracker
}

// New returns an upstream over both protocols. It sets http3.OnProtocolResult.
func New(http1 httpupstream.Options, http3 http3upstream.Options) (*Upstream, error) {
	u := &Upstream{http1: httpupstream.New(http1), tracker: protocol.New()}
	http3.OnProtocolResult = u.recordResult
	var err error
	u.http3, err = http3upstream.New(http3)
	return u, err
}

// Close closes all HTTP/3 connections.
func (u *Upstream) Close() error { return u.http3.Close() }

// recordResult records the result of an attempt to use HTTP/3.
func (u *Upstream) recordResult(t *engine.Target, result protocol.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tracker.Record(time.Now(), t.Address, result)
}

// useHTTP3 reports whether a request to a target is sent over HTTP/3. If the target is not known to
// support it and an attempt is due, a connection is opened in the background.
func (u *Upstream) useHTTP3(t *engine.Target) bool {
	u.mu.Lock()
	supported, attempt := u.tracker.Choose(time.Now(), t.Address)
	u.mu.Unlock()
	if attempt {
		u.http3.Preconnect(t)
	}
	return supported
}

// carrier sends the attempts of one request, each over one protocol.
type carrier struct {
	upstream     *Upstream
	http1, http3 engine.Carrier
}

// NewCarrier returns a carrier for one request.
func (u *Upstream) NewCarrier(m *engine.Message) engine.Carrier {
	return &carrier{u, u.http1.NewCarrier(m), u.http3.NewCarrier(m)}
}

// Send starts an attempt.
func (c *carrier) Send(a *engine.Attempt) {
	if c.upstream.useHTTP3(a.Target) {
		c.http3.Send(a)
	} else {
		c.http1.Send(a)
	}
}

// Cancel cancels an attempt. Over both protocols Abort ends it.
func (c *carrier) Cancel(a *engine.Attempt) { a.Abort() }

// Probe sends a health check over the protocol that the endpoint's requests use.
func (u *Upstream) Probe(ctx context.Context, t *engine.Target, completed func(engine.Result)) {
	if u.useHTTP3(t) {
		u.http3.Probe(ctx, t, completed)
	} else {
		u.http1.Probe(ctx, t, completed)
	}
}

// Retire drops a target's connections and the recorded protocol support of its address, since the
// next target at the address may be another program.
func (u *Upstream) Retire(t *engine.Target) {
	u.http1.Retire(t)
	u.http3.Retire(t)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tracker.Remove(t.Address)
}

// Prune closes connections that have been idle for too long.
func (u *Upstream) Prune() {
	u.http1.Prune()
	u.http3.Prune()
}
