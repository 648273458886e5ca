// Package replication maintains a replica of the entries that every instance of the load balancer
// advertises: which instances exist, and how endpoints behave as seen by each of them. It does no
// I/O, starts no goroutine and reads no clock: the caller delivers messages and passes the current
// time.
//
// # Data model
//
// Every entry has one writer. An [Entry] is written by one incarnation of one instance (an
// [Origin]) under a topic and a subject, with that origin's next sequence number. A later
// sequence number replaces an earlier one of the same subject. Two replicas are merged by
// taking the highest sequence number for each origin and subject. This is the join of a
// lattice (a map of single-writer registers; Almeida, Shoker and Baquero, "Delta state
// replicated data types", 2018): the order and the number of deliveries make no difference.
// Counts of an origin are in its own entries only, so that a sum over origins counts nothing twice.
//
// # Protocol
//
// For each origin a replica knows the sequence number up to which it is complete.
//
//   - Rumour mongering: [Store.Rumours] returns single entries shortly after they are
//     written. Each replica forwards a new entry a limited number of times.
//   - Anti-entropy finds entries that rumours have missed. Two replicas compare a [Digest], which has
//     a hash for each of 64 buckets of origins. For buckets that differ they compare
//     [Vectors], the sequence numbers by origin. Then each sends [Delta] messages with the
//     entries above the sequence number that the other one has.
//
// Every message fits into one datagram.
//
// # Merge rules
//
//	two replicas of an entry            result
//	----------------------------------  -------------------------------------------------------
//	sequence numbers differ             the higher number, regardless of the order of arrival
//	same sequence number                they are the same entry; beyond a gap, the greater age is kept
//	one is withdrawn                    the higher number: a withdrawal has a sequence number, too
//	epochs of the origin differ         both are kept, like those of two instances, until they expire by
//	(restart, copied data directory,    age
//	paused process that continues)
//	ages differ since clocks differ     no message has an absolute time: each replica adds its own
//	                                    elapsed time to the age that it received
//	the origin was evicted              it is not added again: epochs of its name up to the evicted
//	                                    one are rejected
//	the receiver is the origin          unchanged: no other instance writes for this incarnation
//	the entry is invalid (unknown       the entry is ignored, and counted as rejected
//	topic, too long, check fails)
//
// # Expiry and tombstones
//
// An expired entry does not reappear. An entry is valid for its topic's TTL; after that, each
// replica removes it independently. A withdrawn entry is kept as a tombstone for the same time.
// After it has removed an entry, a replica still knows the sequence number up to which it is
// complete, and accepts no entry with that number or a lower one.
//
// An origin from which no new entry was received for Limits.OriginTTL is evicted with all its
// entries. Its epoch is kept as a floor: later incarnations of its name must have a higher epoch.
// The floors of at most Limits.MaxOrigins names are kept, and the oldest are discarded first. Only
// a message that was delayed for longer than OriginTTL, of a name whose floor was discarded, can
// be accepted as new. Its entry is then valid for its topic's TTL.
package replication
