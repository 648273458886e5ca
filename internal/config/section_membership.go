package config

import (
	"os"
	"path"
	"strings"
	"time"

	"pinedale/internal/membership/reconcile"
)

const (
	// minSessionTimeout is the shortest ZooKeeper session: under it a pause of the garbage collector or of the
	// machine would end the session.
	minSessionTimeout = time.Second
	maxSessionTimeout = 10 * time.Minute
)

// Discovery is the section of the discovery service.
type Discovery struct {
	Address      string   `toml:"address"`    // host:port, "" for none
	PollInterval Duration `toml:"ask_within"` // within which a lost watch must begin again
}

// Ephemeral is the section of ephemeral nodes, by which servers register in ZooKeeper.
type Ephemeral struct {
	Servers        []string `toml:"servers"` // host:port of the ZooKeeper servers, empty for none
	Path           string   `toml:"path"`    // of the nodes' parent
	SessionTimeout Duration `toml:"session"`
	DigestFile     string   `toml:"digest_file"` // holds user:password for digest authentication
}

// Membership is the section on how several sources of membership are combined.
type Membership struct {
	MaxShrinkRatio  float64  `toml:"shrink_most"` // servers that may be missing when a source has reconnected
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
	f := c.file
	ephemeral, listed, discovered := len(f.Ephemeral.Servers) > 0, len(f.Servers) > 0, f.Discovery.Address != ""
	c.Require(ephemeral || !listed || !discovered, "discovery.address",
		"servers are named in the file, too: one of the two decides, unless ephemeral.servers is set")
	c.Require(ephemeral || listed || discovered, "server",
		"no server is named, and neither discovery.address nor ephemeral.servers")
	c.checkEphemeral()
	c.checkReconciliation()
	c.Require(len(f.Servers) <= maxServers, "server", "%d servers, at most %d", len(f.Servers), maxServers)
	if discovered {
		c.requireAddress("discovery.address", f.Discovery.Address)
		c.Positive("discovery.ask_within", f.Discovery.PollInterval)
	}
	c.checkServers()
}

// checkEphemeral checks the [ephemeral] section and reads its digest file.
func (c *checker) checkEphemeral() {
	e := &c.file.Ephemeral
	for _, address := range e.Servers {
		c.requireAddress("ephemeral.servers", address)
	}
	if len(e.Servers) > 0 {
		c.Require(strings.HasPrefix(e.Path, "/") && e.Path != "/" && path.Clean(e.Path) == e.Path, "ephemeral.path",
			"%q is not the path of a directory, such as /soko", e.Path)
		timeout := time.Duration(e.SessionTimeout)
		c.Require(timeout >= minSessionTimeout && timeout <= maxSessionTimeout, "ephemeral.session",
			"%v is not in 1s to 10m", timeout)
	}
	if e.DigestFile == "" {
		return
	}
	text, err := os.ReadFile(e.DigestFile)
	c.file.digest = strings.TrimSpace(string(text))
	c.Require(err == nil, "ephemeral.digest_file", "%v", err)
	c.Require(err != nil || strings.Contains(c.file.digest, ":"), "ephemeral.digest_file",
		"the file does not hold user:password")
}

// checkReconciliation checks the [membership] section.
func (c *checker) checkReconciliation() {
	m := &c.file.Membership
	c.Require(m.MaxShrinkRatio > 0 && m.MaxShrinkRatio <= 1, "membership.shrink_most",
		"%v is not over 0 and up to 1", m.MaxShrinkRatio)
	c.Positive("membership.hold", m.HoldTime)
	c.Positive("membership.lag", m.MaxDiscoveryLag)
}
