package config

import (
	"fmt"
	"slices"
)

const (
	// maxServers bounds the [[server]] entries.
	maxServers = 10_000
	// maxCells bounds server.pod: the balancer numbers cells in two bytes.
	maxCells = 1 << 16
	// defaultWeight is the weight of a server, and of a class, that states none.
	defaultWeight = 1
	// maxServerWeight bounds server.share.
	maxServerWeight = 1e6
)

// Server is a [[server]] of a fleet that does not change.
type Server struct {
	Name       string   `toml:"name"`
	Address    string   `toml:"address"` // host:port
	Site       string   `toml:"site"`
	Kind       string   `toml:"kind"`
	Cell       int      `toml:"pod"`    // failure domain within which idempotency keys are shared
	Weight     *float64 `toml:"share"`  // 1 if not set
	VerifyName string   `toml:"verify"` // that its certificate must be valid for, "" by upstream.verify
}

// checkServers checks the [[server]] entries. checkUpstream checks their names for verification.
func (c *checker) checkServers() {
	fleet := &c.file.Fleet
	names, addresses := map[string]bool{}, map[string]bool{}
	for i := range c.file.Servers {
		s := &c.file.Servers[i]
		prefix := fmt.Sprintf("server[%d].", i)
		c.Require(s.Name != "", prefix+"name", "is missing")
		c.Require(!names[s.Name], prefix+"name", "%q is there twice", s.Name)
		c.requireAddress(prefix+"address", s.Address)
		c.Require(!addresses[s.Address], prefix+"address", "%q is there twice", s.Address)
		names[s.Name], addresses[s.Address] = true, true
		c.Require(slices.Contains(fleet.Sites, s.Site), prefix+"site", "%q is not in fleet.sites", s.Site)
		c.Require(s.Kind == "" || slices.Contains(fleet.Kinds, s.Kind), prefix+"kind",
			"%q is not in fleet.kinds", s.Kind)
		c.Require(s.Cell >= 0 && s.Cell < maxCells, prefix+"pod", "%d is not in 0 to %d", s.Cell, maxCells-1)
		c.Require(s.Weight == nil || *s.Weight > 0 && *s.Weight <= maxServerWeight, prefix+"share",
			"is not over 0 and up to 1e6")
	}
}
