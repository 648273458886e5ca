package policy

import (
	"fmt"
	"math"
	"time"

	"pinedale/balancer"
)

// minModuleWindow is the shortest deduplication window that the decision module can use.
const minModuleWindow = time.Millisecond

// checkClasses checks each class and returns the classes by name. Names, idempotency and windows were checked when the
// file was read.
func (c *compiler) checkClasses() map[string]*Class {
	classes := map[string]*Class{}
	for i := range c.Classes {
		class := &c.Classes[i]
		classes[class.Name] = class
		c.checkClass(fmt.Sprintf("class[%d].", i), class)
	}
	return classes
}

// checkClass checks one class. prefix is the first part of the keys of its settings.
func (c *compiler) checkClass(prefix string, class *Class) {
	c.checkTiming(prefix, &class.Timing)
	c.checkHedgeQuantile(prefix+"copy_at", class)
	c.require(class.TypicalWork >= 0, prefix+"usual", "%v is negative", class.TypicalWork)
	c.require(class.MaxInFlight >= 0, prefix+"open", "%d is negative", class.MaxInFlight)
	c.require(class.BrownoutLevel >= 0 && class.BrownoutLevel <= maxBrownoutLevel,
		prefix+"brown_out", "%d is not in 0 to %d", class.BrownoutLevel, maxBrownoutLevel)
	c.checkClients(prefix+"clients", class)
	if class.deduplicates() {
		c.checkModuleWindow(prefix+"window", class)
	}
	c.checkEffective(prefix, c.Effective(class, nil))
}

// checkModuleWindow checks that a repeat can be sent within the deduplication window of a class.
func (c *compiler) checkModuleWindow(key string, class *Class) {
	limits := &c.Limits
	c.require(limits.moduleWindow(class.DedupWindow) >= minModuleWindow, key,
		"rule window: of %v nothing is left for a repeat if a connection takes %v, timers are %v late and clocks %v apart",
		class.DedupWindow, limits.DialTimeout, limits.TimerSlack, limits.ClockError)
}

func (c *compiler) checkHedgeQuantile(key string, class *Class) {
	quantile := class.HedgeQuantile
	c.require(quantile >= 0 && quantile < 1, key, "%v is not a quantile: must be at least 0 and less than 1", quantile)
	c.require(quantile == 0 || class.HedgeDelay == 0, key, "copy_after is also set: set only one of the two")
	c.require(quantile == 0 || class.Idempotency != balancer.NotIdempotent, key,
		"rule unsafe: a request of this class must not be sent twice")
}

func (c *compiler) checkClients(key string, class *Class) {
	known := class.Clients == "" || class.Clients == ClientsRetryRejected || class.Clients == ClientsRetryFailed
	c.require(known, key, "%q is neither %s nor %s", class.Clients, ClientsRetryRejected, ClientsRetryFailed)
	if class.Clients != ClientsRetryFailed {
		return
	}
	c.require(class.Idempotency != balancer.NotIdempotent, key,
		"rule unsafe: a failed request may have run, and the client's retry would run it a second time")
	c.require(class.Idempotency != balancer.IdempotentWithKey || class.Group == balancer.GroupAll, key,
		"rule group: only some servers drop repeats of this class, but a client's retry may reach any server")
}

// checkTiming checks the settings that classes and routes have in common, independently of each other.
func (c *compiler) checkTiming(prefix string, timing *Timing) {
	c.require(timing.AttemptTimeout >= 0, prefix+"try_for", "%v is negative", timing.AttemptTimeout)
	c.require(timing.HedgeDelay >= 0, prefix+"copy_after", "%v is negative", timing.HedgeDelay)
	attempts, maxAttempts := timing.MaxAttempts, c.Limits.MaxAttempts
	c.require(attempts >= 0 && attempts <= maxAttempts, prefix+"attempts",
		"rule attempts: %d is not in 1 to %d (limits.attempts)", attempts, maxAttempts)
	if ratio := timing.RetryRatio; ratio != nil {
		c.require(*ratio >= 0 && *ratio <= 1, prefix+"retry_share",
			"%v is not in 0 to 1: a request earns at most one retry", *ratio)
	}
	if burst := timing.RetryBurst; burst != nil {
		c.require(*burst >= 0 && *burst <= maxRetryBurst, prefix+"retry_burst",
			"%v is not in 0 to %v", *burst, maxRetryBurst)
	}
	hedges := timing.Hedging != nil && *timing.Hedging
	c.require(!hedges || c.Limits.Hedging, prefix+"second_copies",
		"second copies are enabled, but limits.second_copies permits none")
}

