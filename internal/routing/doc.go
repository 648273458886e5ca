// Package routing keeps the ledger of requests whose callers carry out attempts themselves: another proxy requests a
// routing decision, sends the request to the endpoint that it is given, and reports the outcome.
//
// A Ledger records which streams request the same effect and what each was answered, and decides which attempts may be
// forwarded again without the risk of a second effect. All other decisions, such as which endpoint to select, whether
// to retry and what to reject, are up to the decision module (package balancer). The ledger passes requests on to it
// and its decisions back.
//
// A Ledger does no I/O and has no clock. It is not safe for concurrent use: the host calls it with each event and the
// time of the event, and the ledger calls the host's Actions.
//
// Terms:
//   - A stream is one request of a caller for a routing decision, with the report that may follow.
//   - An entry is shared by all streams that request the same effect: those with one idempotency key, or with one
//     request ID where the class has no keys.
//   - A round is one request as the decision module knows it, with its attempts. An entry has one round at a time and
//     outlives it.
//   - An attempt is forwarded when its endpoint is handed to a caller. The same attempt may be forwarded to several
//     callers where a repeat is harmless; that is a replay.
package routing
