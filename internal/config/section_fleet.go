package config

import (
	"slices"
	"time"

	"pinedale/balancer"
)

const (
	// maxNames bounds sites and kinds: the balancer numbers them in one byte.
	maxNames = 255
	// maxSubsetSpread bounds fleet.subset_spread.
	maxSubsetSpread = 1000
	// minSubsetPerSite is the smallest subset for each site. A request with an idempotency key may be retried
	// within its site or cell only, so two servers of each must be in the subset.
	minSubsetPerSite = 4
)

// loadFields are the values of fleet.reports.
var loadFields = map[string]balancer.Field{
	"inflight":   balancer.FieldInFlight,
	"queue":      balancer.FieldQueue,
	"util":       balancer.FieldUtilization,
	"latency_ms": balancer.FieldLatency,
	"qps":        balancer.FieldServed,
	"eps":        balancer.FieldErrors,
}

// Fleet is the section of settings that all servers share. DrainGrace and DrainTime are part of the file's version.
type Fleet struct {
	Sites            []string `toml:"sites"`
	Kinds            []string `toml:"kinds"`     // kinds of servers, by their hardware
	Instances        int      `toml:"instances"` // number of pinedale instances in front of this fleet
	LoadFields       []string `toml:"reports"`   // fields of the servers' load reports
	DrainGrace       Duration `toml:"drain_grace"`
	DrainTime        Duration `toml:"drain_for"`     // time until a draining server stops, 0 if not known
	SlowStartRatio   float64  `toml:"cold_from"`     // fraction of its capacity that a started server has at first
	SlowStartTime    Duration `toml:"warm_within"`   // time until a started server has its full capacity
	OverloadMultiple float64  `toml:"fall_factor"`   // load that makes a server fail, as a multiple of its capacity
	OverloadTime     Duration `toml:"fall_after"`    // how long that load must last until the server fails
	MinSubset        int      `toml:"subset"`        // min servers that this instance uses, 0 for the whole fleet
	SubsetSpread     float64  `toml:"subset_spread"` // additional servers for each request in flight
}

func defaultFleet() Fleet {
	return Fleet{
		Instances:        1,
		DrainGrace:       Duration(2 * time.Second),
		SlowStartRatio:   0.31,
		SlowStartTime:    Duration(8600 * time.Millisecond),
		OverloadMultiple: 2.5,
		OverloadTime:     Duration(time.Second),
		SubsetSpread:     2,
	}
}

// checkFleet checks the [fleet] section.
func (c *checker) checkFleet() {
	fleet := &c.file.Fleet
	c.Require(fleet.Instances >= 1, "fleet.instances", "%d is not positive", fleet.Instances)
	c.checkNames("fleet.sites", fleet.Sites)
	c.checkNames("fleet.kinds", fleet.Kinds)
	c.Require(len(fleet.Sites) > 0, "fleet.sites", "no site is named")
	c.Require(slices.Contains(fleet.Sites, c.file.Site), "site", "%q is not in fleet.sites", c.file.Site)
	for _, field := range fleet.LoadFields {
		_, ok := loadFields[field]
		c.Require(ok, "fleet.reports", "%q is not one of %s", field, knownNames(loadFields))
	}
	c.Require(fleet.DrainGrace >= 0, "fleet.drain_grace", "%v is negative", time.Duration(fleet.DrainGrace))
	c.Require(fleet.SlowStartRatio > 0 && fleet.SlowStartRatio <= 1, "fleet.cold_from",
		"%v is not over 0 and up to 1", fleet.SlowStartRatio)
	c.Require(fleet.SlowStartTime >= 0, "fleet.warm_within", "%v is negative", time.Duration(fleet.SlowStartTime))
	c.checkSubset()
	c.Require(fleet.OverloadMultiple > 0, "fleet.fall_factor", "%v is not positive", fleet.OverloadMultiple)
	c.Require(fleet.OverloadTime >= 0, "fleet.fall_after", "%v is negative", time.Duration(fleet.OverloadTime))
}

// checkNames checks the number and the uniqueness of names.
func (c *checker) checkNames(key string, names []string) {
	c.Require(len(names) <= maxNames, key, "%d names, but at most %d are allowed", len(names), maxNames)
	for i, name := range names {
		c.Require(name != "", key, "name %d is empty", i+1)
		c.Require(!slices.Contains(names[:i], name), key, "%q is listed twice", name)
	}
}

// checkSubset checks fleet.subset and fleet.subset_spread.
func (c *checker) checkSubset() {
	fleet := &c.file.Fleet
	minimum := minSubsetPerSite * max(1, len(fleet.Sites))
	c.Require(fleet.MinSubset == 0 || fleet.MinSubset >= minimum && fleet.MinSubset <= maxServers, "fleet.subset",
		"%d is neither 0 (the whole fleet) nor in the range %d to %d", fleet.MinSubset, minimum, maxServers)
	c.Require(fleet.SubsetSpread >= 0 && fleet.SubsetSpread <= maxSubsetSpread, "fleet.subset_spread",
		"%v is not in the range 0 to %d", fleet.SubsetSpread, maxSubsetSpread)
	c.Require(fleet.MinSubset == 0 || c.file.Name != "", "name",
		"is missing: an instance chooses its subset of the fleet by its name")
}
