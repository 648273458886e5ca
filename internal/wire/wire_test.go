package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"pinedale/balancer"
)

func unhex(t testing.TB, parts ...string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(strings.Join(parts, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame puts records behind a batch header.
func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	f := binary.BigEndian.AppendUint32(nil, 12)
	f = binary.BigEndian.AppendUint32(f, uint32(batchHeaderSize+len(body)))
	f = binary.BigEndian.AppendUint64(f, 0x805c5a)
	return append(f, body...)
}

// The examples of the protocol's page.
const (
	exInstance          = "1b 00000004 00000003"
	exRequest           = "12 00000020 0005bf975d3a91c4 91f03b7c55d20a64 00000000008405da 00002ee0 01 0000 00"
	exTimer             = "16 00000004 0000004d"
	exCancelledByClient = "15 00000008 000bf5a10e6f2b19"
	exHeaders           = "13 00000012 0005bf975d3a91c4 0000 03124a07 00002422"
	exAnswer            = "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 00"
	exHealth            = "17 00000017 2c9011f2 00c8 00000578 03 40e00000430c00003f1eb852"
	exWhisper           = "18 00000008 0002 0004 68692037"
	exManifest          = "1a 0000002f 00 00000002 03124a07 00 00 0000 00 3f800000 0000000000000000" +
		"2c9011f2 01 00 0000 00 3fc00000 00000000005d1420"
	exMembers = "11 00000006 00000029 00 03"
)

func decode(t *testing.T, d *Decoder, f []byte) []Event {
	t.Helper()
	if _, now, err := d.Reset(f); err != nil || now != 0x805c5a {
		t.Fatalf("clock %d, error %v", now, err)
	}
	var all []Event
	for {
		var e Event
		err := d.Next(&e)
		if errors.Is(err, io.EOF) {
			return all
		}
		if err != nil {
			t.Fatal(err)
		}
		e.Load = append([]float32(nil), e.Load...)
		e.Entries = append([]balancer.Endpoint(nil), e.Entries...)
		all = append(all, e)
	}
}

func TestDecodeProtocolExamples(t *testing.T) {
	f := unhex(t, "0000000c 0000005d 0000000000805c5a",
		exInstance, exRequest, exTimer, "1b 00000004 00000005", exCancelledByClient)
	got, err := ReadFrame(bytes.NewReader(f), nil)
	if err != nil || !bytes.Equal(got, f) {
		t.Fatalf("frame changed: %v", err)
	}
	e := decode(t, new(Decoder), f)
	want := balancer.Request{
		ID: 0x5bf975d3a91c4, Key: 0x91f03b7c55d20a64, Deadline: 0x8405da, WorkHint: 12000, HasWorkHint: true,
	}
	if len(e) != 5 || e[0].Instance != 3 || e[1].Request != want || e[2].Token != 77 || e[3].Instance != 5 ||
		e[4].Outcome.ID != 0xbf5a10e6f2b19 {
		t.Errorf("decoded %+v", e)
	}
	e = decode(t, new(Decoder), frame(unhex(t, exHeaders, exAnswer, exHealth, exWhisper, exManifest, exMembers)))
	if o := e[0].Outcome; o.ID != 0x5bf975d3a91c4 || o.Endpoint != 0x3124a07 || o.Latency != 0x2422 {
		t.Errorf("headers %+v", o)
	}
	if o := e[1].Outcome; o.Status != balancer.OK || o.Latency != 0x4844 || !o.Settled || len(o.Load) != 0 {
		t.Errorf("answer %+v", o)
	}
	if h := e[2]; h.Endpoint != 0x2c9011f2 || h.Latency != 1400 || len(h.Load) != 3 || h.Load[0] != 7 || h.Load[1] != 140 {
		t.Errorf("health_result %+v", h)
	}
	if w := e[3]; w.From != 2 || string(w.Data) != "hi 7" {
		t.Errorf("whisper %+v", w)
	}
	if m := e[5]; m.Kind != balancer.ListCached || len(m.Entries) != 2 || m.Entries[1].Weight != 1.5 ||
		m.Entries[1].Zone != 1 || m.Entries[1].StartTime != 0x5d1420 {
		t.Errorf("membership %+v", m)
	}
}

func TestEncodeProtocolExamples(t *testing.T) {
	var w Reply
	w.Reset(1)
	if got := w.Bytes(); !bytes.Equal(got, unhex(t, "00000001 0000000c 00000000")) {
		t.Errorf("empty reply %x", got)
	}
	w.Reset(12)
	w.As(3)
	w.Deliver(0x5bf975d3a91c4, 0x3124a07, 80000)
	w.Arm(500000, 77)
	w.As(5)
	w.Trace("two servers known")
	want := unhex(t, "0000000c 00000058 00000005 5c 00000004 00000003",
		"50 00000010 0005bf975d3a91c4 03124a07 00013880 54 00000008 0007a120 0000004d",
		"5c 00000004 00000005 58 00000013 0011 74776f2073657276657273206b6e6f776e")
	if got := w.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	w.Reset(0)
	w.Decline(0xbf5a10e6f2b19, 250000)
	w.Fail(0xbf5a10e6f2b19)
	w.Revoke(0x5bf975d3a91c4, 0)
	w.SoundOut(0x2c9011f2)
	w.LetGo(0x2c9011f2)
	w.WritePeer(AllPeers, []byte("hi 7"))
	w.Exception("index out of range")
	w.Track(true)
	w.ListAll()
	want = unhex(t, "51 0000000c 000bf5a10e6f2b19 0003d090 52 00000008 000bf5a10e6f2b19",
		"53 0000000a 0005bf975d3a91c4 0000 55 00000004 2c9011f2 56 00000004 2c9011f2",
		"57 0000000a ffffffff 0004 68692037 59 00000014 0012 696e646578206f7574206f662072616e6765",
		"5a 00000001 01 5b 00000000")
	if got := w.Bytes()[replyHeaderSize:]; !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}

func TestDelaysOutOfRangeAreClamped(t *testing.T) {
	var w Reply
	w.Reset(0)
	w.Arm(-5, 1)
	w.Arm(math.MaxInt64, 1)
	b := w.Bytes()[replyHeaderSize:]
	if binary.BigEndian.Uint32(b[5:]) != 0 || binary.BigEndian.Uint32(b[18:]) != math.MaxUint32 {
		t.Errorf("%x", b)
	}
}

// A list number names the list of that number sent last before it.
func TestListNumbersResolveInEventOrder(t *testing.T) {
	one := "1a 0000001a 00 00000001 00000001 00 00 0000 00 3f800000 0000000000000000"
	two := "1a 0000001a 00 00000001 00000002 00 00 0000 01 3f800000 0000000000000000"
	d := new(Decoder)
	e := decode(t, d, frame(unhex(t, one, exMembers, two, exMembers)))
	if e[1].Entries[0].ID != 1 || e[3].Entries[0].ID != 2 || e[3].Entries[0].State != balancer.Draining {
		t.Errorf("%+v", e)
	}
	e = decode(t, d, frame(unhex(t, "11 00000006 00000029 00 04", "11 00000006 00000029 09 02")))
	if e[0].Kind != balancer.ListFull || e[0].Entries[0].ID != 2 {
		t.Error("the list does not outlive its batch")
	}
	if e[1].Kind != balancer.ListFailed || e[1].Entries != nil {
		t.Error("a failed poll must not need a list")
	}
}

func TestMalformedRecordIsFrameError(t *testing.T) {
	for _, c := range []struct{ name, records, record, reason string }{
		{"header cut", "12 0000", "record", "needs 5 bytes"},
		{"fields overrun", "12 00000021 00", "request", "overrun"},
		{"fields short", "15 00000004 00000000", "cancelled_by_client", "needs 8"},
		{"fields long", "16 00000005 0000004d 00", "timeout_fired", "too many"},
		{"load count overruns", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 02", "answer", "needs 8"},
		{"config overruns", "10 0000000c 0000000000000000 00000009", "begin", "needs 9"},
		{"entries overrun", "1a 00000005 00 00000002", "manifest", "2 entries"},
		{"bad list number", "1a 00000005 10 00000000", "manifest", "list number 16"},
		{"list not conveyed", "11 00000006 00000029 04 03", "membership", "not been conveyed"},
		{"bad list kind", "11 00000006 00000029 00 07", "membership", "unknown kind 7"},
		{"bad status", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c9 00004844 01 00", "answer", "status 201"},
		{"bad state", "1a 0000001a 00 00000001 00000001 00 00 0000 02 3f800000 0000000000000000", "manifest", "status 2"},
		{"whisper overruns", "18 00000008 0002 0005 68692037", "whisper", "needs 5"},
	} {
		d := new(Decoder)
		if _, _, err := d.Reset(frame(unhex(t, c.records))); err != nil {
			t.Fatal(err)
		}
		var e Event
		err := d.Next(&e)
		var bad *FrameError
		if !errors.As(err, &bad) || bad.Record != c.record || !strings.Contains(bad.Reason, c.reason) ||
			bad.Offset < batchHeaderSize {
			t.Errorf("%s: %v", c.name, err)
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
		var bad *FrameError
		if !errors.As(err, &bad) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := ReadFrame(bytes.NewReader(nil), nil); !errors.Is(err, io.EOF) {
		t.Errorf("clean end: %v", err)
	}
}

func FuzzDecoder(f *testing.F) {
	for _, s := range []string{
		exInstance, exRequest, exTimer, exCancelledByClient, exHeaders, exAnswer, exHealth, exWhisper,
		exManifest + exMembers, "ff 00000002 0102", "1a 00000005 00 ffffffff",
	} {
		f.Add(unhex(f, s))
	}
	f.Fuzz(func(t *testing.T, records []byte) {
		d := new(Decoder)
		if _, _, err := d.Reset(frame(records)); err != nil {
			t.Fatal(err)
		}
		for n := 0; ; n++ {
			var e Event
			err := d.Next(&e)
			if err != nil {
				var bad *FrameError
				if !errors.Is(err, io.EOF) && !errors.As(err, &bad) {
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

const goodSettings = `areas=a,b
classes.count=2
classes.0.name=x
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
classes.1.give-up=600000
classes.1.group=zone
classes.1.repeat=token
classes.1.target=300000
classes.1.window=400000
contract.cold-from=0.14
contract.ramp-time=23000000
discovery=subscribe
future.key=whatever
goal.whole=0.6
limits.most-tries=3
limits.probes=true
prices.probe=0.002
reporting.fields=busy_reqs,served_ps,brand_new
reporting.how=probe
tenants.count=1
tenants.0.allowance-per-s=137.0
tenants.0.name=t
value-by=work
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(goodSettings)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 2 || s.Classes[1].Idempotency != balancer.IdempotentWithKey ||
		s.Classes[1].Group != balancer.GroupZone || s.Classes[1].DedupWindow != 400000 ||
		!s.PollDiscovery || !s.WeightByWork || s.Zones != 2 || s.Limits.MaxAttempts != 3 ||
		s.Goal.Overall != 0.6 || s.Tenants[0].Quota != 137 || s.Prices.Probe != 0.002 {
		t.Errorf("%+v", s)
	}
	if len(s.Fields) != 3 || s.Fields[0] != balancer.FieldInFlight || s.Fields[2] != balancer.FieldOther {
		t.Errorf("fields %v", s.Fields)
	}
	if _, err := balancer.New(s, 1, nil); err != nil {
		t.Errorf("the constructor rejects them: %v", err)
	}
	if s, err = ParseSettings(strings.Replace(goodSettings, "how=probe", "how=none", 1)); err != nil || s.Fields != nil {
		t.Errorf("no reports: %v %v", s.Fields, err)
	}
}

func TestParseSettingsNamesInvalidKey(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{"classes.count=2", "classes.count=3", "classes.count"},
		{"classes.count=2\n", "", "classes.count"},
		{"classes.count=2", "classes.count=-1", "classes.count"},
		{"repeat=pure", "repeat=sometimes", "classes.0.repeat"},
		{"classes.0.target=250000\n", "", "classes.0.target"},
		{"window=400000", "window=soon", "classes.1.window"},
		{"cold-from=0.14", "cold-from=NaN", "contract.cold-from"},
		{"probes=true", "probes=maybe", "limits.probes"},
		{"discovery=subscribe", "discovery=magic", "discovery"},
		{"value-by=work", "no pair", "line 25"},
	} {
		text := strings.Replace(goodSettings, c.old, c.new, 1)
		_, err := ParseSettings(text)
		var bad *balancer.SettingError
		if !errors.As(err, &bad) || bad.Key != c.key {
			t.Errorf("%s -> %s: %v", c.old, c.new, err)
		}
	}
	// Values that parse but make no sense are rejected by the constructor.
	s, err := ParseSettings(strings.Replace(goodSettings, "window=400000", "window=-1", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = balancer.New(s, 1, nil); err == nil || !strings.Contains(err.Error(), "DedupWindow=-1") {
		t.Errorf("negative window: %v", err)
	}
}
