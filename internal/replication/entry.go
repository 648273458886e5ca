package replication

import (
	"cmp"
	"strings"
	"time"
)

// Origin is one incarnation of an instance.
type Origin struct {
	Name  string `json:"Name"`
	Epoch uint64 `json:"Epoch"` // start time by its own clock, in Unix microseconds; higher in later incarnations
}

// compare orders origins by name and epoch.
func (o Origin) compare(other Origin) int {
	return cmp.Or(strings.Compare(o.Name, other.Name), cmp.Compare(o.Epoch, other.Epoch))
}

// Topic is the kind of an entry.
type Topic uint8

// Entry is one value that an origin has written.
type Entry struct {
	Topic     Topic
	Subject   string
	Seq       uint64        // sequence number at the origin
	Age       time.Duration // time since it was written, without time spent on the network
	Withdrawn bool          // a tombstone: there is no value
	Value     []byte
}

// Record is an entry of a replica, with the origin that wrote it.
type Record struct {
	Origin Origin
	Entry
}

// Rumour is a single entry that is sent to other replicas, with the origin that wrote it.
type Rumour struct {
	Origin Origin
	Entry  Entry
}

// Delta is one of several parts that together contain all entries of an origin with sequence numbers
// above From and up to To. A replica is complete up to To only after it has merged all parts: an
// entry that is absent from one part may have been replaced by an entry of another part, and a
// replica that advanced after one part would have a state that the origin never had.
type Delta struct {
	Origin      Origin
	From, To    uint64
	Part, Parts int
	Checksum    uint64 // of all parts together, so that parts of different deltas are not combined
	Incomplete  bool   // entries beyond a gap in the sequence numbers, which may never be filled
	Entries     []Entry
}

// Vector is the state of one origin at a replica.
type Vector struct {
	Origin     Origin `json:"Origin"`
	CompleteTo uint64 `json:"Have"` // the replica is complete up to this sequence number
	BeyondHash uint64 `json:"More"` // hash of the sequence numbers of entries beyond CompleteTo
}

// Vectors holds the vectors of all origins in some buckets of the digest.
type Vectors struct {
	Buckets  []int
	Vectors  []Vector
	Response bool // sent in response to vectors: the receiver responds with deltas only
}
