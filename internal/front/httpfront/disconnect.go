package httpfront

import (
	"errors"
	"syscall"
)

// disconnected reports whether the client has closed its side of the connection, by peeking at the socket. It returns
// false where that cannot be seen: behind bytes that have not been read, and on connections that do not expose their
// socket.
func (c *clientConn) disconnected() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // closed on this side
	}
	ended := false
	// raw.Read is not used: it would wait for the concurrent read of net/http to return.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unknown := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		ended = n <= 0 && !unknown
	})
	return err != nil || ended
}
