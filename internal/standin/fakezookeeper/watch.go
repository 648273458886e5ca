package fakezookeeper

// The kinds of watch event (Watcher.Event.EventType).
const (
	eventCreated  = 1
	eventDeleted  = 2
	eventData     = 3
	eventChildren = 4
)

// connected is the state of the session that each watch event tells (Watcher.Event.KeeperState).
const connected = 3

// watchKind is what a watch waits for.
type watchKind int

// The kinds of watch.
const (
	dataWatch  watchKind = iota // a node's data changes, or the node is deleted
	existWatch                  // a node is created
	childWatch                  // a node's children change, or the node is deleted
)

// watchKey names one watch of a connection.
type watchKey struct {
	kind watchKind
	path string
}

// watch sets the watch that a request asks for.
func (c *conn) watch(q request, kind watchKind) {
	if q.watch {
		c.watches[watchKey{kind, q.path}] = true
	}
}

// takeWatches ends a connection's watches of these kinds on a node, and says whether there were any.
func (c *conn) takeWatches(p string, kinds []watchKind) (found bool) {
	for _, kind := range kinds {
		k := watchKey{kind, p}
		found = found || c.watches[k]
		delete(c.watches, k)
	}
	return found
}

// fire notifies all that watch a node in one of these ways, each connection once, and
// ends their watches.
func (s *Service) fire(p string, event int32, kinds ...watchKind) {
	for _, m := range s.members {
		if m.view != nil || m.unresponsive {
			continue
		}
		for c := range m.conns {
			if c.takeWatches(p, kinds) {
				c.event(p, event)
			}
		}
	}
}

// event sends a watch event.
func (c *conn) event(p string, event int32) {
	out := frame()
	out.head(-1, -1, codeOK)
	out.int32(event)
	out.int32(connected)
	out.string(p)
	c.send(out)
}

// setWatches sets watches again after a new connection. What has changed since the
// client's last zxid is an event at once.
func (c *conn) setWatches(q request) {
	tree := c.tree()
	for _, p := range q.dataSet {
		switch n := tree[p]; {
		case n == nil:
			c.event(p, eventDeleted)
		case n.mzxid > q.zxid:
			c.event(p, eventData)
		default:
			c.watches[watchKey{dataWatch, p}] = true
		}
	}
	for _, p := range q.existSet {
		if tree[p] != nil {
			c.event(p, eventCreated)
		} else {
			c.watches[watchKey{existWatch, p}] = true
		}
	}
	for _, p := range q.childSet {
		switch n := tree[p]; {
		case n == nil:
			c.event(p, eventDeleted)
		case n.pzxid > q.zxid:
			c.event(p, eventChildren)
		default:
			c.watches[watchKey{childWatch, p}] = true
		}
	}
}
