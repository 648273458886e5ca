package faulttest

import (
	"time"

	"pinedale/balancer"
)

// requestClass is a class of the clients' requests.
type requestClass struct {
	name             string
	idempotency      balancer.Idempotency
	group            balancer.Group // servers that share idempotency keys, for classes with keys
	dedupWindow      time.Duration  // how long servers store a key
	probability      float64        // that an effect is of this class
	latencyObjective time.Duration
	deadline         time.Duration // of an effect, over all attempts
}

const (
	latencyObjective = 600 * time.Millisecond
	requestDeadline  = 1500 * time.Millisecond
)

// requestClasses are the classes of the co-operative's requests, with deadlines that suit runs of a few seconds.
// Servers evict the keys of stall-pay before its clients give up, so that the at-most-once rule depends on the leases
// of the instances.
var requestClasses = []requestClass{
	{
		name:             "price-check",
		idempotency:      balancer.Idempotent,
		probability:      0.15,
		latencyObjective: latencyObjective,
		deadline:         requestDeadline,
	},
	{
		name:             "stall-pay",
		idempotency:      balancer.IdempotentWithKey,
		group:            balancer.GroupAll,
		dedupWindow:      time.Second,
		probability:      0.25,
		latencyObjective: latencyObjective,
		deadline:         requestDeadline,
	},
	{
		name:             "day-close",
		idempotency:      balancer.IdempotentWithKey,
		group:            balancer.GroupCell,
		dedupWindow:      6 * time.Second,
		probability:      0.6,
		latencyObjective: latencyObjective,
		deadline:         requestDeadline,
	},
}

// hasKey reports whether requests of the class carry an idempotency key.
func (c *requestClass) hasKey() bool { return c.idempotency == balancer.IdempotentWithKey }
