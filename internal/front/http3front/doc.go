// Package http3front is the HTTP/3 front (RFC 9114 on QUIC, RFC 9000): it accepts clients' connections, passes
// each request to the engine through an exchange.Dispatcher and writes the response. Header parsing, body limits
// and responses are shared with the other fronts (packages requestmeta and exchange).
//
// A Server's state is a set of counters; its calls run in goroutines of quic-go and net/http. No state outlives the
// process, but the stateless reset key is derived from the certificate's key, so that a restarted process can end
// connections of its predecessor.
package http3front
