package simulation

import (
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/engine"
)

// connection is one connection between an instance and a server.
type connection struct {
	server         *server
	machine        *model.Server // the life that it was opened to
	idleSince      Time
	openedAt       Time
	spreadPosition float64 // of a rotation's span, at which it is replaced
}

// rotatedOut says that a connection is of no more use since keys have changed.
func (c *connection) rotatedOut() bool {
	for i := range c.server.simulator.scenario.Rotations {
		if c.server.simulator.now >= c.server.simulator.scenario.Rotations[i].ReplaceAt(c.openedAt, c.spreadPosition) {
			return true
		}
	}
	return false
}

// closedByServer says that the life at its other end is over.
func (c *connection) closedByServer() bool { return c.machine != c.server.machine || c.machine.Down() }

// maxIdle is for how long an idle connection is used, as by the sidecar where servers
// keep theirs for 5 s.
const maxIdle = 3750 * time.Millisecond

// Retire closes a target's idle connections.
func (n *instance) Retire(t *engine.Target) {
	for _, c := range n.idleConnections[t] {
		n.close(c)
	}
	delete(n.idleConnections, t)
}

// Prune closes connections that have been idle for too long.
func (n *instance) Prune() {
	for t, list := range n.idleConnections {
		old := 0
		for old < len(list) && n.simulator.now-list[old].idleSince >= maxIdle {
			n.close(list[old])
			old++
		}
		if n.idleConnections[t] = list[old:]; old == len(list) {
			delete(n.idleConnections, t)
		}
	}
}

// close ends a connection; its server knows one way later.
func (n *instance) close(c *connection) {
	n.simulator.openConnections--
	n.simulator.after(n.simulator.scenario.Latency(n.site, c.server.spec.Site), func() {
		if !c.closedByServer() {
			c.machine.Disconnect()
		}
	})
}
