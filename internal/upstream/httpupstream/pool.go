package httpupstream

import (
	"bufio"
	"context"
	"slices"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
)

// connect returns the most recently used connection to t that has settled (see settle.go).
// If none has, it waits for one that settles soon, or opens one.
func (u *Upstream) connect(ctx context.Context, t *engine.Target) (*conn, error) {
	c, err := u.reserve(t)
	if err != nil {
		return nil, err
	}
	if c != nil {
		awaitSettled(ctx, c)
		return c, nil
	}
	c, err = u.dial(attempt.SendContext(ctx), t)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// dial opens a connection, over TLS if the upstream has a Securer.
func (u *Upstream) dial(ctx context.Context, t *engine.Target) (*conn, error) {
	if u.securer != nil {
		if err := u.securer.AwaitTurn(ctx, t); err != nil {
			return nil, err
		}
	}
	raw, err := u.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, socket: raw, target: t}
	if u.securer != nil {
		if c.session, err = u.securer.Secure(ctx, t, raw); err != nil {
			return nil, err
		}
		c.Conn = c.session
	}
	c.responseLimit.R = c.Conn
	c.reader = bufio.NewReaderSize(&c.responseLimit, maxHeadBytes)
	return c, nil
}

// reserve returns an idle connection, or nil if the caller may open one.
func (u *Upstream) reserve(t *engine.Target) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.Closed() {
		return nil, attempt.ErrClosed
	}
	if c := u.takeIdleLocked(t); c != nil {
		return c, nil
	}
	if u.open >= u.maxOpen {
		u.evictIdleLocked()
	}
	if u.open >= u.maxOpen {
		return nil, attempt.ErrFull
	}
	u.open++
	return nil, nil
}

// takeIdleLocked returns a usable idle connection to t, or nil: the most recently used of those
// that have settled, or else the one that settles first, if it does so soon or none may be opened.
// It closes unusable ones that it encounters. The caller holds u.mu.
func (u *Upstream) takeIdleLocked(t *engine.Target) *conn {
	now := time.Now()
	limit := u.idleEstimator.Limit(now, u.maxIdle)
	settleTime := u.settleTimeLocked(t)
	for i := len(u.idleConns[t]) - 1; i >= 0; i-- {
		if now.Sub(u.idleConns[t][i].idleSince) >= settleTime {
			if c := u.removeIdleLocked(t, i, now, limit); c != nil {
				return c
			}
		}
	}
	for len(u.idleConns[t]) > 0 {
		remaining := settleTime - now.Sub(u.idleConns[t][0].idleSince)
		roundTrip := settleTime - u.settleTime // to open a connection takes at least as long
		if remaining > u.maxSettleWait+roundTrip && u.open < u.maxOpen {
			return nil
		}
		if c := u.removeIdleLocked(t, 0, now, limit); c != nil {
			return c
		}
	}
	return nil
}

// removeIdleLocked removes the connection at an index from the idle ones to t. It returns the
// connection, or closes it and returns nil if it is no longer usable or will have been idle for at
// least limit once it has settled. The caller holds u.mu.
func (u *Upstream) removeIdleLocked(t *engine.Target, index int, now time.Time, limit time.Duration) *conn {
	c := u.idleConns[t][index]
	u.setIdleLocked(t, slices.Delete(u.idleConns[t], index, index+1))
	settleTime := u.settleTimeLocked(t)
	c.settledAt = c.idleSince.Add(settleTime)
	idleTime := max(now.Sub(c.idleSince), settleTime)
	if idleTime < limit && c.isUsable(now) && c.isAlive() {
		return c
	}
	u.closeLocked(c)
	return nil
}

// setIdleLocked sets the idle connections to a target. A target without any is deleted, since
// eviction and pruning iterate over all entries. The caller holds u.mu.
func (u *Upstream) setIdleLocked(t *engine.Target, conns []*conn) {
	if len(conns) == 0 {
		delete(u.idleConns, t)
		return
	}
	u.idleConns[t] = conns
}

// evictIdleLocked closes the least recently used idle connection of an arbitrary endpoint, if
// there is one. The caller holds u.mu.
func (u *Upstream) evictIdleLocked() {
	for target, conns := range u.idleConns {
		if len(conns) > 0 {
			u.setIdleLocked(target, conns[1:])
			u.closeLocked(conns[0])
			return
		}
	}
}

// closeLocked closes a connection and frees its slot. The caller holds u.mu.
func (u *Upstream) closeLocked(c *conn) {
	c.Close()
	u.open--
}

// release returns a connection to the idle ones, or closes it if it is not reusable. written
// reports whether anything was written to it: otherwise its idle time continues.
func (u *Upstream) release(c *conn, reusable, written bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reusable || c.target.Closed() {
		u.closeLocked(c)
		return
	}
	c.used = true
	if written || c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	u.idleConns[c.target] = append(u.idleConns[c.target], c)
}

// Retire closes a target's idle connections. Requests in flight continue.
func (u *Upstream) Retire(t *engine.Target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idleConns[t] {
		u.closeLocked(c)
	}
	delete(u.idleConns, t)
	delete(u.roundTrips, t)
	if u.securer != nil {
		u.securer.Retire(t)
	}
}

// Prune closes connections that have been idle for too long.
func (u *Upstream) Prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	limit := u.idleEstimator.Limit(now, u.maxIdle)
	for target, conns := range u.idleConns {
		expired := 0 // conns is ordered by idle time, the longest first
		for expired < len(conns) && now.Sub(conns[expired].idleSince) >= limit {
			u.closeLocked(conns[expired])
			expired++
		}
		u.setIdleLocked(target, slices.Delete(conns, 0, expired))
	}
}
