package message

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

// maxDuration bounds a decoded age or lease duration. It is longer than any duration in use.
const maxDuration = 365 * 24 * time.Hour

// FieldError reports a field of a message that is missing or invalid.
type FieldError struct {
	Field  string // name of the field on the wire
	Reason string
}

// Error returns the name of the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Errors of Decode that concern the entire message.
var (
	ErrTooLong     = errors.New("message: too long")
	ErrUnknownType = errors.New("message: unknown or missing payload type")
)

// Decode decodes a message from a peer. For any input it returns a valid message or an error:
// ErrTooLong, ErrUnknownType, a *FieldError or an error of package proto.
func Decode(data []byte) (Message, error) {
	if len(data) > maxDecodeBytes {
		return Message{}, fmt.Errorf("%w: %d bytes", ErrTooLong, len(data))
	}
	envelope := &peerspb.Envelope{}
	if err := proto.Unmarshal(data, envelope); err != nil {
		return Message{}, err
	}
	from := decodeOrigin(envelope.GetFrom())
	if from.Name == "" {
		return Message{}, &FieldError{Field: "from", Reason: "sender name is missing"}
	}
	payload, err := decodePayload(from, envelope)
	if err != nil {
		return Message{}, err
	}
	return Message{From: from, Payload: payload}, nil
}

// decodePayload decodes the payload of an envelope by its type.
func decodePayload(from replication.Origin, envelope *peerspb.Envelope) (any, error) {
	switch payload := envelope.What.(type) {
	case *peerspb.Envelope_Ask:
		return decodeRequest(from, payload.Ask)
	case *peerspb.Envelope_Answer:
		return decodeResponse(payload.Answer)
	case *peerspb.Envelope_Release:
		return decodeRelease(from, payload.Release)
	case *peerspb.Envelope_Rumours:
		return decodeRumours(payload.Rumours)
	case *peerspb.Envelope_Digest:
		return decodeDigest(payload.Digest)
	case *peerspb.Envelope_Vectors:
		return decodeVectors(payload.Vectors)
	case *peerspb.Envelope_Delta:
		return decodeDelta(payload.Delta)
	default:
		return nil, ErrUnknownType
	}
}

func decodeRequest(from replication.Origin, in *peerspb.Ask) (keylease.Request, error) {
	key, err := decodeKey(in.GetKey())
	if err != nil {
		return keylease.Request{}, err
	}
	if len(in.GetGroup()) > maxGroupBytes {
		return keylease.Request{}, fieldErrorf("ask.group", "%d bytes, want at most %d", len(in.GetGroup()), maxGroupBytes)
	}
	owner := decodeOwner(in.GetOwner())
	if !sentBy(owner, from) {
		return keylease.Request{}, fieldErrorf("ask.owner", "does not match the sender")
	}
	return keylease.Request{
		Key:      key,
		Owner:    owner,
		Term:     in.GetRound(),
		Group:    in.GetGroup(),
		Duration: decodeDuration(in.GetHoldUs()),
		VoterSet: in.GetRoll(),
	}, nil
}

// decodeResponse decodes an unknown kind as AtCapacity, because neither is a grant.
func decodeResponse(in *peerspb.Answer) (keylease.Response, error) {
	key, err := decodeKey(in.GetKey())
	if err != nil {
		return keylease.Response{}, err
	}
	return keylease.Response{
		Key:    key,
		Owner:  decodeOwner(in.GetOwner()),
		Term:   in.GetRound(),
		Kind:   keylease.ResponseKind(min(in.GetKind(), uint32(keylease.AtCapacity))),
		Group:  in.GetGroup(),
		Age:    decodeDuration(in.GetAgeUs()),
		Shared: in.GetOthers(),
	}, nil
}

func decodeRelease(from replication.Origin, in *peerspb.Release) (Release, error) {
	key, err := decodeKey(in.GetKey())
	if err != nil {
		return Release{}, err
	}
	owner := decodeOwner(in.GetOwner())
	if !sentBy(owner, from) {
		return Release{}, fieldErrorf("release.owner", "does not match the sender")
	}
	return Release{Key: key, Owner: owner, Term: in.GetRound()}, nil
}

