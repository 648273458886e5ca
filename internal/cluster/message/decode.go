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

// maxDuration bounds a decoded age or lease duration: a longer one makes no difference.
const maxDuration = 365 * 24 * time.Hour

// Decode reads a message from a peer. For any input it returns a valid message or an error that
// names the field that is wrong.
func Decode(data []byte) (Message, error) {
	if len(data) > maxDecodeBytes {
		return Message{}, fmt.Errorf("%d bytes", len(data))
	}
	envelope := &peerspb.Envelope{}
	if err := proto.Unmarshal(data, envelope); err != nil {
		return Message{}, err
	}
	from := decodeOrigin(envelope.GetFrom())
	if from.Name == "" {
		return Message{}, errors.New("from: no name")
	}
	what, err := decodeWhat(from, envelope)
	if err != nil {
		return Message{}, err
	}
	return Message{From: from, Payload: what}, nil
}

// decodeWhat decodes the envelope's content by its kind.
func decodeWhat(from replication.Origin, envelope *peerspb.Envelope) (any, error) {
	switch what := envelope.What.(type) {
	case *peerspb.Envelope_Ask:
		return decodeRequest(from, what.Ask)
	case *peerspb.Envelope_Answer:
		return decodeResponse(what.Answer)
	case *peerspb.Envelope_Release:
		return decodeRelease(from, what.Release)
	case *peerspb.Envelope_Rumours:
		return decodeRumours(what.Rumours)
	case *peerspb.Envelope_Digest:
		return decodeDigest(what.Digest)
	case *peerspb.Envelope_Vectors:
		return decodeVectors(what.Vectors)
	case *peerspb.Envelope_Delta:
		return decodeDelta(what.Delta)
	default:
		return nil, errors.New("it says nothing that is known here")
	}
}

func decodeRequest(from replication.Origin, in *peerspb.Ask) (keylease.Request, error) {
	key, err := decodeKey(in.GetKey())
	if err != nil {
		return keylease.Request{}, err
	}
	if len(in.GetGroup()) > maxGroupBytes {
		return keylease.Request{}, fmt.Errorf("ask.group: %d bytes, at most %d", len(in.GetGroup()), maxGroupBytes)
	}
	owner := decodeOwner(in.GetOwner())
	if !sentBy(owner, from) {
		return keylease.Request{}, errors.New("ask.owner: not who sends it")
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

// decodeResponse takes an unknown kind for AtCapacity: whatever it is, it grants nothing.
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
		return Release{}, errors.New("release.owner: not who sends it")
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
		return replication.Digest{}, fmt.Errorf("digest.buckets: %d, want %d", len(buckets), replication.DigestBuckets)
	}
	return replication.Digest(buckets), nil
}

func decodeVectors(in *peerspb.Vectors) (*replication.Vectors, error) {
	out := &replication.Vectors{Response: in.GetAnswer()}
	for _, bucket := range in.GetBuckets() {
		if bucket >= replication.DigestBuckets {
			return nil, fmt.Errorf("vectors.buckets: %d, at most %d", bucket, replication.DigestBuckets-1)
		}
		out.Buckets = append(out.Buckets, int(bucket))
	}
	for _, vector := range in.GetVectors() {
		out.Vectors = append(out.Vectors, replication.Vector{
			Origin: decodeOrigin(vector.GetOrigin()),
			Have:   vector.GetHave(),
			More:   vector.GetMore(),
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
	for _, each := range in.GetEntries() {
		entry, err := decodeEntry(each)
		if err != nil {
			return replication.Delta{}, err
		}
		out.Entries = append(out.Entries, entry)
	}
	return out, nil
}

func decodeEntry(in *peerspb.Entry) (replication.Entry, error) {
	if in.GetTopic() > math.MaxUint8 {
		return replication.Entry{}, fmt.Errorf("entry.topic: %d is none", in.GetTopic())
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
		return key, fmt.Errorf("key: %d bytes, want %d", len(data), len(key))
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

// sentBy reports whether an owner is the sender itself: no instance acts for another.
func sentBy(owner keylease.Owner, from replication.Origin) bool {
	return owner.Name == from.Name && owner.Epoch == from.Epoch
}

func decodeDuration(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxDuration.Microseconds()))) * time.Microsecond
}
