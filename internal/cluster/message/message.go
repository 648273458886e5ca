// Package message converts between the protobuf messages that instances exchange (package peerspb)
// and the types of packages keylease and replication.
//
// The wire format keeps older names than the code: Ask for keylease.Request, Answer for
// keylease.Response, round for the lease term, roll for the voter set, and hold for the lease
// duration. The package does no I/O and has no state.
package message

import (
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

const (
	// MaxBytes is the maximum size of a message that memberlist sends in one datagram.
	MaxBytes = 1400
	// maxDecodeBytes is the maximum size of a message that is decoded. The vectors of one bucket
	// may be longer than MaxBytes and arrive in a fragmented datagram.
	maxDecodeBytes = 4 * MaxBytes
	// maxGroupBytes bounds the name of a group of servers.
	maxGroupBytes = 80
)

// Message is one message with its sender. The type of Payload is keylease.Request,
// keylease.Response, replication.Digest, *replication.Vectors, replication.Delta, Release or
// Rumours.
type Message struct {
	From    replication.Origin
	Payload any
}

// Release releases a lease. It also cancels requests for the lease that arrive after it.
type Release struct {
	Key   keylease.Key
	Owner keylease.Owner
	Term  uint64 // this term and all earlier ones are released
}

// Rumours are new entries that a peer forwards.
type Rumours []replication.Rumour