func decodeRumours(in *peerspb.Rumours) (Rumours, error) {
	var out Rumours
	for _, rumour := range in.GetRumours() {
		entry, err := decodeEntry(rumour.GetEntry())
		if err != nil {
			return nil, err
		}
		out = append(out, replication.Rumour{Origin: decodeOrigin(rumour.GetOrigin()), Entry: entry})
	}
	return out, nil
}

func decodeDigest(in *peerspb.Digest) (replication.Digest, error) {
	buckets := in.GetBuckets()
	if len(buckets) != replication.DigestBuckets {
		return replication.Digest{}, fieldErrorf("digest.buckets", "%d, want %d", len(buckets), replication.DigestBuckets)
	}
	return replication.Digest(buckets), nil
}

func decodeVectors(in *peerspb.Vectors) (*replication.Vectors, error) {
	out := &replication.Vectors{Response: in.GetAnswer()}
	for _, bucket := range in.GetBuckets() {
		if bucket >= replication.DigestBuckets {
			return nil, fieldErrorf("vectors.buckets", "bucket %d, want at most %d", bucket, replication.DigestBuckets-1)
		}
		out.Buckets = append(out.Buckets, int(bucket))
	}
	for _, vector := range in.GetVectors() {
		out.Vectors = append(out.Vectors, replication.Vector{
			Origin:     decodeOrigin(vector.GetOrigin()),
			CompleteTo: vector.GetHave(),
			BeyondHash: vector.GetMore(),
		})
	}
	return out, nil
}

func decodeDelta(in *peerspb.Delta) (replication.Delta, error) {
	out := replication.Delta{
		Origin:     decodeOrigin(in.GetOrigin()),
		From:       in.GetFrom(),
		To:         in.GetTo(),
		Part:       int(in.GetPart()),
		Parts:      int(in.GetOf()),
		Checksum:   in.GetSum(),
		Incomplete: in.GetLoose(),
	}
	for _, encoded := range in.GetEntries() {
		entry, err := decodeEntry(encoded)
		if err != nil {
			return replication.Delta{}, err
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

func decodeEntry(in *peerspb.Entry) (replication.Entry, error) {
	if in.GetTopic() > math.MaxUint8 {
		return replication.Entry{}, fieldErrorf("entry.topic", "topic %d, want at most %d", in.GetTopic(), math.MaxUint8)
	}
	return replication.Entry{
		Topic:     replication.Topic(in.GetTopic()),
		Subject:   in.GetSubject(),
		Seq:       in.GetSeq(),
		Age:       decodeDuration(in.GetAgeUs()),
		Withdrawn: in.GetGone(),
		Value:     in.GetValue(),
	}, nil
}

func decodeKey(data []byte) (keylease.Key, error) {
	var key keylease.Key
	if len(data) != len(key) {
		return key, fieldErrorf("key", "%d bytes, want %d", len(data), len(key))
	}
	return keylease.Key(data), nil
}

func decodeOrigin(in *peerspb.Life) replication.Origin {
	return replication.Origin{Name: in.GetName(), Epoch: in.GetEpoch()}
}

func decodeOwner(in *peerspb.Owner) keylease.Owner {
	return keylease.Owner{
		Name:    in.GetLife().GetName(),
		Epoch:   in.GetLife().GetEpoch(),
		Request: in.GetRequest(),
	}
}

// sentBy reports whether the owner is the sender. No instance may request or release leases for another.
func sentBy(owner keylease.Owner, from replication.Origin) bool {
	return owner.Name == from.Name && owner.Epoch == from.Epoch
}

// decodeDuration decodes a duration in microseconds, up to maxDuration.
func decodeDuration(microseconds uint64) time.Duration {
	bounded := min(microseconds, uint64(maxDuration.Microseconds()))
	return time.Duration(bounded) * time.Microsecond
}

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
