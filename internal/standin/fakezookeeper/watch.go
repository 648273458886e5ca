package fakezookeeper

// The kinds of watch event (Watcher.Event.EventType).
const (
	eventCreated  = 1
	eventDeleted  = 2
	eventData     = 3
	eventChildren = 4
)

// stateConnected is the state of the session in a watch event (Watcher.Event.KeeperState).
const stateConnected = 3

// Fields of a watch event's header.
const (
	eventXID  = -1
	eventZxid = -1
)

// watchKind is the kind of change that fires a watch.
type watchKind int

// The kinds of watch.
const (
	dataWatch  watchKind = iota // a node's data changes, or the node is deleted
	existWatch                  // a node is created
	childWatch                  // a node's children change, or the node is deleted
)

// watchKey identifies one watch of a connection.
type watchKey struct {
	kind watchKind
	path string
}

// watch sets a watch if the request asks for one.
func (c *conn) watch(r request, kind watchKind) {
	if r.watch {
		c.watches[watchKey{kind, r.path}] = true
	}
}

// removeWatches removes a connection's watches of these kinds on a node. It reports whether there were any.
func (c *conn) removeWatches(nodePath string, kinds []watchKind) bool {
	found := false
	for _, kind := range kinds {
		key := watchKey{kind, nodePath}
		found = found || c.watches[key]
		delete(c.watches, key)
	}
	return found
}

// fire sends an event to each connection that has a watch of one of these kinds on a node, and removes the watches.
func (s *Service) fire(nodePath string, event int32, kinds ...watchKind) {
	for _, m := range s.members {
		if m.staleView != nil || m.unresponsive {
			continue
		}
		for c := range m.conns {
			if c.removeWatches(nodePath, kinds) {
				c.sendEvent(nodePath, event)
			}
		}
	}
}

// sendEvent sends a watch event.
func (c *conn) sendEvent(nodePath string, event int32) {
	frame := newFrame()
	frame.header(eventXID, eventZxid, codeOK)
	frame.int32(event)
	frame.int32(stateConnected)
	frame.string(nodePath)
	c.send(frame)
}

// setWatches sets watches again after a reconnect. If a node has changed since the client's last zxid, it sends the
// event at once.
func (c *conn) setWatches(r request) {
	tree := c.tree()
	for _, nodePath := range r.dataWatches {
		switch n := tree[nodePath]; {
		case n == nil:
			c.sendEvent(nodePath, eventDeleted)
		case n.mzxid > r.zxid:
			c.sendEvent(nodePath, eventData)
		default:
			c.watches[watchKey{dataWatch, nodePath}] = true
		}
	}
	for _, nodePath := range r.existWatches {
		if tree[nodePath] != nil {
			c.sendEvent(nodePath, eventCreated)
		} else {
			c.watches[watchKey{existWatch, nodePath}] = true
		}
	}
	for _, nodePath := range r.childWatches {
		switch n := tree[nodePath]; {
		case n == nil:
			c.sendEvent(nodePath, eventDeleted)
		case n.pzxid > r.zxid:
			c.sendEvent(nodePath, eventChildren)
		default:
			c.watches[watchKey{childWatch, nodePath}] = true
		}
	}
}
