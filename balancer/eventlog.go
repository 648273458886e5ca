package balancer

import "math"

// event is what a log line reports: its message, and the reason where there are several.
type event struct{ message, reason string }

// Reasons for which a request has its final answer from the balancer.
const (
	reasonExpired     = "its time is over"
	reasonTooManyOpen = "too many requests are open"
	reasonNoEndpoint  = "no endpoint may be used"
	reasonBreaker     = "breakers of two endpoints"
	reasonPredicted   = "predicted latency too high"
	reasonHostEnds    = "its host ends it"
)

// eventCount counts the events of a kind since the last line on them.
type eventCount struct {
	loggedAt Micros
	count    int
}

// countForLog counts an event. Each kind is logged at most once a second, as rejections come in thousands: where a
// line is due it returns how many events that stands for, and else 0.
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

// log logs an event for on-call staff, or leaves it out where countForLog does.
func (b *Balancer) log(now Micros, message string, attributes ...any) {
	if count := b.countForLog(now, event{message: message}); count > 0 {
		b.actions.Log(message, append(attributes, "count", count)...)
	}
}

// logAnswer logs a final answer of the balancer's own.
func (b *Balancer) logAnswer(now Micros, message string, r *request) {
	if count := b.countForLog(now, event{message, r.reason}); count > 0 {
		b.actions.Log(message, "request", r.ID, "reason", r.reason, "attempts", len(r.attempts), "count", count)
	}
}

// logRetry logs that r goes to another endpoint after an attempt that ended with this status.
func (b *Balancer) logRetry(now Micros, r *request, failed *endpoint, status Status) {
	if count := b.countForLog(now, event{"request retried", status.String()}); count > 0 {
		b.actions.Log("request retried", "request", r.ID, "endpoint", failed.ID, "status", status.String(),
			"count", count)
	}
}

// statusNames are the names of statuses in the log.
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

// String returns the name of a status.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// roundForLog rounds to two decimals.
func roundForLog(x float64) float64 { return math.Round(100*x) / 100 }
