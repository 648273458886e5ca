// Package keylease decides which group of endpoints a request with an idempotency key may
// be sent to when several instances of the load balancer may receive the same key. It does
// no I/O, starts no goroutine and reads no clock: the caller delivers messages and passes
// the current time.
//
// # Problem
//
// The endpoints of one group detect duplicates of an idempotency key among themselves;
// endpoints of different groups do not. A client that retries its request at another
// instance must therefore reach the group that the first instance selected, or the effect
// may be executed twice. Before an instance sends a request with an idempotency key, it
// leases the key for the group of the endpoint that it has selected.
//
// # Protocol
//
// Each key has a small voter set, selected by rendezvous hashing ([Voters]), so that all
// instances find the same one. Every member of the voter set runs an [Acceptor]. The
// requester ([Lease]) sends a lease request to all members and retransmits it until enough
// of them have responded. An acceptor grants a key to one group at a time, records every
// holder of the lease, and responds with the granted group. The requester may send only to
// the group that a majority of the voter set has granted. The possible outcomes are:
//
//   - [Exclusive]: the requester's own group was granted and no other holder was reported,
//     so no other instance has sent the request.
//   - [Shared]: other holders were reported. The request must go to the granted group, and
//     it may already have been executed there.
//   - [SplitVote]: several requesters divided the votes and no group can reach a majority.
//     Nothing may be sent.
//   - [Pending]: responses are still missing.
//
// A holder that sent nothing that may have been executed releases the lease. If it requests
// the key again, possibly for another group, it increments the lease term. Messages may be
// delayed, duplicated or lost: a message of an earlier term changes nothing.
//
// # Safety
//
// At any time, requests with one key are sent to at most one group, provided that nothing is sent
// without a lease (cluster.AgreeAlways; with AgreeSoon this does not hold if voters do not respond):
//
//   - Any two majorities of one voter set have an acceptor in common.
//   - An acceptor changes the group of a key only when every holder has ended its term by a
//     release or a request in a later term (which a holder does only if it sent nothing that may
//     have been executed, and will not send) or when the lease has expired (by then no holder may
//     send any more). As long as any holder may send to one group, no majority can grant another.
//   - Of two holders of one group, the common acceptor has seen one first. It reports to the
//     second that the lease is shared, so at most one holder has an exclusive lease.
//
// Nothing is stored on disk. An acceptor that starts does not know what its previous
// incarnation granted, and therefore grants nothing until the longest lease that the
// previous incarnation may have granted has expired.
//
// # State table of an acceptor
//
//	message  state of the key                           result
//	-------  -----------------------------------------  ------------------------------------------
//	request  no entry, or no holder                     requester becomes holder, for its group
//	request  requester is a holder, same term           unchanged; the response is sent again
//	request  requester is the only holder, later term   requester stays holder, for its new group
//	request  others are holders                         requester joins them, for their group
//	request  requester has released this term, or is    unchanged; no response
//	         in a later one
//	release  requester is a holder, in this term or     requester is no longer a holder
//	         an earlier one
//	release  requester is a holder, in a later term     unchanged
//	any      the lease has expired                      same as without an entry
//
// An acceptor that cannot vote (it is recovering, has another voter set configured, or is at
// capacity) changes nothing and responds with the reason. The requester may retry.
package keylease
