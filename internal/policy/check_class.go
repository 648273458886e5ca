package policy

import (
	"fmt"
	"math"
	"time"

	"pinedale/balancer"
)

// minModuleWindow is the least deduplication window that the module can make use of.
const minModuleWindow = time.Millisecond

// checkClasses checks each class and returns them by name. Their names, idempotency and windows have been checked by
// themselves before, where the file is read.
func (c *compiler) checkClasses() map[string]*Class {
	classes := map[string]*Class{}
	for i := range c.Classes {
		class := &c.Classes[i]
		classes[class.Name] = class
		c.checkClass(fmt.Sprintf("class[%d].", i), class)
	}
	return classes
}

// checkClass checks one class. prefix is that of its keys.
func (c *compiler) checkClass(prefix string, class *Class) {
	c.checkTiming(prefix, &class.Timing)
	c.checkHedgeQuantile(prefix+"copy_at", class)
	c.require(class.TypicalWork >= 0, prefix+"usual", "%v is negative", class.TypicalWork)
	c.require(class.MaxInFlight >= 0, prefix+"open", "%d is negative", class.MaxInFlight)
	c.require(class.BrownoutLevel >= 0 && class.BrownoutLevel <= maxBrownOut,
		prefix+"brown_out", "%d is not in 0 to %d", class.BrownoutLevel, maxBrownOut)
	c.checkClients(prefix+"clients", class)
	if class.deduplicates() {
		l := &c.Limits
		c.require(l.moduleWindow(class.DedupWindow) >= minModuleWindow, prefix+"window",
			"rule window: of %v nothing is left for a repeat, after a connection of %v, timers %v late and clocks %v apart",
			class.DedupWindow, l.DialTimeout, l.TimerSlack, l.ClockError)
	}
	c.checkEffective(prefix, c.Effective(class, nil))
}

// deduplicates reports whether endpoints drop repeats of the class for a time.
func (k *Class) deduplicates() bool {
	return k.Idempotency == balancer.IdempotentWithKey && k.DedupWindow > 0
}

func (c *compiler) checkHedgeQuantile(key string, class *Class) {
	quantile := class.HedgeQuantile
	c.require(quantile >= 0 && quantile < 1, key, "%v is not a quantile, 0 to 1", quantile)
	c.require(quantile == 0 || class.HedgeDelay == 0, key, "copy_after is set, too: one of the two says when")
	c.require(quantile == 0 || class.Idempotency != balancer.NotIdempotent, key,
		"rule unsafe: a request of this class is never sent twice")
}

func (c *compiler) checkClients(key string, class *Class) {
	known := class.Clients == "" || class.Clients == ClientsRetryRejected || class.Clients == ClientsRetryFailed
	c.require(known, key, "%q is neither %s nor %s", class.Clients, ClientsRetryRejected, ClientsRetryFailed)
	if class.Clients != ClientsRetryFailed {
		return
	}
	c.require(class.Idempotency != balancer.NotIdempotent, key,
		"rule unsafe: what failed may have run, and a client that sends it again has it done twice")
	c.require(class.Idempotency != balancer.IdempotentWithKey || class.Group == balancer.GroupAll, key,
		"rule group: only some servers drop the repeats of this class, and a client's retry may go to any")
}

// checkTiming checks the settings that classes and routes share, each by itself.
func (c *compiler) checkTiming(prefix string, t *Timing) {
	c.require(t.AttemptTimeout >= 0, prefix+"try_for", "%v is negative", t.AttemptTimeout)
	c.require(t.HedgeDelay >= 0, prefix+"copy_after", "%v is negative", t.HedgeDelay)
	c.require(t.MaxAttempts >= 0 && t.MaxAttempts <= c.Limits.MaxAttempts, prefix+"attempts",
		"rule attempts: %d is not in 1 to the %d of limits.attempts", t.MaxAttempts, c.Limits.MaxAttempts)
	if t.RetryRatio != nil {
		c.require(*t.RetryRatio >= 0 && *t.RetryRatio <= 1, prefix+"retry_share",
			"%v is not in 0 to 1: no request earns more than one retry", *t.RetryRatio)
	}
	if t.RetryBurst != nil {
		c.require(*t.RetryBurst >= 0 && *t.RetryBurst <= maxRetryBurst, prefix+"retry_burst",
			"%v is not in 0 to %v", *t.RetryBurst, maxRetryBurst)
	}
	c.require(t.Hedging == nil || !*t.Hedging || c.Limits.Hedging, prefix+"second_copies",
		"limits.second_copies permits none")
}

