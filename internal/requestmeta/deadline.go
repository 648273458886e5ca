package requestmeta

import (
	"strconv"
	"time"

	"pinedale/balancer"
)

// MaxRequestTime is the longest time that a request may take, whatever its client asks for.
const MaxRequestTime = time.Minute

// ResponseMargin is the part of a client's time reserved for writing the response. Some clients have only 40 ms in all.
const ResponseMargin = 2 * time.Millisecond

const microsPerMilli = 1000

// parseDeadline returns the instant by which the engine must respond: the arrival plus the shortest of the client's
// remaining time, the limit of the class or route, and MaxRequestTime, less ResponseMargin.
func parseDeadline(router Router, b *Bounds, in *Request) (balancer.Micros, error) {
	allowed := MaxRequestTime.Microseconds()
	if b.Deadline > 0 {
		allowed = min(allowed, b.Deadline)
	}
	if header := in.Header.Get(HeaderTimeLeft); header != "" || !router.HasRoutes() {
		millis, err := strconv.ParseUint(header, 10, 63)
		if err != nil {
			return 0, BadRequest("%s: %q is not a whole number of milliseconds", HeaderTimeLeft, header)
		}
		millis = min(millis, uint64(MaxRequestTime.Milliseconds())) // before the conversion, which could overflow
		allowed = min(allowed, int64(millis)*microsPerMilli)
	}
	return in.At + allowed - ResponseMargin.Microseconds(), nil
}
