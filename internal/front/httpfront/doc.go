// Package httpfront is the HTTP/1.1 front: it accepts the application's connections, passes each request to
// the engine through an exchange.Dispatcher and writes the response.
//
// A Server is the handler of a net/http server over a clientListener, which bounds the connections and
// evicts idle ones. clientConn detects what net/http does not report: a header with two body lengths, and a
// client that disconnects behind pipelined bytes. On shutdown Serve drains (drain.go): it closes idle
// connections, accepts new ones for a while, and returns once each request has its response.
//
// State is accessed by the goroutines of net/http, under the locks of clientListener and clientConn. No state
// outlives the process.
package httpfront
