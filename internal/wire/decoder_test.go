package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"pinedale/balancer"
)

func TestDecodeProtocolExamples(t *testing.T) {
	batch := unhex(t, "0000000c 0000005d 0000000000805c5a",
		exInstance, exRequest, exTimer, "1b 00000004 00000005", exCancelledByClient)
	read, err := ReadFrame(bytes.NewReader(batch), nil)
	if err != nil || !bytes.Equal(read, batch) {
		t.Fatalf("frame changed: %v", err)
	}
	events := decodeAll(t, new(Decoder), batch)
	want := balancer.Request{
		ID: 0x5bf975d3a91c4, Key: 0x91f03b7c55d20a64, Deadline: 0x8405da, WorkHint: 12000, HasWorkHint: true,
	}
	if len(events) != 5 || events[0].Instance != 3 || events[1].Request != want || events[2].Token != 77 ||
		events[3].Instance != 5 || events[4].Outcome.ID != 0xbf5a10e6f2b19 {
		t.Errorf("decoded events %+v", events)
	}
	events = decodeAll(t, new(Decoder), frame(unhex(t, exHeaders, exAnswer, exHealth, exWhisper, exManifest, exMembers)))
	if o := events[0].Outcome; o.ID != 0x5bf975d3a91c4 || o.Endpoint != 0x3124a07 || o.Latency != 0x2422 {
		t.Errorf("decoded headers event %+v", o)
	}
	if o := events[1].Outcome; o.Status != balancer.OK || o.Latency != 0x4844 || !o.Settled || len(o.Load) != 0 {
		t.Errorf("decoded answer event %+v", o)
	}
	if h := events[2]; h.Endpoint != 0x2c9011f2 || h.Latency != 1400 ||
		len(h.Load) != 3 || h.Load[0] != 7 || h.Load[1] != 140 {
		t.Errorf("decoded health_result event %+v", h)
	}
	if w := events[3]; w.From != 2 || string(w.Data) != "hi 7" {
		t.Errorf("decoded whisper event %+v", w)
	}
	if m := events[5]; m.Kind != balancer.ListCached || len(m.Entries) != 2 || m.Entries[1].Weight != 1.5 ||
		m.Entries[1].Zone != 1 || m.Entries[1].StartTime != 0x5d1420 {
		t.Errorf("decoded membership event %+v", m)
	}
}

// A list number refers to the list that was sent last under that number.
func TestListNumbersResolveInEventOrder(t *testing.T) {
	first := "1a 0000001a 00 00000001 00000001 00 00 0000 00 3f800000 0000000000000000"
	second := "1a 0000001a 00 00000001 00000002 00 00 0000 01 3f800000 0000000000000000"
	decoder := new(Decoder)
	events := decodeAll(t, decoder, frame(unhex(t, first, exMembers, second, exMembers)))
	if events[1].Entries[0].ID != 1 || events[3].Entries[0].ID != 2 || events[3].Entries[0].State != balancer.Draining {
		t.Errorf("%+v", events)
	}
	events = decodeAll(t, decoder, frame(unhex(t, "11 00000006 00000029 00 04", "11 00000006 00000029 09 02")))
	if events[0].Kind != balancer.ListFull || events[0].Entries[0].ID != 2 {
		t.Error("the list is not kept after the end of its batch")
	}
	if events[1].Kind != balancer.ListFailed || events[1].Entries != nil {
		t.Error("the membership record of a failed poll is not decoded without a list")
	}
}

func TestMalformedRecordIsFrameError(t *testing.T) {
	for _, c := range []struct {
		name    string
		records string // hexadecimal
		record  string // name of the record in the error
		reason  string // part of the reason in the error
	}{
		{"header cut", "12 0000", "record", "needs 5 bytes"},
		{"fields overrun", "12 00000021 00", "request", "overrun"},
		{"fields short", "15 00000004 00000000", "cancelled_by_client", "needs 8"},
		{"fields long", "16 00000005 0000004d 00", "timeout_fired", "too many"},
		{"load count overruns", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 02", "answer", "needs 8"},
		{"config overruns", "10 0000000c 0000000000000000 00000009", "begin", "needs 9"},
		{"entries overrun", "1a 00000005 00 00000002", "manifest", "2 entries"},
		{"bad list number", "1a 00000005 10 00000000", "manifest", "list number 16"},
		{"list not received", "11 00000006 00000029 04 03", "membership", "not been received"},
		{"bad list kind", "11 00000006 00000029 00 07", "membership", "unknown kind 7"},
		{"bad status", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c9 00004844 01 00", "answer", "status 201"},
		{"bad state", "1a 0000001a 00 00000001 00000001 00 00 0000 02 3f800000 0000000000000000", "manifest", "status 2"},
		{"whisper overruns", "18 00000008 0002 0005 68692037", "whisper", "needs 5"},
	} {
		decoder := new(Decoder)
		if _, _, err := decoder.Reset(frame(unhex(t, c.records))); err != nil {
			t.Fatal(err)
		}
		err := decoder.Next(new(Event))
		var malformed *FrameError
		if !errors.As(err, &malformed) || malformed.Record != c.record ||
			!strings.Contains(malformed.Reason, c.reason) || malformed.Offset < batchHeaderSize {
			t.Errorf("%s: error %v, want a *FrameError with reason %q", c.name, err, c.reason)
		}
	}
}

func TestMalformedFrameIsFrameError(t *testing.T) {
	for name, text := range map[string]string{
		"header cut":            "0000000c 000000",
		"size under the header": "0000000c 0000000f 0000000000805c5a",
		"frame cut":             "0000000c 00000020 0000000000805c5a 00",
		"size of gigabytes":     "0000000c ffffffff 0000000000805c5a 00",
	} {
		_, err := ReadFrame(bytes.NewReader(unhex(t, text)), nil)
		var malformed *FrameError
		if !errors.As(err, &malformed) {
			t.Errorf("%s: error %v, want a *FrameError", name, err)
		}
	}
	if _, err := ReadFrame(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: %v, want io.EOF", err)
	}
}

// Any sequence of records is either decoded to its end or fails with a *FrameError.
func FuzzDecoder(f *testing.F) {
	for _, records := range []string{
		exInstance, exRequest, exTimer, exCancelledByClient, exHeaders, exAnswer, exHealth, exWhisper,
		exManifest + exMembers, "ff 00000002 0102", "1a 00000005 00 ffffffff",
	} {
		f.Add(unhex(f, records))
	}
	f.Fuzz(func(t *testing.T, records []byte) {
		decoder := new(Decoder)
		if _, _, err := decoder.Reset(frame(records)); err != nil {
			t.Fatal(err)
		}
		for n := 0; ; n++ {
			err := decoder.Next(new(Event))
			if err != nil {
				var malformed *FrameError
				if !errors.Is(err, io.EOF) && !errors.As(err, &malformed) {
					t.Fatalf("error of an unexpected type: %v", err)
				}
				return
			}
			if n > len(records) {
				t.Fatal("more records than bytes")
			}
		}
	})
}
