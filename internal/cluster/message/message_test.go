package message

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/internal/keylease"
	"pinedale/internal/replication"
	_ "pinedale/internal/standin/seeds"
)

func TestMessageDecodesToWhatWasEncodedAndFitsDatagram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z0-9 @-]{1,60}`)
		number := rapid.Uint64()
		origin := func() replication.Origin {
			return replication.Origin{Name: text.Draw(t, "name"), Epoch: number.Draw(t, "epoch")}
		}
		age := func() time.Duration { return time.Duration(rapid.IntRange(0, 1e9).Draw(t, "us")) * time.Microsecond }
		sender := origin()
		key := keylease.KeyOf(text.Draw(t, "class"), text.Draw(t, "key"))
		owner := keylease.Owner{Name: sender.Name, Epoch: sender.Epoch, Request: number.Draw(t, "request")}
		entry := func() replication.Entry {
			return replication.Entry{
				Topic:     replication.Topic(rapid.IntRange(1, 255).Draw(t, "topic")),
				Subject:   text.Draw(t, "subject"),
				Seq:       number.Draw(t, "seq"),
				Age:       age(),
				Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
				Value:     rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "value"),
			}
		}
		var payload any
		switch rapid.IntRange(0, 6).Draw(t, "type") {
		case 0:
			payload = keylease.Request{
				Key: key, Owner: owner, Term: 2,
				Group:    text.Draw(t, "group"),
				Duration: age(),
				VoterSet: number.Draw(t, "voter set"),
			}
		case 1:
			payload = keylease.Response{
				Key: key, Owner: owner, Term: 2,
				Kind:   keylease.ResponseKind(rapid.IntRange(0, 3).Draw(t, "kind")),
				Group:  text.Draw(t, "group"),
				Age:    age(),
				Shared: true,
			}
		case 2:
			payload = Release{key, owner, number.Draw(t, "term")}
		case 3:
			payload = Rumours{{Origin: origin(), Entry: entry()}, {Origin: origin(), Entry: entry()}}
		case 4:
			var digest replication.Digest
			digest[3] = number.Draw(t, "hash")
			payload = digest
		case 5:
			payload = &replication.Vectors{
				Buckets:  []int{1, 63},
				Vectors:  []replication.Vector{{Origin: origin(), CompleteTo: 3, BeyondHash: number.Draw(t, "more")}},
				Response: true,
			}
		case 6:
			payload = replication.Delta{
				Origin: origin(), From: 1,
				To:   number.Draw(t, "to"),
				Part: 1, Parts: 2,
				Checksum:   number.Draw(t, "checksum"),
				Incomplete: true,
				Entries:    []replication.Entry{entry()},
			}
		}
		data, err := Encode(Message{From: sender, Payload: payload})
		if err != nil || len(data) > MaxBytes {
			t.Fatalf("encoded %d bytes, want at most %d; error %v", len(data), MaxBytes, err)
		}
		got, err := Decode(data)
		if err != nil || got.From != sender || !reflect.DeepEqual(got.Payload, payload) {
			t.Fatalf("%+v from %v is decoded as %+v from %v; error %v", payload, sender, got.Payload, got.From, err)
		}
	})
}
