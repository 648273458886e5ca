// Package httpfront is the HTTP/1.1 front: it accepts the application's connections, passes each request to
// the engine through an exchange.Dispatcher and writes the response.
//
// It does not use the server of net/http, which parses the fields of a header as they arrive, whatever memory
// they need, and keeps two buffers for each connection. Here an incomplete header costs its bytes alone, and what
// requests hold beyond a small buffer is reserved of a budget. net/http still parses complete headers and bodies.
//
//	listener.go    which connections are open, and which one is closed to make room
//	accept.go      failures of accept
//	conn.go        one connection: its state, deadlines and end
//	disconnect.go  whether a client has closed its side
//	serve.go       the requests of one connection, one after the other
//	request.go     receiving and checking a request
//	readahead.go   reading while a request is in flight
//	response.go    writing a response
//	drain.go       graceful shutdown
//
// One goroutine owns each connection, and another one reads from it while a request is in flight. The lists of
// connections are guarded by the lock of clientListener. No state outlives the process.
package httpfront
