package config

import (
	"fmt"
	"strings"
	"time"

	"pinedale/internal/upstream/secure"
)

const (
	// maxSessions bounds upstream.sessions.
	maxSessions = 1_000_000
	// maxHandshakeRate bounds the rates and the burst of handshakes.
	maxHandshakeRate = 1e6
	// namePlaceholder stands for a server's name in upstream.verify.
	namePlaceholder = "{name}"
)

// Upstream is the section on connections to servers.
type Upstream struct {
	HTTP3               bool     `toml:"http3"`           // use HTTP/3 with servers that support it
	Keys                string   `toml:"keys"`            // name of the [[keys]] for TLS, "" for plain text
	VerifyPattern       string   `toml:"verify"`          // name of a server's certificate, with {name}
	HandshakesPerServer float64  `toml:"handshakes"`      // per second with one server, by all instances
	HandshakesTotal     float64  `toml:"handshakes_all"`  // per second, by this instance
	HandshakeBurst      float64  `toml:"handshake_burst"` // with one server, by all instances
	HandshakeTimeout    Duration `toml:"handshake_timeout"`
	MaxSessions         int      `toml:"sessions"` // max TLS sessions kept for resumption
}

func defaultUpstream() Upstream {
	return Upstream{
		HandshakesPerServer: 200,
		HandshakesTotal:     500,
		HandshakeBurst:      20,
		HandshakeTimeout:    Duration(500 * time.Millisecond),
		MaxSessions:         4096,
	}
}

// checkUpstream checks the [upstream] section and server.verify.
func (c *checker) checkUpstream() {
	upstream := &c.file.Upstream
	if upstream.Keys == "" {
		c.checkPlainUpstream()
		return
	}
	c.checkVerifyNames()
	c.Require(upstream.MaxSessions >= 1 && upstream.MaxSessions <= maxSessions, "upstream.sessions",
		"%d is not in the range 1 to %d", upstream.MaxSessions, maxSessions)
	c.requireHandshakeRate("upstream.handshakes", upstream.HandshakesPerServer)
	c.requireHandshakeRate("upstream.handshakes_all", upstream.HandshakesTotal)
	c.requireHandshakeRate("upstream.handshake_burst", upstream.HandshakeBurst)
	c.Positive("upstream.handshake_timeout", upstream.HandshakeTimeout)
}

// checkPlainUpstream checks, for connections in plain text, that no setting requires TLS.
func (c *checker) checkPlainUpstream() {
	const reason = "has no effect without upstream.keys: connections to servers are plain text"
	upstream := &c.file.Upstream
	c.Require(!upstream.HTTP3, "upstream.http3", "HTTP/3 is always encrypted: set upstream.keys")
	c.Require(upstream.VerifyPattern == "", "upstream.verify", reason)
	for i, server := range c.file.Servers {
		c.Require(server.VerifyName == "", fmt.Sprintf("server[%d].verify", i), reason)
	}
}

// checkVerifyNames checks that a name for verification is known for each server.
func (c *checker) checkVerifyNames() {
	file, pattern := c.file, c.file.Upstream.VerifyPattern
	if pattern != "" {
		err := secure.CheckName(pattern)
		c.Require(err == nil, "upstream.verify", "%v", err)
		if err == nil && !strings.Contains(pattern, namePlaceholder) {
			c.Warn("upstream.verify", "has no {name}: the certificate of one server is accepted for every other")
		}
	}
	onlyListed := file.Discovery.Address == "" && len(file.Ephemeral.Servers) == 0
	c.Require(pattern != "" || onlyListed, "upstream.verify",
		"is missing: servers from discovery or ephemeral nodes need a name pattern, such as {name}.example.org")
	names := file.VerifyNames()
	for i, server := range file.Servers {
		key := fmt.Sprintf("server[%d].verify", i)
		if server.VerifyName != "" {
			err := secure.CheckName(server.VerifyName)
			c.Require(err == nil && !strings.Contains(server.VerifyName, namePlaceholder), key,
				"%q is no host name, address or SPIFFE ID", server.VerifyName)
			continue
		}
		if _, err := names.CertificateName(server.Name); err != nil {
			c.Require(false, key, "is missing: %v", err)
		}
	}
}

// requireHandshakeRate records an error unless a rate is in bounds.
func (c *checker) requireHandshakeRate(key string, rate float64) {
	c.Require(rate >= 1 && rate <= maxHandshakeRate, key, "%v is not in the range 1 to 1e6", rate)
}
