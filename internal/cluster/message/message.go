// Package message is the form of what instances say to each other: package peerspb's protobuf
// messages, and the types of packages claims and replica that they stand for. It does no I/O.
package message

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

// Most is the most that one message may have, in bytes: what a datagram of memberlist holds.
const Most = 1400

// groupMost is the most bytes of a group's name.
const groupMost = 80

// Message is one thing that a peer says: a claims.Ask, claims.Answer, replica.Digest,
// *replica.Vectors, replica.Delta, or one of the types below.
type Message struct {
	From replication.Origin
	What any
}

// Release takes a claim back.
type Release struct {
	Key   keylease.Key
	Owner keylease.Owner
	Round uint64
}

// Rumours are passed on.
type Rumours []replication.Rumour

func micros(d time.Duration) uint64 { return uint64(max(0, d).Microseconds()) }

// duration reads an age or a hold. What is longer than a year is as good as one.
func duration(us uint64) time.Duration {
	const most = 365 * 24 * time.Hour
	return time.Duration(min(us, uint64(most.Microseconds()))) * time.Microsecond
}

func life(o replication.Origin) *peerspb.Life { return &peerspb.Life{Name: o.Name, Epoch: o.Epoch} }

func origin(l *peerspb.Life) replication.Origin {
	return replication.Origin{Name: l.GetName(), Epoch: l.GetEpoch()}
}

func owner(o keylease.Owner) *peerspb.Owner {
	return &peerspb.Owner{Life: &peerspb.Life{Name: o.Name, Epoch: o.Epoch}, Request: o.Request}
}

func ownerOf(o *peerspb.Owner) keylease.Owner {
	return keylease.Owner{Name: o.GetLife().GetName(), Epoch: o.GetLife().GetEpoch(), Request: o.GetRequest()}
}

func entries(in []replication.Entry) (out []*peerspb.Entry) {
	for _, e := range in {
		out = append(out, entry(e))
	}
	return out
}

func entry(e replication.Entry) *peerspb.Entry {
	return &peerspb.Entry{Topic: uint32(e.Topic), Subject: e.Subject, Seq: e.Seq, AgeUs: micros(e.Age), Gone: e.Withdrawn, Value: e.Value}
}

func entryOf(e *peerspb.Entry) (replication.Entry, error) {
	if e.GetTopic() > 255 {
		return replication.Entry{}, fmt.Errorf("entry.topic: %d is none", e.GetTopic())
	}
	return replication.Entry{Topic: replication.Topic(e.GetTopic()), Subject: e.GetSubject(), Seq: e.GetSeq(), Age: duration(e.GetAgeUs()),
		Withdrawn: e.GetGone(), Value: e.GetValue()}, nil
}

// Encode makes a message's bytes.
func Encode(m Message) ([]byte, error) {
	e := &peerspb.Envelope{From: life(m.From)}
	switch w := m.What.(type) {
	case keylease.Request:
		e.What = &peerspb.Envelope_Ask{Ask: &peerspb.Ask{Key: w.Key[:], Owner: owner(w.Owner), Round: w.Term, Group: w.Group, HoldUs: micros(w.Duration), Roll: w.VoterSet}}
	case keylease.Response:
		e.What = &peerspb.Envelope_Answer{Answer: &peerspb.Answer{Key: w.Key[:], Owner: owner(w.Owner), Round: w.Term, Kind: uint32(w.Kind),
			Group: w.Group, AgeUs: micros(w.Age), Others: w.Shared}}
	case Release:
		e.What = &peerspb.Envelope_Release{Release: &peerspb.Release{Key: w.Key[:], Owner: owner(w.Owner), Round: w.Round}}
	case Rumours:
		r := &peerspb.Rumours{}
		for _, x := range w {
			r.Rumours = append(r.Rumours, &peerspb.Rumour{Origin: life(x.Origin), Entry: entry(x.Entry)})
		}
		e.What = &peerspb.Envelope_Rumours{Rumours: r}
	case replication.Digest:
		e.What = &peerspb.Envelope_Digest{Digest: &peerspb.Digest{Buckets: w[:]}}
	case *replication.Vectors:
		v := &peerspb.Vectors{Answer: w.Response}
		for _, b := range w.Buckets {
			v.Buckets = append(v.Buckets, uint32(b))
		}
		for _, x := range w.Vectors {
			v.Vectors = append(v.Vectors, &peerspb.Vector{Origin: life(x.Origin), Have: x.Have, More: x.More})
		}
		e.What = &peerspb.Envelope_Vectors{Vectors: v}
	case replication.Delta:
		e.What = &peerspb.Envelope_Delta{Delta: &peerspb.Delta{Origin: life(w.Origin), From: w.From, To: w.To, Part: uint32(w.Part), Of: uint32(w.Parts),
			Sum: w.Checksum, Loose: w.Incomplete, Entries: entries(w.Entries)}}
	default:
		return nil, fmt.Errorf("message: %T is none", w)
	}
	return proto.Marshal(e)
}

