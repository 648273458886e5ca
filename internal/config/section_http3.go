package config

// maxHTTP3Streams bounds http3.streams.
const maxHTTP3Streams = 1 << 16

// HTTP3 is the section of the HTTP/3 front.
type HTTP3 struct {
	Listen         string `toml:"listen"` // UDP host:port, "" to switch it off
	Keys           string `toml:"keys"`   // name of the [[keys]] for TLS
	MaxConnections int    `toml:"connections"`
	MaxStreams     int    `toml:"streams"` // max streams open at once on one connection
	EarlyData      bool   `toml:"early"`   // accept 0-RTT requests of idempotent classes
}

func defaultHTTP3() HTTP3 { return HTTP3{MaxConnections: 1024, MaxStreams: 100} }

// checkHTTP3 checks the [http3] section.
func (c *checker) checkHTTP3() {
	http3 := &c.file.HTTP3
	c.Require(http3.MaxConnections >= 1, "http3.connections", "%d is not positive", http3.MaxConnections)
	c.Require(http3.MaxStreams >= 1 && http3.MaxStreams <= maxHTTP3Streams, "http3.streams",
		"%d is not in the range 1 to %d", http3.MaxStreams, maxHTTP3Streams)
	if http3.Listen != "" {
		c.requireAddress("http3.listen", http3.Listen)
		c.Require(http3.Keys != "", "http3.keys", "is missing: HTTP/3 needs a certificate")
	}
}
