package faulttest

import (
	"time"

	"pinedale/balancer"
)

// requestClass is a class of the clients' requests.
type requestClass struct {
	name             string
	idempotency      balancer.Idempotency
	group            balancer.Group // servers that share idempotency keys, if the class has keys
	dedupWindow      time.Duration  // for which servers remember a key
	probability      float64        // of an effect to be of this class
	latencyObjective time.Duration
	deadline         time.Duration // of a client's effect, over all attempts
}

const (
	latencyObjective = 600 * time.Millisecond
	requestDeadline  = 1500 * time.Millisecond
)

// requestClasses are the classes of the co-operative, with deadlines that suit runs of seconds. Servers forget the
// keys of stall-pay before clients give up, so that retries depend on the leases of the instances.
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