// checkEffective checks the settings of a class or route against the rules of the class.
func (c *compiler) checkEffective(prefix string, settings Effective) {
	if settings.Deadline <= 0 {
		return // reported by another check
	}
	class, maxDeadline := settings.Class, c.Limits.MaxDeadline
	c.require(settings.Deadline <= maxDeadline, prefix+"deadline",
		"%v is over %v, the maximum deadline of a request", settings.Deadline, maxDeadline)
	c.require(settings.AttemptTimeout <= settings.Deadline, prefix+"try_for",
		"%v is over the deadline of %v", settings.AttemptTimeout, settings.Deadline)
	c.require(settings.HedgeDelay == 0 || class.Idempotency != balancer.NotIdempotent, prefix+"copy_after",
		"rule unsafe: a request of this class must not be sent twice")
	if class.deduplicates() {
		c.checkSchedule(prefix, settings)
	}
	c.checkDrain(prefix+"deadline", settings)
	c.warnOfAttemptTimeout(prefix+"try_for", settings)
	c.warnOfHedgeDelay(prefix+"copy_after", settings)
}

// checkDrain checks that an attempt that is sent during a drain ends before the endpoint stops.
func (c *compiler) checkDrain(key string, settings Effective) {
	limits := &c.Limits
	if limits.DrainTimeout <= 0 {
		return
	}
	longest := settings.longestAttempt()
	c.require(longest+limits.DrainGrace+limits.TimerSlack <= limits.DrainTimeout, key,
		"rule drain: an attempt may take %v and be sent up to %v after a drain starts, but servers stop %v after its start",
		longest, limits.DrainGrace, limits.DrainTimeout)
}

// checkSchedule checks that each scheduled repeat reaches an endpoint within the deduplication window.
func (c *compiler) checkSchedule(prefix string, settings Effective) {
	limits, window := &c.Limits, settings.Class.DedupWindow
	for _, repeat := range limits.Schedule(settings) {
		latest := time.Duration(math.Ceil(float64(repeat.At) * (1 + limits.ClockError)))
		c.require(latest < window, prefix+repeat.Key,
			"rule window: %s may reach a server %v after the first attempt, but servers drop repeats of a key only for %v"+
				" (connection %v, timers %v late, clocks %v apart)",
			repeat.Description, latest, window, limits.DialTimeout, limits.TimerSlack, limits.ClockError)
	}
}

func (c *compiler) warnOfAttemptTimeout(key string, settings Effective) {
	timeout := settings.AttemptTimeout
	if timeout <= 0 {
		return
	}
	if typicalWork := settings.Class.TypicalWork; timeout < typicalWork {
		c.warn(key, "%v is less than the usual service time of the class, %v: most attempts would time out",
			timeout, typicalWork)
	}
	if dialTimeout := c.Limits.DialTimeout; timeout <= dialTimeout {
		c.warn(key, "%v is not over limits.dial_timeout, %v: an attempt may time out while it connects",
			timeout, dialTimeout)
	}
	lastStart := time.Duration(settings.MaxAttempts-1) * timeout
	if settings.MaxAttempts > 1 && lastStart >= settings.Deadline {
		c.warn(key, "attempt %d would begin after %v, but the deadline is %v",
			settings.MaxAttempts, lastStart, settings.Deadline)
	}
}

func (c *compiler) warnOfHedgeDelay(key string, settings Effective) {
	delay, timeout := settings.HedgeDelay, settings.AttemptTimeout
	if timeout > 0 && delay >= timeout {
		c.warn(key, "%v is not under try_for, %v: no second copy is ever sent", delay, timeout)
	}
	if delay > 0 && !settings.Hedging {
		c.warn(key, "second copies are disabled: none is sent")
	}
	if delay > 0 && settings.MaxAttempts == 1 {
		c.warn(key, "only one attempt is permitted: no second copy is ever sent")
	}
}