// Decode reads what a peer says. Whatever it is sent, it returns a message or an error that
// names what is wrong.
func Decode(data []byte) (Message, error) {
	var m Message
	e := &peerspb.Envelope{}
	if len(data) > 4*Most { // vectors of one bucket may be longer than a datagram
		return m, fmt.Errorf("%d bytes", len(data))
	}
	if err := proto.Unmarshal(data, e); err != nil {
		return m, err
	}
	if m.From = origin(e.GetFrom()); m.From.Name == "" {
		return m, errors.New("from: no name")
	}
	key := func(b []byte) (k keylease.Key, err error) {
		if len(b) != len(k) {
			return k, fmt.Errorf("key: %d bytes, want %d", len(b), len(k))
		}
		return keylease.Key(b), nil
	}
	var err error
	switch w := e.What.(type) {
	case *peerspb.Envelope_Ask:
		a := keylease.Request{Owner: ownerOf(w.Ask.GetOwner()), Term: w.Ask.GetRound(), Group: w.Ask.GetGroup(), Duration: duration(w.Ask.GetHoldUs()), VoterSet: w.Ask.GetRoll()}
		a.Key, err = key(w.Ask.GetKey())
		if err == nil && len(a.Group) > groupMost {
			err = fmt.Errorf("ask.group: %d bytes, at most %d", len(a.Group), groupMost)
		}
		if err == nil && (a.Owner.Name != m.From.Name || a.Owner.Epoch != m.From.Epoch) {
			err = errors.New("ask.owner: not who sends it")
		}
		m.What = a
	case *peerspb.Envelope_Answer:
		a := keylease.Response{Owner: ownerOf(w.Answer.GetOwner()), Term: w.Answer.GetRound(), Kind: keylease.ResponseKind(min(w.Answer.GetKind(), uint32(keylease.AtCapacity))),
			Group: w.Answer.GetGroup(), Age: duration(w.Answer.GetAgeUs()), Shared: w.Answer.GetOthers()}
		a.Key, err = key(w.Answer.GetKey())
		m.What = a
	case *peerspb.Envelope_Release:
		r := Release{Owner: ownerOf(w.Release.GetOwner()), Round: w.Release.GetRound()}
		r.Key, err = key(w.Release.GetKey())
		if err == nil && (r.Owner.Name != m.From.Name || r.Owner.Epoch != m.From.Epoch) {
			err = errors.New("release.owner: not who sends it")
		}
		m.What = r
	case *peerspb.Envelope_Rumours:
		var all Rumours
		for _, x := range w.Rumours.GetRumours() {
			var one replication.Entry
			if one, err = entryOf(x.GetEntry()); err != nil {
				break
			}
			all = append(all, replication.Rumour{Origin: origin(x.GetOrigin()), Entry: one})
		}
		m.What = all
	case *peerspb.Envelope_Digest:
		b := w.Digest.GetBuckets()
		if len(b) != replication.Buckets {
			return m, fmt.Errorf("digest.buckets: %d, want %d", len(b), replication.Buckets)
		}
		m.What = replication.Digest(b)
	case *peerspb.Envelope_Vectors:
		v := &replication.Vectors{Response: w.Vectors.GetAnswer()}
		for _, b := range w.Vectors.GetBuckets() {
			if b >= replication.Buckets {
				return m, fmt.Errorf("vectors.buckets: %d, at most %d", b, replication.Buckets-1)
			}
			v.Buckets = append(v.Buckets, int(b))
		}
		for _, x := range w.Vectors.GetVectors() {
			v.Vectors = append(v.Vectors, replication.Vector{Origin: origin(x.GetOrigin()), Have: x.GetHave(), More: x.GetMore()})
		}
		m.What = v
	case *peerspb.Envelope_Delta:
		d := replication.Delta{Origin: origin(w.Delta.GetOrigin()), From: w.Delta.GetFrom(), To: w.Delta.GetTo(), Part: int(w.Delta.GetPart()),
			Parts: int(w.Delta.GetOf()), Checksum: w.Delta.GetSum(), Incomplete: w.Delta.GetLoose()}
		for _, x := range w.Delta.GetEntries() {
			var one replication.Entry
			if one, err = entryOf(x); err != nil {
				break
			}
			d.Entries = append(d.Entries, one)
		}
		m.What = d
	default:
		return m, errors.New("it says nothing that is known here")
	}
	return m, err
}
