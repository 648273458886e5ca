// Package http3front is the HTTP/3 front (RFC 9114 on QUIC, RFC 9000): it accepts clients' connections, passes
// each request to the engine through an exchange.Dispatcher and writes the response. Headers, the limits of bodies
// and responses are those of all fronts (packages requestmeta and exchange).
//
// A Server's state is counters; its calls run in goroutines of quic-go and net/http. Nothing outlives the
// process, but the key of stateless resets is derived from the certificate's, so that a restarted process can
// end connections of the one before.
package http3front
