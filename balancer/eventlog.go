package balancer

import "math"

// event identifies a kind of log line: its message, and the reason if the message has several.
type event struct{ message, reason string }

// Reasons for which the balancer itself gives a request its final answer.
const (
	reasonExpired     = "deadline exceeded"
	reasonTooManyOpen = "too many open requests"
	reasonTooManyKeys = "too many idempotency keys"
	reasonNoEndpoint  = "no endpoint available"
	reasonBreaker     = "rejected by circuit breaker"
	reasonPredicted   = "predicted latency too high"
	reasonEndedByHost = "ended by host"
)

// eventCount counts the events of one kind since the last line logged for them.
type eventCount struct {
	loggedAt Micros
	count    int
}

// countForLog counts an event. Since there may be thousands of rejections a second, each kind of event is logged at
// most once a second: countForLog returns the number of events that a line stands for, or 0 if none is to be logged.
func (b *Balancer) countForLog(now Micros, kind event) int {
	counted, known := b.logged[kind]
	counted.count++
	if known && now-counted.loggedAt < second {
		b.logged[kind] = counted
		return 0
	}
	b.logged[kind] = eventCount{loggedAt: now}
	return counted.count
}

// log logs an event for on-call staff, at most once a second for each message.
func (b *Balancer) log(now Micros, message string, attributes ...any) {
	if count := b.countForLog(now, event{message: message}); count > 0 {
		b.actions.Log(message, append(attributes, "count", count)...)
	}
}

// logFinalAnswer logs a final answer that the balancer itself gives.
func (b *Balancer) logFinalAnswer(now Micros, message string, r *request) {
	if count := b.countForLog(now, event{message, r.reason}); count > 0 {
		b.actions.Log(message, "request", r.ID, "reason", r.reason, "attempts", len(r.attempts), "count", count)
	}
}

// logRetry logs a retry of r after an attempt ended with this status at an endpoint.
func (b *Balancer) logRetry(now Micros, r *request, failed *endpoint, status Status) {
	if count := b.countForLog(now, event{"request retried", status.String()}); count > 0 {
		b.actions.Log("request retried", "request", r.ID, "endpoint", failed.ID, "status", status.String(),
			"count", count)
	}
}

var statusNames = [...]string{
	OK:            "ok",
	Error:         "error",
	Full:          "full",
	Timeout:       "timeout",
	ConnectFailed: "connect failed",
	Reset:         "reset",
	Cancelled:     "cancelled",
	NotSent:       "not sent",
}

// String returns the name of a status as used in the log.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// roundForLog rounds to two decimals.
func roundForLog(x float64) float64 { return math.Round(100*x) / 100 }
