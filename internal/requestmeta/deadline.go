package requestmeta

import (
	"strconv"
	"time"

	"pinedale/balancer"
)

// MaxRequestTime is the longest time that a request gets, whatever its client requests.
const MaxRequestTime = time.Minute

// ResponseMargin of a client's time is reserved for writing the response: some clients have 40 ms in all.
const ResponseMargin = 2 * time.Millisecond

const microsPerMilli = 1000

// parseDeadline returns the instant by which the engine must respond: the least of the client's remaining
// time, the bounds' and MaxRequestTime after the arrival, less ResponseMargin.
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
		millis = min(millis, uint64(MaxRequestTime.Milliseconds())) // before it is converted: it may be huge
		allowed = min(allowed, int64(millis)*microsPerMilli)
	}
	return in.At + allowed - ResponseMargin.Microseconds(), nil
}
