// Package attempt implements what all upstreams share, independently of their protocol: it starts and
// cancels the attempts of a request, bounds the time in which a request may still be written,
// maps failures and responses to outcomes, and sends health checks.
//
// An outcome states whether the request may have run on the endpoint:
//
//	NotSent        the sidecar itself did not send it: it never ran
//	ConnectFailed  the last byte was never written, due to a fault of the endpoint or of the network
//	               path: it never ran
//	Full           the endpoint rejected it and states that it did not process it
//	               (503 or 504 with X-Unprocessed: 1): it never ran
//	OK             a complete 200: it ran
//	Error          any other complete response: it may have run
//	Timeout, Cancelled, Reset
//	               written, perhaps in part, without a complete response: it may have run
//
// In doubt, a request counts as one that may have run. A reset is not a response: the endpoint may
// still process the request after it.
//
// The package has no state. Each attempt runs on one goroutine of its own, which ends with the
// attempt's context at the latest and reports exactly one result to the engine.
package attempt
