package config

// maxHTTP3Streams bounds http3.streams.
const maxHTTP3Streams = 1 << 16

// HTTP3 is the section of the HTTP/3 front.
type HTTP3 struct {
	Listen         string `toml:"listen"` // UDP host:port, "" to switch it off
	Keys           string `toml:"keys"`   // name of the [[keys]] for TLS
	MaxConnections int    `toml:"connections"`
	MaxStreams     int    `toml:"streams"` // open at once on one connection
	EarlyData      bool   `toml:"early"`   // accept 0-RTT requests of idempotent classes
}

func defaultHTTP3() HTTP3 { return HTTP3{MaxConnections: 1024, MaxStreams: 100} }

// checkHTTP3 checks the [http3] section.
func (c *checker) checkHTTP3() {
	h := &c.file.HTTP3
	c.Require(h.MaxConnections >= 1, "http3.connections", "%d is not positive", h.MaxConnections)
	c.Require(h.MaxStreams >= 1 && h.MaxStreams <= maxHTTP3Streams, "http3.streams",
		"%d is not in 1 to %d", h.MaxStreams, maxHTTP3Streams)
	if h.Listen != "" {
		c.requireAddress("http3.listen", h.Listen)
		c.Require(h.Keys != "", "http3.keys", "is missing: HTTP/3 needs a certificate")
	}
}
