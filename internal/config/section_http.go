package config

// HTTP is the section of the HTTP/1.1 front.
type HTTP struct {
	Listen string `toml:"listen"` // host:port, "" to switch it off
	Keys   string `toml:"keys"`   // name of the [[keys]] for TLS, "" for plain text
}

// checkHTTP checks the [http] section.
func (c *checker) checkHTTP() {
	if c.file.HTTP.Listen != "" {
		c.requireAddress("http.listen", c.file.HTTP.Listen)
	}
}
