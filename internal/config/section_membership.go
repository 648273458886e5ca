package config

import (
	"os"
	"path"
	"strings"
	"time"

	"pinedale/internal/membership/reconcile"
)

const (
	// minSessionTimeout is the shortest ZooKeeper session: a pause of the garbage collector or of the machine would
	// end a shorter one.
	minSessionTimeout = time.Second
	maxSessionTimeout = 10 * time.Minute
)

// Discovery is the section of the discovery service.
type Discovery struct {
	Address      string   `toml:"address"`    // host:port, "" for none
	PollInterval Duration `toml:"ask_within"` // max time until a lost watch is renewed
}

// Ephemeral is the section of ephemeral nodes, by which servers register in ZooKeeper.
type Ephemeral struct {
	Servers        []string `toml:"servers"` // host:port of the ZooKeeper servers, empty for none
	Path           string   `toml:"path"`    // parent of the nodes
	SessionTimeout Duration `toml:"session"`
	DigestFile     string   `toml:"digest_file"` // holds user:password for digest authentication
}

// Membership is the section on how several sources of membership are combined.
type Membership struct {
	MaxShrinkRatio  float64  `toml:"shrink_most"` // max fraction of servers missing after a source recovers
	HoldTime        Duration `toml:"hold"`
	MaxDiscoveryLag Duration `toml:"lag"`
}

func defaultDiscovery() Discovery { return Discovery{PollInterval: Duration(10 * time.Second)} }

func defaultEphemeral() Ephemeral { return Ephemeral{SessionTimeout: Duration(15 * time.Second)} }

func defaultMembership() Membership {
	return Membership{
		MaxShrinkRatio:  reconcile.DefaultConfig.MaxShrinkRatio,
		HoldTime:        Duration(reconcile.DefaultConfig.HoldTime),
		MaxDiscoveryLag: Duration(reconcile.DefaultConfig.MaxDiscoveryLag),
	}
}

// checkMembership checks the sources of membership: [discovery], [ephemeral], [membership] and [[server]].
func (c *checker) checkMembership() {
	file := c.file
	ephemeral := len(file.Ephemeral.Servers) > 0
	listed := len(file.Servers) > 0
	discovered := file.Discovery.Address != ""
	c.Require(ephemeral || !listed || !discovered, "discovery.address",
		"the file lists servers as well: only one of the two may be used unless ephemeral.servers is set")
	c.Require(ephemeral || listed || discovered, "server",
		"no source of servers: set [[server]] entries, discovery.address or ephemeral.servers")
	c.checkEphemeral()
	c.checkReconciliation()
	c.Require(len(file.Servers) <= maxServers, "server",
		"%d servers, but at most %d are allowed", len(file.Servers), maxServers)
	if discovered {
		c.requireAddress("discovery.address", file.Discovery.Address)
		c.Positive("discovery.ask_within", file.Discovery.PollInterval)
	}
	c.checkServers()
}

// checkEphemeral checks the [ephemeral] section and reads its digest file.
func (c *checker) checkEphemeral() {
	ephemeral := &c.file.Ephemeral
	for _, address := range ephemeral.Servers {
		c.requireAddress("ephemeral.servers", address)
	}
	if len(ephemeral.Servers) > 0 {
		parent := ephemeral.Path
		c.Require(strings.HasPrefix(parent, "/") && parent != "/" && path.Clean(parent) == parent, "ephemeral.path",
			"%q is not the absolute path of a node, such as /soko", parent)
		timeout := time.Duration(ephemeral.SessionTimeout)
		c.Require(timeout >= minSessionTimeout && timeout <= maxSessionTimeout, "ephemeral.session",
			"%v is not in the range 1s to 10m", timeout)
	}
	if ephemeral.DigestFile == "" {
		return
	}
	text, err := os.ReadFile(ephemeral.DigestFile)
	c.file.digest = strings.TrimSpace(string(text))
	c.Require(err == nil, "ephemeral.digest_file", "%v", err)
	c.Require(err != nil || strings.Contains(c.file.digest, ":"), "ephemeral.digest_file",
		"the file does not contain user:password")
}

// checkReconciliation checks the [membership] section.
func (c *checker) checkReconciliation() {
	membership := &c.file.Membership
	c.Require(membership.MaxShrinkRatio > 0 && membership.MaxShrinkRatio <= 1, "membership.shrink_most",
		"%v is not over 0 and up to 1", membership.MaxShrinkRatio)
	c.Positive("membership.hold", membership.HoldTime)
	c.Positive("membership.lag", membership.MaxDiscoveryLag)
}
