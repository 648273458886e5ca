package subset

import (
	"math"
	"time"
)

const (
	// shrinkDelay is how long a smaller size must have been sufficient before the subset
	// shrinks. Otherwise each burst of traffic would open new connections.
	shrinkDelay = time.Minute
	// shrinkRatio is the ratio of sufficient to current size below which the subset may shrink.
	shrinkRatio = 0.7
)

// sizeController derives the wanted number of servers from the requests in flight.
type sizeController struct {
	minSize     int
	perInFlight float64
	size        int // number of servers wanted

	shrinking   bool      // a size below shrinkRatio of the current one has sufficed since shrinkSince
	shrinkSince time.Time // if shrinking
	shrinkSize  int       // if shrinking: the largest size needed since shrinkSince
}

func newSizeController(c Config) sizeController {
	return sizeController{minSize: c.MinSize, perInFlight: c.PerInFlight, size: c.MinSize}
}

// observe records the number of requests in flight and reports whether the size has changed.
func (c *sizeController) observe(now time.Time, inFlight float64) (changed bool) {
	needed := c.minSize + int(math.Ceil(c.perInFlight*max(0, inFlight)))
	switch {
	case needed > c.size:
		c.resize(needed)
		return true
	case float64(needed) >= shrinkRatio*float64(c.size):
		c.shrinking = false
	case !c.shrinking || now.Before(c.shrinkSince):
		c.shrinking = true
		c.shrinkSince = now
		c.shrinkSize = needed
	case now.Sub(c.shrinkSince) >= shrinkDelay:
		c.resize(max(c.shrinkSize, needed))
		return true
	default:
		c.shrinkSize = max(c.shrinkSize, needed)
	}
	return false
}

// resize sets the size and ends a shrinking period.
func (c *sizeController) resize(size int) {
	c.size = size
	c.shrinking = false
}
