// Package secure performs TLS handshakes with servers and verifies them, for the upstreams over
// HTTP/1.1 and HTTP/3. Keys and trust are those of a certstore.Store; package handshake decides when
// a handshake may begin. There is no fallback to plain text: a connection whose server cannot be
// verified fails before a byte of a request is sent, so that the request never ran.
//
//	client.go     Client, its options and counters, turns for handshakes
//	handshake.go  one handshake over TCP or QUIC, the reasons for its failure and their log event
//	conn.go       how long an open connection may carry new requests
//	sessions.go   cache of sessions for resumption
//	names.go      the name that each server's certificate must be for
//
// A Client is guarded by its own locks and starts no goroutine. Sessions, counters and the rate
// limit are kept in memory only: after a restart every handshake is a full one.
package secure
