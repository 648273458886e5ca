package httpfront

import (
	"context"

	"pinedale/internal/membudget"
)

const (
	// maxReadAheadBytes bounds the bytes that a client sends after a request in flight. Clients send one
	// request at a time; one that exceeds the limit does not wait for responses.
	maxReadAheadBytes = 16 << 10
	// readAheadChunk is how much is read at once from a client that sends bytes after a request in flight.
	readAheadChunk = 2 << 10
)

// readAhead reads from a connection while a request is in flight, since only a read notices that the client
// disconnects. What is received belongs to the next request.
type readAhead struct {
	conn   *clientConn
	memory *membudget.Reservation // of received
	cancel context.CancelFunc
	done   chan struct{}
	first  [64]byte // buffer for the first read: few clients send anything

	// Owned by the goroutine of run until done is closed.
	received     []byte
	exceeded     bool // more than maxReadAheadBytes or than there is memory for
	disconnected bool
}

// startReadAhead begins to read. cancel is called once the client has disconnected or sends too much.
func startReadAhead(c *clientConn, memory *membudget.Reservation, cancel context.CancelFunc) *readAhead {
	a := &readAhead{conn: c, memory: memory, cancel: cancel, done: make(chan struct{})}
	go a.run()
	return a
}

// run reads until stop is called, the client disconnects or a limit is exceeded.
func (a *readAhead) run() {
	defer close(a.done)
	buffer := a.first[:]
	for {
		n, err := a.conn.Conn.Read(buffer)
		if n > 0 && !a.add(buffer[:n]) {
			a.exceeded = true
			a.cancel()
			return
		}
		if isTimeout(err) {
			return
		}
		if err != nil {
			a.disconnected = true
			a.cancel()
			return
		}
		if len(buffer) < readAheadChunk {
			buffer = make([]byte, readAheadChunk)
		}
	}
}

// add appends received bytes, or returns false at a limit.
func (a *readAhead) add(received []byte) bool {
	size := len(a.received) + len(received)
	if size > maxReadAheadBytes || !a.memory.TryGrow(int64(size)) {
		return false
	}
	a.received = append(a.received, received...)
	return true
}

// stop ends the reading and waits for its end.
func (a *readAhead) stop() {
	a.conn.owner.mu.Lock()
	a.conn.interruptRead()
	a.conn.owner.mu.Unlock()
	<-a.done
}
