package httpfront

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// acceptRetryInterval is the pause after a failure of accept: short, as clients in the listener's queue may
	// have sent their requests.
	acceptRetryInterval = 5 * time.Millisecond
	// acceptLogInterval is the shortest time between two log lines on such failures.
	acceptLogInterval = time.Second
)

// transientAcceptErrors are the errors of accept(2) after which it is to be called again: the process or the system
// lacks something for a moment, or the error is that of one new connection.
var transientAcceptErrors = []error{
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EMFILE,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENONET,
	syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EPERM, syscall.EPROTO, syscall.ETIMEDOUT,
}

// isTransient reports whether accept may succeed when it is called again. The end of a deadline, by which the
// listener is closed, is not transient.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientAcceptErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// acceptRetrying accepts a connection, and tries again after a transient failure. net/http would end the service at
// some of them, and pause for up to a second at others.
func (l *clientListener) acceptRetrying() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return raw, err
		}
		l.logAcceptFailure(err)
		time.Sleep(acceptRetryInterval)
	}
}

// logAcceptFailure logs a failure, unless one was logged within acceptLogInterval. Only Accept's goroutine calls it.
func (l *clientListener) logAcceptFailure(err error) {
	if l.closes.log == nil || time.Since(l.acceptLoggedAt) < acceptLogInterval {
		return
	}
	l.acceptLoggedAt = time.Now()
	l.closes.log.Warn("accepting a connection failed, trying again", "err", err)
}
