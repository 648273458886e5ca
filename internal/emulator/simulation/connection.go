package simulation

import (
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/engine"
)

// maxIdle is how long an idle connection may be reused. It is the sidecar's setting for servers that close idle
// connections after 5 s.
const maxIdle = 3750 * time.Millisecond

// connection is one connection between an instance and a server.
type connection struct {
	server         *server
	machine        *model.Server // the process that accepted the connection
	openedAt       Time
	idleSince      Time
	spreadPosition float64 // from 0 to 1: the point within a key rotation at which the connection is replaced
}

// reusable reports whether an idle connection may carry another request.
func (c *connection) reusable() bool {
	idle := c.server.simulator.now - c.idleSince
	return !c.closedByServer() && !c.rotatedOut() && idle < maxIdle
}

// rotatedOut reports whether a key rotation has replaced the connection.
func (c *connection) rotatedOut() bool {
	sim := c.server.simulator
	for i := range sim.scenario.Rotations {
		if sim.now >= sim.scenario.Rotations[i].ReplaceAt(c.openedAt, c.spreadPosition) {
			return true
		}
	}
	return false
}

// closedByServer reports whether the process that accepted the connection has ended.
func (c *connection) closedByServer() bool {
	return c.machine != c.server.machine || c.machine.Down()
}

// Retire closes the idle connections to a target.
func (n *instance) Retire(target *engine.Target) {
	for _, conn := range n.idleConnections[target] {
		n.closeConnection(conn)
	}
	delete(n.idleConnections, target)
}

// Prune closes connections that have been idle for too long.
func (n *instance) Prune() {
	for target, idle := range n.idleConnections {
		expired := 0
		for expired < len(idle) && n.simulator.now-idle[expired].idleSince >= maxIdle {
			n.closeConnection(idle[expired])
			expired++
		}
		if expired == len(idle) {
			delete(n.idleConnections, target)
		} else {
			n.idleConnections[target] = idle[expired:]
		}
	}
}

// takeIdle returns the most recently used idle connection to a target, or nil if none is reusable. It closes the
// unusable connections that it finds on the way.
func (n *instance) takeIdle(target *engine.Target) *connection {
	for len(n.idleConnections[target]) > 0 {
		idle := n.idleConnections[target]
		last := len(idle) - 1
		conn := idle[last]
		n.idleConnections[target] = idle[:last]
		if conn.reusable() {
			return conn
		}
		n.closeConnection(conn)
	}
	return nil
}

// putIdle keeps a connection for later requests.
func (n *instance) putIdle(target *engine.Target, conn *connection) {
	conn.idleSince = n.simulator.now
	n.idleConnections[target] = append(n.idleConnections[target], conn)
}

// closeConnection closes a connection. The server notices it after the one-way latency.
func (n *instance) closeConnection(conn *connection) {
	n.simulator.openConnections--
	latency := n.simulator.scenario.Latency(n.site, conn.server.spec.Site)
	n.simulator.after(latency, func() {
		if !conn.closedByServer() {
			conn.machine.Disconnect()
		}
	})
}
