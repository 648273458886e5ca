// Package exchange is what all HTTP fronts share about a request, whatever version of HTTP carries it: it
// bounds the memory of bodies, rejects an id that is in flight already, submits the request to the engine
// and waits for its response, and writes responses.
//
// A Dispatcher has no goroutine: its calls run in those of net/http, under a lock. Nothing outlives the
// process.
package exchange
