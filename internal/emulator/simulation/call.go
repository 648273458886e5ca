package simulation

import (
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/handshake"
)

// call is an attempt or a probe under way.
type call struct {
	instance   *instance
	server     *server
	target     *engine.Target
	connection *connection
	startedAt  Time
	deadline   Time
	number     uint64 // of the attempt; 0 for a probe
	probe      bool
	sent       bool                // it was written
	finished   bool                // its result is known to the instance
	onArrival  func()              // at the server
	onResult   func(engine.Result) // at the instance
}

// latency is how long something takes between the instance and the server, one way.
func (c *call) latency() time.Duration {
	return c.instance.simulator.scenario.Latency(c.instance.site, c.server.spec.Site)
}

// start takes a connection, or opens one, and writes.
func (c *call) start() {
	n, p := c.instance, c.instance.simulator
	c.startedAt = p.now
	if c.finished { // given up before it began
		return
	}
	p.at(c.deadline, func() { c.stop(balancer.Timeout) })
	for list := n.idleConnections[c.target]; len(list) > 0; list = n.idleConnections[c.target] {
		at := len(list) - 1
		idle := list[at]
		n.idleConnections[c.target] = list[:at]
		if !idle.closedByServer() && !idle.rotatedOut() && p.now-idle.idleSince < maxIdle {
			c.connection = idle
			c.write()
			return
		}
		n.close(idle)
	}
	if n.budget == nil {
		c.open()
		return
	}
	kind := handshake.Request
	if c.probe {
		kind = handshake.Background
	}
	begin, ok := n.budget.RequestTurn(p.Now(), c.target.Address, c.target.Started(), kind, min(maxHandshakeWait, (c.deadline-p.now)/2))
	if !ok {
		p.result.HandshakesDenied++
		p.after(0, func() { c.finish(engine.Result{Status: balancer.NotSent}) })
		return
	}
	p.after(begin.Sub(p.Now()), c.open)
}

// maxHandshakeWait is how long a request waits for a handshake's turn: half of the time that one has,
// as in pinedale-proxy with its defaults.
const maxHandshakeWait = 250 * time.Millisecond

// open opens a connection, and writes.
func (c *call) open() {
	n, p := c.instance, c.instance.simulator
	if c.finished { // given up before it began
		return
	}
	p.after(c.latency(), func() {
		c.connection = c.server.connect()
		answered := balancer.ConnectFailed
		if c.connection == nil && c.server.machine != nil && !c.server.machine.Down() {
			// It holds as many as it can: taken and closed at once, which the
			// instance learns from what it has written.
			answered = balancer.Reset
		}
		if c.connection != nil {
			p.openConnections++
			p.result.RecordHandshake(c.server.number, p.now)
			p.result.Connections = max(p.result.Connections, p.openConnections)
		}
		p.after(c.latency(), func() {
			switch {
			case c.connection != nil && c.finished: // given up meanwhile
				n.close(c.connection)
			case c.connection != nil:
				c.write()
			default:
				c.finish(engine.Result{Status: answered})
			}
		})
	})
}

// write has the request be at its server one way later.
func (c *call) write() {
	if c.target.Closed() {
		c.finish(engine.Result{Status: balancer.NotSent})
		return
	}
	c.sent = true
	c.instance.simulator.after(c.latency(), func() {
		if c.connection.closedByServer() {
			c.server.reply(c, engine.Result{Status: balancer.Reset})
			return
		}
		c.onArrival()
	})
}

// stop gives a call up: what is out there goes on.
func (c *call) stop(s balancer.Status) {
	if !c.sent {
		s = balancer.NotSent
	}
	c.finish(engine.Result{Status: s})
}

// finish passes the result to the instance, once.
func (c *call) finish(res engine.Result) {
	if c.finished {
		return
	}
	c.finished = true
	if c.connection != nil {
		c.releaseConn(res.Status)
	}
	c.onResult(res)
}

// releaseConn keeps the call's connection for others after a complete answer, and closes it otherwise.
func (c *call) releaseConn(s balancer.Status) {
	complete := s == balancer.OK || s == balancer.Error || s == balancer.Full
	if !complete || c.instance.killed || c.target.Closed() || c.connection.closedByServer() {
		c.instance.close(c.connection)
		return
	}
	c.connection.idleSince = c.instance.simulator.now
	c.instance.idleConnections[c.target] = append(c.instance.idleConnections[c.target], c.connection)
}
