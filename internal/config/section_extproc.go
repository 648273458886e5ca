package config

import "net"

// Values of ExtProc.Retries.
const (
	retriesNone    = "none"
	retriesByProxy = "ask-again"
)

// maxExtProcBacklog bounds ext_proc.backlog.
const maxExtProcBacklog = 1024

// ExtProc is the section of the external processor, which proxies such as Envoy call over gRPC.
type ExtProc struct {
	Listen  string `toml:"listen"`  // host:port, "" to switch it off
	Keys    string `toml:"keys"`    // name of the [[keys]] for TLS, "" for plain text
	Retries string `toml:"retries"` // "ask-again" if the proxy retries when a response asks it to, else "none"
	Streams int    `toml:"streams"` // max streams open at once
	Backlog int    `toml:"backlog"` // max requests that wait for a decision
}

// CallersRetry reports whether the proxy retries when a response asks it to.
func (e *ExtProc) CallersRetry() bool { return e.Retries == retriesByProxy }

func defaultExtProc() ExtProc {
	return ExtProc{Retries: retriesNone, Streams: 10_000, Backlog: 512}
}

// checkExtProc checks the [ext_proc] section.
func (c *checker) checkExtProc() {
	extProc := &c.file.ExtProc
	if extProc.Listen != "" {
		c.requireAddress("ext_proc.listen", extProc.Listen)
		httpListen := c.file.HTTP.Listen
		_, port, _ := net.SplitHostPort(httpListen) // checkHTTP reports an invalid address
		c.Require(extProc.Listen != httpListen || port == "0", "ext_proc.listen",
			"%q is also the address of http.listen", extProc.Listen)
	}
	c.Require(extProc.Retries == retriesNone || extProc.Retries == retriesByProxy, "ext_proc.retries",
		"%q is neither none nor ask-again", extProc.Retries)
	c.Require(extProc.Streams >= 1, "ext_proc.streams", "%d is not positive", extProc.Streams)
	c.Require(extProc.Backlog >= 1 && extProc.Backlog <= maxExtProcBacklog, "ext_proc.backlog",
		"%d is not in the range 1 to %d", extProc.Backlog, maxExtProcBacklog)
}
