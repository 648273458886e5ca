// Package httpupstream sends requests to endpoints over HTTP/1.1, in plain text or over TLS.
//
// It does not use http.Transport, which by itself resends requests that it considers idempotent
// when an idle connection turns out to be dead: each resend would be an attempt that the balancer
// never decided on. Here a request is written at most once. Its outcome (see package attempt)
// states that it never ran only if its last byte was not written or the endpoint says so; in doubt
// it may have run.
//
// One connection carries one request at a time. A connection that broke, was cancelled, or
// delivered bytes beyond one response is closed; others are kept as idle, by endpoint.
//
//	upstream.go  Upstream, its options, one attempt
//	pool.go      the idle connections and the limit of open ones
//	settle.go    how long a connection rests after a response
//	conn.go      one connection: deadlines, liveness
//	exchange.go  one request and its response on a connection
//	response.go  reading and validating a response
//
// The pool is guarded by Upstream.mu. Retire and Prune run on the engine's goroutine, attempts
// on goroutines of their own. Nothing is kept over a restart.
package httpupstream
