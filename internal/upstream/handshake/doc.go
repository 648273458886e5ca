// Package handshake limits the rate at which an instance begins TLS handshakes. A full handshake
// costs a server some milliseconds of a core, far more than a small request: after an outage or
// a change of keys all instances reconnect at once, and the handshakes alone would overload a
// server that has just started.
//
// Each server has a rate, and so has the instance as a whole. Both are enforced by the generic cell
// rate algorithm (ITU-T I.371, annex A), which stores one instant for each rate, the theoretical arrival
// time, instead of a token bucket. A caller requests a turn, the instant at which its handshake may
// begin, and states how long it can wait for it:
//
//	caller                                  result
//	a request, both rates have capacity     a turn now
//	a request, a turn within its maximum    a turn at that instant
//	wait
//	a request, a turn only after its        rejected at once: the request is sent elsewhere
//	maximum wait
//	background, more than half a burst      a turn now
//	of both rates is left
//	background, otherwise                   rejected: the caller tries again later
//
// Background work (health checks, connections opened in advance) therefore leaves almost half of
// each burst for requests, and in any span of t seconds no server gets more than burst + rate*t of
// this instance's handshakes. A server in slow start has only part of its rate and burst, just as
// it has only part of its capacity for requests. Since each instance is limited to its share of what
// a server can handle (Config.Share), all instances together stay within it, too, unless the share
// is raised to its minimum.
//
// The package does no I/O and reads no clock. A Budget is guarded by its owner and kept in memory
// only: after a restart all rates have their full burst.
package handshake
