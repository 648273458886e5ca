package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of what a table holds. Numbers of earlier tables count, since requests in flight may still use them.
const (
	maxClasses       = 256     // the module numbers them in one byte
	maxPools         = 64      // bits of a word
	maxBudgets       = 1 << 15 // of classes and routes
	maxRoutes        = 10_000
	maxTenants       = 1000
	maxTenantNumbers = 10 * maxTenants
	maxBrownOut      = 9
	maxRetryBurst    = 1000.0
	maxTenantWeight  = 1e6
)

// Fault is an error or a warning about one key of the configuration.
type Fault struct {
	Key     string // such as "class[1].copy_after"
	Reason  string
	Warning bool // legal, but unwise
}

// compiler collects the faults of a configuration.
type compiler struct {
	*Config
	faults []Fault
}

// fault notes an error.
func (c *compiler) fault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// warn notes a warning.
func (c *compiler) warn(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...), Warning: true})
}

// require notes an error unless ok, which it returns.
func (c *compiler) require(ok bool, key, format string, args ...any) bool {
	if !ok {
		c.fault(key, format, args...)
	}
	return ok
}

// Compile checks a configuration and returns its table, or nil if there is any fault that is not a warning. previous
// is the table in use, nil for none: classes, budgets, tenants and pools that requests in flight may refer to keep
// their numbers.
func Compile(config *Config, previous *Table) (*Table, []Fault) {
	c := &compiler{Config: config}
	c.checkLimits()
	classes := c.checkClasses()
	pools := c.checkPools()
	c.checkTenants()
	c.checkRoutes(classes, pools)
	t := newTable(c, previous)
	c.checkOverlaps(t)
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return strings.Compare(a.Key, b.Key) })
	if slices.ContainsFunc(c.faults, func(f Fault) bool { return !f.Warning }) {
		return nil, c.faults
	}
	return t, c.faults
}

func (c *compiler) checkLimits() {
	l := &c.Limits
	c.require(l.TimerSlack >= 0, "limits.timer_slack", "%v is negative", l.TimerSlack)
	c.require(l.ClockError >= 0 && l.ClockError < 1, "limits.clock_error", "%v is not in 0 to 1", l.ClockError)
	c.require(l.DrainTimeout >= 0, "fleet.drain_for", "%v is negative", l.DrainTimeout)
}

// checkPools returns the names of the pools.
func (c *compiler) checkPools() map[string]bool {
	names := map[string]bool{}
	c.require(len(c.Pools) <= maxPools, "pool", "%d pools, at most %d", len(c.Pools), maxPools)
	for i, p := range c.Pools {
		prefix := fmt.Sprintf("pool[%d].", i)
		c.require(p.Name != "" && !names[p.Name], prefix+"name", "%q is missing or there twice", p.Name)
		names[p.Name] = true
	}
	return names
}

func (c *compiler) checkTenants() {
	c.require(len(c.Tenants) <= maxTenants, "tenant", "%d tenants, at most %d", len(c.Tenants), maxTenants)
	names := map[string]bool{}
	for i, t := range c.Tenants {
		prefix := fmt.Sprintf("tenant[%d].", i)
		c.require(t.Name != "" && !names[t.Name], prefix+"name", "%q is missing or there twice", t.Name)
		names[t.Name] = true
		c.require(t.Weight > 0 && t.Weight <= maxTenantWeight, prefix+"weight", "%v is not over 0 and up to 1e6", t.Weight)
		c.require(t.Open >= 0, prefix+"open", "%d is negative", t.Open)
	}
}
