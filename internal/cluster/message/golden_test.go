package message

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pinedale/internal/keylease"
	"pinedale/internal/replication"
)

// goldenMessages returns one message for each file in testdata, with every field set. The files were
// encoded by an earlier build. They are never rewritten, because instances of two builds exchange
// messages during a rollout.
func goldenMessages() map[string]Message {
	sender := replication.Origin{Name: "instance-a", Epoch: 1796000000000001}
	origin := replication.Origin{Name: "instance-b", Epoch: 1796000000000002}
	owner := keylease.Owner{Name: sender.Name, Epoch: sender.Epoch, Request: 77}
	key := keylease.Key{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 255}
	live := replication.Entry{
		Topic: 2, Subject: "server-1@1796000000000", Seq: 9, Age: 1500 * time.Microsecond, Value: []byte{8, 3, 16, 1},
	}
	withdrawn := replication.Entry{
		Topic: 3, Subject: "server-2@1796000000000", Seq: 10, Age: 2 * time.Second, Withdrawn: true,
	}
	response := func(kind keylease.ResponseKind) Message {
		holder := keylease.Owner{Name: origin.Name, Epoch: origin.Epoch, Request: 78}
		return Message{sender, keylease.Response{
			Key: key, Owner: holder, Term: 5, Kind: kind, Group: "pod 1", Age: 250 * time.Millisecond, Shared: true,
		}}
	}
	var digest replication.Digest
	for i := range digest {
		digest[i] = uint64(i+1) << 40
	}
	return map[string]Message{
		"ask": {sender, keylease.Request{
			Key: key, Owner: owner, Term: 4, Group: "pod 1", Duration: 30 * time.Second, VoterSet: 1 << 63,
		}},
		"answer-granted":        response(keylease.Granted),
		"answer-recovering":     response(keylease.Recovering),
		"answer-unknown-voters": response(keylease.UnknownVoters),
		"answer-at-capacity":    response(keylease.AtCapacity),
		"release":               {sender, Release{Key: key, Owner: owner, Term: 6}},
		"rumours":               {sender, Rumours{{Origin: sender, Entry: live}, {Origin: origin, Entry: withdrawn}}},
		"digest":                {sender, digest},
		"vectors": {sender, &replication.Vectors{
			Buckets: []int{1, 63},
			Vectors: []replication.Vector{
				{Origin: sender, CompleteTo: 11, BeyondHash: 12},
				{Origin: origin, CompleteTo: 13, BeyondHash: 1 << 63},
			},
			Response: true,
		}},
		"delta": {sender, replication.Delta{
			Origin: origin, From: 14, To: 15, Part: 1, Parts: 2, Checksum: 1 << 62, Incomplete: true,
			Entries: []replication.Entry{live, withdrawn},
		}},
	}
}

func goldenBytes(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".binpb"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestDecodeReadsGoldenFiles(t *testing.T) {
	for name, want := range goldenMessages() {
		t.Run(name, func(t *testing.T) {
			got, err := Decode(goldenBytes(t, name))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded:\n got %+v\nwant %+v", got, want)
			}
		})
	}
}

func TestEncodeWritesGoldenFiles(t *testing.T) {
	for name, m := range goldenMessages() {
		t.Run(name, func(t *testing.T) {
			got, err := Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			if want := goldenBytes(t, name); !bytes.Equal(got, want) {
				t.Errorf("encoded:\n got %x\nwant %x", got, want)
			}
		})
	}
}

// Each golden file has a message, and each message a golden file.
func TestGoldenFilesAndMessagesMatch(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.binpb"))
	if err != nil {
		t.Fatal(err)
	}
	messages := goldenMessages()
	if len(files) != len(messages) {
		t.Errorf("%d golden files, %d messages", len(files), len(messages))
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".binpb")
		if _, ok := messages[name]; !ok {
			t.Errorf("%s: there is no message with this name", file)
		}
	}
}
