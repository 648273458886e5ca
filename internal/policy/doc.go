// Package policy compiles the operator's routes and classes into an immutable table. The table determines the class of
// a request and the bounds within which the decision module, package balancer, may send, retry, hedge or reject it.
// Package policy does no I/O and reads no clock.
//
// A configuration is compiled completely or not at all. To find out whether it violates a rule of a class, the compiler
// computes the attempts that it schedules (see Limits.Schedule) for the worst case of timers, connections and clocks.
package policy
