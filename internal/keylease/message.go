package keylease

import "time"

// Owner identifies one request of one incarnation of an instance.
type Owner struct {
	Name    string // name of the instance
	Epoch   uint64 // incarnation of the instance
	Request uint64 // number of the request within the incarnation
}

// Request is a lease request. The requester sends it to each acceptor of the voter set and
// retransmits it until the acceptor responds.
type Request struct {
	Key      Key
	Owner    Owner
	Term     uint64        // lease term; the owner increments it after a release
	Group    string        // group of endpoints that the owner wants to send to
	Duration time.Duration // how long the acceptor must keep the lease
	VoterSet uint64        // hash of the voters as configured at the requester, see VoterSetHash
}

// ResponseKind says whether an acceptor granted a lease, or why it could not vote.
type ResponseKind uint8

// Kinds of responses. Only Granted counts towards a majority. The values are part of the
// wire format.
const (
	Granted       ResponseKind = iota
	Recovering                 // the acceptor started too recently to know what it granted before
	UnknownVoters              // the acceptor is configured with another voter set
	AtCapacity                 // the acceptor has no capacity for another key or another holder of the key
)

// String describes what an acceptor that responds with this kind has done. It is part of the
// reason of a denied lease, in a sentence whose subject is the acceptor.
func (k ResponseKind) String() string {
	descriptions := [...]string{
		Granted:       "granted it",
		Recovering:    "started too recently",
		UnknownVoters: "is configured with other voters",
		AtCapacity:    "is at capacity",
	}
	return descriptions[min(k, AtCapacity)]
}

// Response is an acceptor's response to a lease request.
type Response struct {
	Key    Key
	Owner  Owner
	Term   uint64
	Kind   ResponseKind
	Group  string        // group that the key is leased for
	Age    time.Duration // time since the key was first granted for this group
	Shared bool          // there are other holders
}
