package simulation

import (
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/engine"
)

// conn is one connection between an instance and a server.
type conn struct {
	host    *host
	machine *model.Server // the life that it was opened to
	idleAt  Time
	opened  Time
	part    float64 // of a rotation's span, at which it is replaced
}

// rotated says that a connection is of no more use since keys have changed.
func (c *conn) rotated() bool {
	for i := range c.host.play.scenario.Rotations {
		if c.host.play.now >= c.host.play.scenario.Rotations[i].ReplaceAt(c.opened, c.part) {
			return true
		}
	}
	return false
}

// broken says that the life at its other end is over.
func (c *conn) broken() bool { return c.machine != c.host.machine || c.machine.Down() }

// maxIdle is for how long an idle connection is used, as by the sidecar where servers
// keep theirs for 5 s.
const maxIdle = 3750 * time.Millisecond

// Retire closes a target's idle connections.
func (n *instance) Retire(t *engine.Target) {
	for _, c := range n.idle[t] {
		n.close(c)
	}
	delete(n.idle, t)
}

// Prune closes connections that have been idle for too long.
func (n *instance) Prune() {
	for t, list := range n.idle {
		old := 0
		for old < len(list) && n.play.now-list[old].idleAt >= maxIdle {
			n.close(list[old])
			old++
		}
		if n.idle[t] = list[old:]; old == len(list) {
			delete(n.idle, t)
		}
	}
}

// close ends a connection; its server knows one way later.
func (n *instance) close(c *conn) {
	n.play.openConns--
	n.play.after(n.play.scenario.Latency(n.site, c.host.spec.Site), func() {
		if !c.broken() {
			c.machine.Disconnect()
		}
	})
}
