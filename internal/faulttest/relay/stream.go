package relay

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	// chunkBytes is the size of the buffer that a stream is copied through.
	chunkBytes = 16 << 10

	// halfCloseTimeout is how long one side of a connection may send after the other side has finished.
	halfCloseTimeout = time.Second
)

// acceptConnections accepts connections and forwards them until the relay is closed.
func (r *Relay) acceptConnections() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		source := connection.(*net.TCPConn)
		if r.addConnection(source) {
			r.tasks.Go(func() { r.forwardConnection(source) })
		}
	}
}

// forwardConnection forwards a connection in both directions. It closes the connection once both directions have ended,
// or halfCloseTimeout after the first one.
func (r *Relay) forwardConnection(source *net.TCPConn) {
	defer r.removeConnection(source)
	r.outbound.delayStream()
	destination, err := r.dialTarget()
	if err != nil {
		reset(source) // what the client sees if the target refuses a connection
		return
	}
	if !r.addConnection(destination) {
		return
	}
	defer r.removeConnection(destination)
	ended := make(chan struct{}, 2)
	forward := func(to, from *net.TCPConn, path *Path) {
		forwardStream(to, from, path)
		ended <- struct{}{}
	}
	r.tasks.Go(func() { forward(destination, source, r.outbound) })
	r.tasks.Go(func() { forward(source, destination, r.inbound) })
	<-ended
	timer := time.NewTimer(halfCloseTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

// dialTarget connects to the target. It has no timeout of its own: on a busy machine, a target that is slow to accept
// connections must not appear unreachable.
func (r *Relay) dialTarget() (*net.TCPConn, error) {
	connection, err := (&net.Dialer{}).DialContext(r.ctx, "tcp", r.currentTarget().stream)
	if err != nil {
		return nil, err
	}
	return connection.(*net.TCPConn), nil
}

// forwardStream copies one direction of a connection, and closes that direction at the destination once the sender has
// closed it.
func forwardStream(to, from *net.TCPConn, path *Path) {
	if err := copyStream(to, from, path); errors.Is(err, io.EOF) {
		_ = to.CloseWrite() // fails if the connection has ended
	}
}

// copyStream copies a stream under the conditions of a path. It returns the error that ended the copy, which is
// io.EOF if the sender closed the stream.
func copyStream(to io.Writer, from io.Reader, path *Path) error {
	chunk := make([]byte, chunkBytes)
	for {
		count, readErr := from.Read(chunk)
		if count > 0 {
			path.recordArrival()
			path.delayStream()
			if _, err := to.Write(chunk[:count]); err != nil {
				return err
			}
		}
		if readErr != nil {
			return readErr
		}
	}
}

// reset closes a connection with a TCP reset, which the peer can distinguish from the end of the stream.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0) // fails if the connection has ended
	connection.Close()
}