// checkEffective checks what applies to a class or route against the rules of its class.
func (c *compiler) checkEffective(prefix string, e Effective) {
	if e.Deadline <= 0 {
		return // a fault of its own
	}
	l, class := &c.Limits, e.Class
	c.require(e.Deadline <= l.MaxDeadline, prefix+"deadline",
		"%v is over %v, the most that a request gets", e.Deadline, l.MaxDeadline)
	c.require(e.AttemptTimeout <= e.Deadline, prefix+"try_for",
		"%v is over the deadline of %v", e.AttemptTimeout, e.Deadline)
	c.require(e.HedgeDelay == 0 || class.Idempotency != balancer.NotIdempotent, prefix+"copy_after",
		"rule unsafe: a request of this class is never sent twice")
	if class.deduplicates() {
		c.checkSchedule(prefix, e)
	}
	if l.DrainTimeout > 0 {
		longest := e.Deadline
		if e.AttemptTimeout > 0 {
			longest = e.AttemptTimeout
		}
		c.require(longest+l.DrainGrace+l.TimerSlack <= l.DrainTimeout, prefix+"deadline",
			"rule drain: an attempt may take %v and be sent %v after a drain is told, and servers end after %v",
			longest, l.DrainGrace, l.DrainTimeout)
	}
	c.warnOfAttemptTimeout(prefix, e)
	c.warnOfHedgeDelay(prefix+"copy_after", e)
}

// checkSchedule checks that each scheduled repeat reaches an endpoint that still remembers the first attempt.
func (c *compiler) checkSchedule(prefix string, e Effective) {
	l := &c.Limits
	for _, repeat := range l.Schedule(e) {
		worst := time.Duration(math.Ceil(float64(repeat.At) * (1 + l.ClockError)))
		c.require(worst < e.Class.DedupWindow, prefix+repeat.Key,
			"rule window: %s may reach a server %v after the first, which remembers its key for %v"+
				" (connection %v, timers %v late, clocks %v apart)",
			repeat.Description, worst, e.Class.DedupWindow, l.DialTimeout, l.TimerSlack, l.ClockError)
	}
}

func (c *compiler) warnOfAttemptTimeout(prefix string, e Effective) {
	if e.AttemptTimeout <= 0 {
		return
	}
	l, class, key := &c.Limits, e.Class, prefix+"try_for"
	if e.AttemptTimeout < class.TypicalWork {
		c.warn(key, "%v is under the usual work of its class, %v: most attempts would be given up",
			e.AttemptTimeout, class.TypicalWork)
	}
	if e.AttemptTimeout <= l.DialTimeout {
		c.warn(key, "%v is not over limits.dial_timeout, %v: a slow connection ends the attempt",
			e.AttemptTimeout, l.DialTimeout)
	}
	lastBegin := time.Duration(e.MaxAttempts-1) * e.AttemptTimeout
	if e.MaxAttempts > 1 && lastBegin >= e.Deadline {
		c.warn(key, "attempt %d would begin after %v, the deadline is %v", e.MaxAttempts, lastBegin, e.Deadline)
	}
}

func (c *compiler) warnOfHedgeDelay(key string, e Effective) {
	if e.AttemptTimeout > 0 && e.HedgeDelay >= e.AttemptTimeout {
		c.warn(key, "%v is not under try_for, %v: no second copy is ever sent", e.HedgeDelay, e.AttemptTimeout)
	}
	if e.HedgeDelay > 0 && !e.Hedging {
		c.warn(key, "second copies are off: none is sent")
	}
	if e.HedgeDelay > 0 && e.MaxAttempts == 1 {
		c.warn(key, "one attempt is permitted: no second copy is ever sent")
	}
}
