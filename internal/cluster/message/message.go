// Package message is the codec between the protobuf messages that instances exchange (package
// peerspb) and the types of packages keylease and replication that they carry.
//
// Names on the wire are older than those of the code: an Ask is a keylease.Request, an Answer a
// keylease.Response, a round a lease term, a roll a voter set, a hold a lease duration. The
// package does no I/O and has no state.
package message

import (
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

const (
	// MaxBytes is the size of memberlist's datagrams, which one message should fit into.
	MaxBytes = 1400
	// maxDecodeBytes bounds a message that is decoded: the vectors of one bucket may be longer
	// than MaxBytes, in a datagram that IP fragments.
	maxDecodeBytes = 4 * MaxBytes
	// maxGroupBytes bounds the name of a group of servers.
	maxGroupBytes = 80
)

// Message is one message with its sender. What is a keylease.Request, keylease.Response,
// replication.Digest, *replication.Vectors, replication.Delta, Release or Rumours.
type Message struct {
	From    replication.Origin
	Payload any
}

// Release gives up a lease, and requests for it that are still on their way.
type Release struct {
	Key   keylease.Key
	Owner keylease.Owner
	Term  uint64 // this term and those before it are released
}

// Rumours are entries that a peer passes on as they are written.
type Rumours []replication.Rumour
