// Package reconcile merges what several membership sources report into one endpoint
// list. It decides what a vanished node means, what an unavailable source means, how
// many endpoints may vanish at once, when a source that recovered is believed, and
// which source wins a contradiction.
//
// A [Reconciler] does no I/O, starts no goroutine and reads no clock. It is not safe
// for concurrent use: its owner passes each report with the time at which it arrived,
// and calls [Reconciler.List] after that and at [Reconciler.NextDeadline].
//
// # Rules
//
// A source's claim on an endpoint is one of up, draining, vanished (it was listed) and
// retained (missing, but not believed to be). A claim supersedes another if it names a
// newer start time, or else began after it. An end is a draining or vanished claim.
//
//	what happens                                        result                              function
//	--------------------------------------------------  ----------------------------------  -------------------------
//	a source says up, none an end                       ready                               decide
//	an end, and no superseding claim that it is up      draining: no new requests           decide
//	a node vanishes                                     an end, at once                     vanish
//	a node vanishes after it was marked draining        an end that discovery cannot undo   discoveryConfirms
//	a node vanishes without a mark, and discovery       ready again: its session expired,   discoveryConfirms
//	  lists it MaxDiscoveryLag later                      its process runs
//	discovery has a server removed or draining whose    an end: the node of a dead process  decide
//	  node stands                                         outlives it by its session
//	a static list names it, its node vanished           an end: a list knows no restarts    discoveryConfirms
//	the same name with a newer start time               a new incarnation; claims on the    claim.supersedes
//	                                                      previous one are void
//	the same name returns in the same incarnation       ready, with its history             claim.update
//	the third return within flapWindow                  must stay up 1 s, then 2, 4 up to   recordReturn
//	                                                      30 s, before it is believed
//	removalLinger after an end, no claim that it is up  removed, and forgotten              decide
//	a source is unavailable                             its last list stands; the claims    SourceUnavailable
//	                                                      of others count
//	a source recovers or reports an older list, and     the missing ones are retained       Snapshot
//	  more than MaxShrinkRatio of it is missing; or
//	  its list is empty
//	retained, and listed again                          as if nothing had happened          claim.update
//	retained for HoldTime, and the source is available  evicted, MaxShrinkRatio at a time,  evictDue
//	  with a list that is not empty                       each HoldTime
//	retained, and the list stays empty                  stay: an empty list drops nobody    nextEviction
//	sources differ on address, site, pod or share       the newest incarnation's claim; in  endpointView.addPresent
//	                                                      one incarnation the node's, then
//	                                                      discovery's, then the list's
//	a burst of changes                                  one list each minListInterval       List
//
// MaxShrinkRatio, HoldTime and MaxDiscoveryLag are the operator's settings shrink_most,
// hold and lag. docs/design/ephemeral-nodes.md gives the reasons for the rules.
package reconcile
