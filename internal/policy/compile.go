package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Maximums of a table. Numbers from earlier tables count as well, because requests in flight may use them.
const (
	maxClasses       = 256     // the decision module uses numbers of one byte
	maxPools         = 64      // a set of pools is the bits of a uint64
	maxBudgets       = 1 << 15 // of classes and routes
	maxRoutes        = 10_000
	maxTenants       = 1000
	maxTenantNumbers = 10 * maxTenants
	maxBrownoutLevel = 9
	maxRetryBurst    = 1000.0
	maxTenantWeight  = 1e6
)

// Fault is an error or a warning about one key of the configuration.
type Fault struct {
	Key     string // such as "class[1].copy_after"
	Reason  string // for operators; the files of internal/config/testdata/bad contain parts of it
	Warning bool   // the value is valid, but probably a mistake
}

// compiler collects the faults of a configuration.
type compiler struct {
	*Config
	faults []Fault
}

// fault records an error.
func (c *compiler) fault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// warn records a warning.
func (c *compiler) warn(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Reason: fmt.Sprintf(format, args...), Warning: true})
}

// require records an error unless ok is set. It returns ok.
func (c *compiler) require(ok bool, key, format string, args ...any) bool {
	if !ok {
		c.fault(key, format, args...)
	}
	return ok
}

// Compile checks a configuration. It returns the table and the warnings, or a nil table if any fault is an error.
// previous is the table in use, nil for none. Classes, budgets, tenants and pools keep the numbers that they have in
// it, because requests in flight may refer to them.
func Compile(config *Config, previous *Table) (*Table, []Fault) {
	c := &compiler{Config: config}
	c.checkLimits()
	classes := c.checkClasses()
	pools := c.checkPools()
	c.checkTenants()
	c.checkRoutes(classes, pools)
	table := newTable(c, previous)
	c.checkOverlaps(table)
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return strings.Compare(a.Key, b.Key) })
	if slices.ContainsFunc(c.faults, func(f Fault) bool { return !f.Warning }) {
		return nil, c.faults
	}
	return table, c.faults
}

func (c *compiler) checkLimits() {
	slack, clockError, drainTimeout := c.Limits.TimerSlack, c.Limits.ClockError, c.Limits.DrainTimeout
	c.require(slack >= 0, "limits.timer_slack", "%v is negative", slack)
	c.require(clockError >= 0 && clockError < 1, "limits.clock_error", "%v is not in 0 to 1", clockError)
	c.require(drainTimeout >= 0, "fleet.drain_for", "%v is negative", drainTimeout)
}

// checkPools checks the pools and returns their names.
func (c *compiler) checkPools() map[string]bool {
	names := map[string]bool{}
	c.require(len(c.Pools) <= maxPools, "pool", "%d pools, at most %d", len(c.Pools), maxPools)
	for i, pool := range c.Pools {
		prefix := fmt.Sprintf("pool[%d].", i)
		c.require(pool.Name != "" && !names[pool.Name], prefix+"name", "%q is missing or used twice", pool.Name)
		names[pool.Name] = true
	}
	return names
}

func (c *compiler) checkTenants() {
	c.require(len(c.Tenants) <= maxTenants, "tenant", "%d tenants, at most %d", len(c.Tenants), maxTenants)
	names := map[string]bool{}
	for i, tenant := range c.Tenants {
		prefix := fmt.Sprintf("tenant[%d].", i)
		c.require(tenant.Name != "" && !names[tenant.Name], prefix+"name", "%q is missing or used twice", tenant.Name)
		names[tenant.Name] = true
		validWeight := tenant.Weight > 0 && tenant.Weight <= maxTenantWeight
		c.require(validWeight, prefix+"weight", "%v is not over 0 and up to 1e6", tenant.Weight)
		c.require(tenant.Open >= 0, prefix+"open", "%d is negative", tenant.Open)
	}
}
