// Package policy compiles the operator's routes and classes into an immutable table: which class a request belongs
// to, and within which bounds the decision module may send, retry, hedge or reject it. It does no I/O and has no
// clock.
//
// A configuration is compiled completely or not at all. Contradictions to a rule of a class are found by playing the
// schedule that the configuration fixes (see Limits.Schedule) with timers, connections and clocks at their worst.
package policy
