// Package exchange is the part of request handling that the fronts of all HTTP versions share: it bounds the
// memory of requests and responses, rejects an id that is in flight or may have run already, submits the request to
// the engine and waits for its response, and writes responses.
//
// A Dispatcher has no goroutine: its calls run in those of the front, and its state is guarded by locks. No state
// outlives the process.
package exchange
