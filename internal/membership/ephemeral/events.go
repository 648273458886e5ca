package ephemeral

import (
	"log/slog"
	"path"
	"sync"

	"github.com/go-zookeeper/zk"
)

// pendingEvents are the library's events for one connection.
type pendingEvents struct {
	nodes        map[string]zk.EventType // latest event of each node whose watch fired, by name
	directory    bool                    // the directory's watch fired
	hasSession   bool
	disconnected bool // the connection has ended and is not opened again
}

// eventQueue collects the library's events until the reader takes them. push is called on the
// library's goroutine, the other methods on the reader's.
type eventQueue struct {
	directoryPath string
	log           *slog.Logger
	wake          chan struct{} // has an element if push was called since the last receive

	mu      sync.Mutex
	pending pendingEvents
}

func newEventQueue(directoryPath string, log *slog.Logger) *eventQueue {
	return &eventQueue{
		directoryPath: directoryPath,
		log:           log,
		wake:          make(chan struct{}, 1),
		pending:       pendingEvents{nodes: map[string]zk.EventType{}},
	}
}

// push records an event and wakes the reader.
func (q *eventQueue) push(event zk.Event) {
	q.mu.Lock()
	switch {
	case event.Type == zk.EventSession:
		q.pushSessionState(event.State)
	case event.Type == zk.EventNotWatching:
		// The session has ended, which is reported by a session event.
	case event.Path == q.directoryPath:
		q.pending.directory = true
	default:
		q.pending.nodes[path.Base(event.Path)] = event.Type
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pushSessionState records a change of the session. The queue must be locked.
func (q *eventQueue) pushSessionState(state zk.State) {
	switch state {
	case zk.StateHasSession:
		q.pending.hasSession = true
	case zk.StateDisconnected, zk.StateExpired:
		q.pending.disconnected = true
	case zk.StateAuthFailed:
		q.log.Error("zookeeper authentication failed", "path", q.directoryPath)
		q.pending.disconnected = true
	}
}

// take returns the pending events, and clears those of watches.
func (q *eventQueue) take() pendingEvents {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending.nodes = map[string]zk.EventType{}
	q.pending.directory = false
	return taken
}

// requeue puts events back without waking the reader. It does not replace newer events of the
// same nodes.
func (q *eventQueue) requeue(nodes map[string]zk.EventType, directory bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, event := range nodes {
		if _, newer := q.pending.nodes[name]; !newer {
			q.pending.nodes[name] = event
		}
	}
	q.pending.directory = q.pending.directory || directory
}
