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
	// defaultWeight is the weight of a server or a class that sets none.
	defaultWeight = 1
	// maxServerWeight bounds server.share.
	maxServerWeight = 1e6
)

// Server is a [[server]] entry, a server that the file itself lists.
type Server struct {
	Name       string   `toml:"name"`
	Address    string   `toml:"address"` // host:port
	Site       string   `toml:"site"`
	Kind       string   `toml:"kind"`
	Cell       int      `toml:"pod"`    // failure domain within which idempotency keys are shared
	Weight     *float64 `toml:"share"`  // 1 if not set
	VerifyName string   `toml:"verify"` // name that its certificate must be valid for, "" to use upstream.verify
}

// checkServers checks the [[server]] entries. checkUpstream checks their names for verification.
func (c *checker) checkServers() {
	fleet := &c.file.Fleet
	names, addresses := map[string]bool{}, map[string]bool{}
	for i := range c.file.Servers {
		server := &c.file.Servers[i]
		prefix := fmt.Sprintf("server[%d].", i)
		c.Require(server.Name != "", prefix+"name", "is missing")
		c.Require(!names[server.Name], prefix+"name", "%q is used twice", server.Name)
		c.requireAddress(prefix+"address", server.Address)
		c.Require(!addresses[server.Address], prefix+"address", "%q is used twice", server.Address)
		names[server.Name], addresses[server.Address] = true, true
		c.Require(slices.Contains(fleet.Sites, server.Site), prefix+"site", "%q is not in fleet.sites", server.Site)
		c.Require(server.Kind == "" || slices.Contains(fleet.Kinds, server.Kind), prefix+"kind",
			"%q is not in fleet.kinds", server.Kind)
		c.Require(server.Cell >= 0 && server.Cell < maxCells, prefix+"pod",
			"%d is not in the range 0 to %d", server.Cell, maxCells-1)
		c.Require(server.Weight == nil || *server.Weight > 0 && *server.Weight <= maxServerWeight, prefix+"share",
			"is not over 0 and up to 1e6")
	}
}
