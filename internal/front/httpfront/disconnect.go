package httpfront

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection in which the peer has closed its side, as in struct tcp_info (linux/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// disconnected reports whether the client has closed its side of the connection. It asks the system, which knows of the
// close also behind bytes that have not been read. It returns false where that cannot be seen: on connections that do
// not expose their socket, or if the system does not have the close yet, since its buffer for unread bytes is full.
func (c *clientConn) disconnected() bool {
	ended := false
	exposed, err := c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			switch info.State {
			case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
				ended = true
			}
		}
		n, err := peek(fd)
		unknown := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		ended = ended || n <= 0 && !unknown
	})
	return exposed && (err != nil || ended)
}

// hasUnreadBytes reports whether the system has bytes of the client that have not been read. It returns false on
// connections that do not expose their socket.
func (c *clientConn) hasUnreadBytes() bool {
	unread := false
	_, _ = c.control(func(fd int) { // fails if the connection has ended
		n, _ := peek(fd)
		unread = n > 0
	})
	return unread
}

// peek returns what recvfrom(2) returns for the next byte, which stays unread.
func peek(fd int) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// control calls f with the connection's socket, also while it is being read. exposed is false if the connection does
// not expose its socket; err is an error if it is closed on this side.
func (c *clientConn) control(f func(fd int)) (exposed bool, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true, err
	}
	// raw.Read is not used: it would wait for a concurrent read to return.
	return true, raw.Control(func(fd uintptr) { f(int(fd)) })
}
