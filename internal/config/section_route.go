package config

import (
	"fmt"
	"slices"

	"pinedale/internal/policy"
)

// maxAdmitRate bounds limits.admit_rate, in requests a second.
const maxAdmitRate = 1e7

// Route is a [[route]]: requests that match it get its class, pool and timing. It is part of the file's version:
// see versionText before any change.
type Route struct {
	Timing
	Name    string            `toml:"name" json:"Name"`
	Host    string            `toml:"host" json:"Host"`     // "" for any
	Path    string            `toml:"path" json:"Path"`     // the complete path, "" if Prefix is set
	Prefix  string            `toml:"prefix" json:"Prefix"` // a prefix of the path, "" if Path is set
	Method  string            `toml:"method" json:"Method"` // "" for the methods of the class
	Headers map[string]string `toml:"headers" json:"Headers"`
	Class   string            `toml:"class" json:"Class"`
	Pool    string            `toml:"pool" json:"Pool"` // "" for the whole fleet
}

// Pool is a [[pool]], a part of the fleet. It is part of the file's version: see versionText before any change.
type Pool struct {
	Name  string   `toml:"name" json:"Name"`
	Sites []string `toml:"sites" json:"Sites"` // empty for all
	Kinds []string `toml:"kinds" json:"Kinds"` // empty for all
}

// Tenant is a [[tenant]], which has a quota of the admitted rate. It is part of the file's version: see
// versionText before any change.
type Tenant struct {
	Name   string  `toml:"name" json:"Name"`
	Weight float64 `toml:"weight" json:"Weight"` // weight of its quota, relative to those of other tenants
	Open   int     `toml:"open" json:"Open"`     // max requests in flight, 0 for no limit
}

// checkPolicy checks pools and compiles classes, routes, pools and tenants into the table. The compiler reports their
// errors.
func (c *checker) checkPolicy() {
	file := c.file
	c.Require(file.Limits.AdmitRate >= 0 && file.Limits.AdmitRate <= maxAdmitRate, "limits.admit_rate",
		"%v is not in the range 0 to 1e7", file.Limits.AdmitRate)
	for i, pool := range file.Pools {
		c.checkPoolNames(i, "sites", pool.Sites, file.Fleet.Sites)
		c.checkPoolNames(i, "kinds", pool.Kinds, file.Fleet.Kinds)
	}
	table, faults := policy.Compile(file.policyConfig(), c.previous)
	for _, fault := range faults {
		if fault.Warning {
			c.Warn(fault.Key, fault.Reason)
		} else {
			c.Require(false, fault.Key, "%s", fault.Reason)
		}
	}
	file.table = table
}

// checkPoolNames checks that a pool lists only names of the fleet under a key, which is sites or kinds.
func (c *checker) checkPoolNames(pool int, key string, names, fleet []string) {
	for _, name := range names {
		c.Require(slices.Contains(fleet, name), fmt.Sprintf("pool[%d].%s", pool, key),
			"%q is not in fleet.%s", name, key)
	}
}
