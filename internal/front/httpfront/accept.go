package httpfront

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// acceptRetryInterval is the pause after a failed accept. It is short because clients in the listener's queue may
	// already have sent their requests.
	acceptRetryInterval = 5 * time.Millisecond
	// acceptLogInterval is the shortest time between two log lines on failed accepts.
	acceptLogInterval = time.Second
)

// transientAcceptErrors are the errors of accept(2) after which it is retried: a temporary shortage of resources, or a
// failure of one new connection.
var transientAcceptErrors = []error{
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EMFILE,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENONET,
	syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.EPERM, syscall.EPROTO, syscall.ETIMEDOUT,
}

// isTransient reports whether accept may succeed when it is called again. An expired deadline is not transient: it is
// how the listener is closed.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientAcceptErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// acceptRetrying accepts a connection, and retries after a transient failure. net/http would stop serving after some of
// these failures, and pause for up to a second after others.
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
