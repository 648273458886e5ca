package simulation

import (
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/handshake"
)

// maxHandshakeWait bounds how long a request waits for the handshake budget. It is half of the default handshake
// timeout of pinedale-proxy, which uses the same bound.
const maxHandshakeWait = 250 * time.Millisecond

// call is one attempt or probe between an instance and a server.
type call struct {
	instance  *instance
	server    *server
	target    *engine.Target
	conn      *connection
	startedAt Time
	deadline  Time
	number    uint64 // of the attempt; 0 for a probe
	probe     bool
	written   bool                // the request has been written to a connection
	finished  bool                // the instance has received the result
	onArrival func()              // runs when the request arrives at the server
	onResult  func(engine.Result) // runs when the result arrives at the instance
}

// latency returns the one-way latency between the instance and the server.
func (c *call) latency() time.Duration {
	return c.instance.simulator.scenario.Latency(c.instance.site, c.server.spec.Site)
}

// start writes the request to an idle connection, or to a new one.
func (c *call) start() {
	sim := c.instance.simulator
	c.startedAt = sim.now
	if c.finished { // aborted before its start
		return
	}
	sim.at(c.deadline, func() { c.abort(balancer.Timeout) })
	c.conn = c.instance.takeIdle(c.target)
	switch {
	case c.conn != nil:
		c.write()
	case c.instance.budget == nil:
		c.open()
	default:
		c.openWithinBudget()
	}
}

// openWithinBudget opens a connection as soon as the handshake budget permits it. If the wait would be too long, the
// call fails without being sent.
func (c *call) openWithinBudget() {
	sim := c.instance.simulator
	priority := handshake.Request
	if c.probe {
		priority = handshake.Background
	}
	maxWait := min(maxHandshakeWait, (c.deadline-sim.now)/2)
	begin, ok := c.instance.budget.RequestTurn(sim.Now(), c.target.Address, c.target.Started(), priority, maxWait)
	if !ok {
		sim.result.HandshakesDenied++
		sim.after(0, func() { c.finish(engine.Result{Status: balancer.NotSent}) })
		return
	}
	sim.after(begin.Sub(sim.Now()), c.open)
}

// open opens a connection and then writes the request. The handshake takes a round trip.
func (c *call) open() {
	if c.finished { // aborted before the handshake
		return
	}
	c.instance.simulator.after(c.latency(), c.accept)
}

// accept handles the arrival of a new connection at the server.
func (c *call) accept() {
	sim := c.instance.simulator
	c.conn = c.server.accept()
	failure := balancer.ConnectFailed
	if c.server.running() {
		// A running server that does not accept has reached its connection limit. It closes the connection as soon as
		// the handshake is done, which the instance notices only after it has written the request.
		failure = balancer.Reset
	}
	if c.conn != nil {
		sim.openConnections++
		sim.result.RecordHandshake(c.server.number, sim.now)
		sim.result.Connections = max(sim.result.Connections, sim.openConnections)
	}
	sim.after(c.latency(), func() {
		switch {
		case c.conn == nil:
			c.finish(engine.Result{Status: failure})
		case c.finished: // aborted during the handshake
			c.instance.closeConnection(c.conn)
		default:
			c.write()
		}
	})
}

// write sends the request, which arrives at the server after the one-way latency.
func (c *call) write() {
	if c.target.Closed() {
		c.finish(engine.Result{Status: balancer.NotSent})
		return
	}
	c.written = true
	c.instance.simulator.after(c.latency(), func() {
		if c.conn.closedByServer() {
			c.server.reply(c, engine.Result{Status: balancer.Reset})
			return
		}
		c.onArrival()
	})
}

// abort ends the call with a status. A request that has been written is still processed by the server.
func (c *call) abort(status balancer.Status) {
	if !c.written {
		status = balancer.NotSent
	}
	c.finish(engine.Result{Status: status})
}

// finish passes the result to the instance. Only the first result counts.
func (c *call) finish(result engine.Result) {
	if c.finished {
		return
	}
	c.finished = true
	if c.conn != nil {
		c.releaseConnection(result.Status)
	}
	c.onResult(result)
}

// releaseConnection keeps the connection for other requests after a complete response and closes it otherwise.
func (c *call) releaseConnection(status balancer.Status) {
	complete := status == balancer.OK || status == balancer.Error || status == balancer.Full
	if !complete || c.instance.killed || c.target.Closed() || c.conn.closedByServer() {
		c.instance.closeConnection(c.conn)
		return
	}
	c.instance.putIdle(c.target, c.conn)
}
