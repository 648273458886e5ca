// Package exchange is the part of request handling that the fronts of all HTTP versions share: it bounds the
// memory of bodies, rejects an id that is in flight already, submits the request to the engine and waits for its
// response, and writes responses.
//
// A Dispatcher has no goroutine: its calls run in those of net/http, and its state is guarded by a lock. No state
// outlives the process.
package exchange
