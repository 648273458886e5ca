// Package http3upstream sends requests to endpoints over HTTP/3 (RFC 9114), with one QUIC connection
// for each incarnation of an endpoint and one stream for each request.
//
// It maintains connections itself, since quic-go's Transport may resend a request on another
// connection. Here a request is sent at most once. Its outcome (see package attempt) states that
// it never ran only if no stream was available for it, or if the endpoint rejected it unprocessed
// (RFC 9114, section 8.1: H3_REQUEST_REJECTED). In doubt it may have run: an endpoint may process
// a request whose end has not arrived. A reset of the stream is not a response.
//
//	upstream.go    Upstream, its options, one attempt
//	pool.go        the connections and their limit
//	exchange.go    one request and its response on a stream
//	streamwait.go  the bound on a request's wait for a stream
//
// The connections are guarded by Upstream.mu. A connection is dialled on a goroutine of its own,
// for all requests that wait for it. Close waits for handshakes, load probes and background work.
// All state is lost on a restart.
package http3upstream
