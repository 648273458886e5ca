// Package reconcile merges the reports of several membership sources into one endpoint list. It
// decides what a vanished node means, what an unavailable source means, how many endpoints may
// vanish at once, when the list of a source that recovered is trusted, and which source takes
// precedence if they contradict each other.
//
// A [Reconciler] does no I/O, starts no goroutine and reads no clock. It is not safe for
// concurrent use. Its owner passes each report with the time at which it arrived, and calls
// [Reconciler.List] after each report and at [Reconciler.NextDeadline].
//
// # Rules
//
// A source has one claim on each endpoint that it has listed. The claim's state is up, draining,
// vanished (no longer listed) or retained (missing from a list that is not trusted; counts as up).
// A claim supersedes another if its start time is newer or, if start times are equal or unknown, if
// it began later. An end is a claim that is draining or vanished, or up but still in the backoff of
// a flapping endpoint.
//
//	situation                                           result                              function
//	--------------------------------------------------  ----------------------------------  -------------------------
//	a claim is up, and none is an end                   ready                               decide
//	an end that no up claim supersedes                  draining: no new requests           decide
//	a node vanishes                                     an end, at once                     vanish
//	a node vanishes after it was marked draining        an end that discovery cannot undo   discoveryConfirms
//	a node vanishes without a mark, and discovery       ready again: the session expired,   discoveryConfirms
//	  still lists it MaxDiscoveryLag later                but the process runs
//	discovery lists a server as draining or removed,    an end: the node of a dead process  decide
//	  and its node exists                                 remains until its session expires
//	a static list contains the endpoint, and its node   an end: a static list does not      discoveryConfirms
//	  vanished                                            know about restarts
//	the same name with a newer start time               a new incarnation; claims on the    claim.supersedes
//	                                                      previous one do not count
//	the same name returns in the same incarnation       ready, with its history             claim.update
//	the third return within flapWindow                  ready only after it has stayed up   recordReturn
//	                                                      for 1 s, then 2 s, 4 s up to 30 s
//	vanished for removalLinger, and no claim is up      removed, and its state deleted      decide
//	a source is unavailable                             its last list remains valid; the    SourceUnavailable
//	                                                      claims of others count
//	a source recovers or reports an older list, and     the missing endpoints are retained  Snapshot
//	  more than MaxShrinkRatio is missing; or its
//	  list is empty
//	a retained endpoint is listed again                 up, as before                       claim.update
//	retained for HoldTime, and the source is available  evicted, MaxShrinkRatio at a time,  evictDue
//	  with a list that is not empty                       once per HoldTime
//	retained, and the list remains empty                retained                            nextEviction
//	sources differ on address, site, pod or share       the newest incarnation's claim; in  endpointView.addPresent
//	                                                      one incarnation the node's, then
//	                                                      discovery's, then the list's
//	a burst of changes                                  one list per minListInterval        List
//
// MaxShrinkRatio, HoldTime and MaxDiscoveryLag are the operator's settings shrink_most,
// hold and lag. docs/design/ephemeral-nodes.md gives the reasons for the rules.
package reconcile
