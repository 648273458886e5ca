package message

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

// Encode returns the encoding of a message. It fails if the type of Payload is not listed at Message.
func Encode(m Message) ([]byte, error) {
	envelope := &peerspb.Envelope{From: encodeOrigin(m.From)}
	switch payload := m.Payload.(type) {
	case keylease.Request:
		envelope.What = &peerspb.Envelope_Ask{Ask: encodeRequest(payload)}
	case keylease.Response:
		envelope.What = &peerspb.Envelope_Answer{Answer: encodeResponse(payload)}
	case Release:
		envelope.What = &peerspb.Envelope_Release{Release: encodeRelease(payload)}
	case Rumours:
		envelope.What = &peerspb.Envelope_Rumours{Rumours: encodeRumours(payload)}
	case replication.Digest:
		envelope.What = &peerspb.Envelope_Digest{Digest: &peerspb.Digest{Buckets: payload[:]}}
	case *replication.Vectors:
		envelope.What = &peerspb.Envelope_Vectors{Vectors: encodeVectors(payload)}
	case replication.Delta:
		envelope.What = &peerspb.Envelope_Delta{Delta: encodeDelta(payload)}
	default:
		return nil, fmt.Errorf("message: unknown payload type %T", payload)
	}
	return proto.Marshal(envelope)
}

func encodeRequest(request keylease.Request) *peerspb.Ask {
	return &peerspb.Ask{
		Key:    request.Key[:],
		Owner:  encodeOwner(request.Owner),
		Round:  request.Term,
		Group:  request.Group,
		HoldUs: microseconds(request.Duration),
		Roll:   request.VoterSet,
	}
}

func encodeResponse(response keylease.Response) *peerspb.Answer {
	return &peerspb.Answer{
		Key:    response.Key[:],
		Owner:  encodeOwner(response.Owner),
		Round:  response.Term,
		Kind:   uint32(response.Kind),
		Group:  response.Group,
		AgeUs:  microseconds(response.Age),
		Others: response.Shared,
	}
}

func encodeRelease(release Release) *peerspb.Release {
	return &peerspb.Release{
		Key:   release.Key[:],
		Owner: encodeOwner(release.Owner),
		Round: release.Term,
	}
}

func encodeRumours(rumours Rumours) *peerspb.Rumours {
	out := &peerspb.Rumours{}
	for _, rumour := range rumours {
		out.Rumours = append(out.Rumours, &peerspb.Rumour{
			Origin: encodeOrigin(rumour.Origin),
			Entry:  encodeEntry(rumour.Entry),
		})
	}
	return out
}

func encodeVectors(vectors *replication.Vectors) *peerspb.Vectors {
	out := &peerspb.Vectors{Answer: vectors.Response}
	for _, bucket := range vectors.Buckets {
		out.Buckets = append(out.Buckets, uint32(bucket))
	}
	for _, vector := range vectors.Vectors {
		out.Vectors = append(out.Vectors, &peerspb.Vector{
			Origin: encodeOrigin(vector.Origin),
			Have:   vector.CompleteTo,
			More:   vector.BeyondHash,
		})
	}
	return out
}

func encodeDelta(delta replication.Delta) *peerspb.Delta {
	out := &peerspb.Delta{
		Origin: encodeOrigin(delta.Origin),
		From:   delta.From,
		To:     delta.To,
		Part:   uint32(delta.Part),
		Of:     uint32(delta.Parts),
		Sum:    delta.Checksum,
		Loose:  delta.Incomplete,
	}
	for _, entry := range delta.Entries {
		out.Entries = append(out.Entries, encodeEntry(entry))
	}
	return out
}

func encodeEntry(entry replication.Entry) *peerspb.Entry {
	return &peerspb.Entry{
		Topic:   uint32(entry.Topic),
		Subject: entry.Subject,
		Seq:     entry.Seq,
		AgeUs:   microseconds(entry.Age),
		Gone:    entry.Withdrawn,
		Value:   entry.Value,
	}
}

func encodeOrigin(origin replication.Origin) *peerspb.Life {
	return &peerspb.Life{Name: origin.Name, Epoch: origin.Epoch}
}

func encodeOwner(owner keylease.Owner) *peerspb.Owner {
	return &peerspb.Owner{
		Life:    &peerspb.Life{Name: owner.Name, Epoch: owner.Epoch},
		Request: owner.Request,
	}
}

// microseconds encodes an age or a lease duration. A negative duration is encoded as 0.
func microseconds(duration time.Duration) uint64 {
	return uint64(max(0, duration).Microseconds())
}
