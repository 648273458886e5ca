package httpfront

import (
	"log/slog"
	"sync"
	"time"
)

// closeReason is why a client's connection was closed here, or is going to be.
type closeReason string

const (
	closedAtLimit            closeReason = "all connections have a request in flight"
	closedIdleLongest        closeReason = "idle longest, at the limit of connections"
	closedSlowRequest        closeReason = "request arriving too slowly, at the limit of connections"
	closedLingering          closeReason = "client did not close after its last response, at the limit of connections"
	closedSlowRequestMemory  closeReason = "request arriving too slowly, at the limit of memory for requests"
	closedSlowResponseMemory closeReason = "response read too slowly, at the limit of memory for responses"
	closedDisconnected       closeReason = "client disconnected before its response"
	closedReadAhead          closeReason = "too many bytes behind a request in flight"
	closedBusy               closeReason = "no memory for the request"
	closedMalformed          closeReason = "malformed request"
	closedHeaderLimit        closeReason = "request header too large"
	closedTimeout            closeReason = "request did not arrive in time"
)

// closeLogInterval is the shortest time between two log lines with the same reason.
const closeLogInterval = time.Second

// closeLog logs the closes of clients' connections, each reason at most once in closeLogInterval.
type closeLog struct {
	log *slog.Logger

	mu     sync.Mutex
	counts map[closeReason]closeCount
}

// closeCount counts the closes with one reason since its last log line.
type closeCount struct {
	loggedAt time.Time
	count    int
}

// add counts a closed connection. requestID is the id of its request, "" if none was read.
func (l *closeLog) add(reason closeReason, requestID string) {
	if l.log == nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[closeReason]closeCount{}
	}
	counted := l.counts[reason]
	counted.count++
	if now.Sub(counted.loggedAt) < closeLogInterval {
		l.counts[reason] = counted
		return
	}
	l.counts[reason] = closeCount{loggedAt: now}
	l.log.Info("client connection closed", "reason", string(reason), "request", requestID, "count", counted.count)
}
