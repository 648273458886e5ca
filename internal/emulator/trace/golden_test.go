package trace

import (
	"bytes"
	"flag"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// update rewrites the golden file. The format of recorded traces must not change without a new Version.
var update = flag.Bool("update", false, "rewrite the golden file")

// goldenHeader has every field set except FormatVersion, which the writer sets.
var goldenHeader = Header{
	Host:   Sockets,
	Policy: "pinedale",
	Seed:   math.MaxUint64,
	Scenario: `version = 1
name = "<golden> & more"
`,
}

// goldenEvents has every kind of event, one event with every field set, and one with as few fields as possible.
var goldenEvents = []Event{
	{
		At:       1,
		Kind:     KindRequest,
		Number:   math.MaxUint64,
		Try:      2,
		Attempt:  3,
		Instance: 4,
		Server:   5,
		Class:    6,
		Code:     7,
	},
	{At: 2, Kind: KindAttempt, Number: 1, Try: 1, Attempt: 1, Instance: 2, Server: 3},
	{At: 3, Kind: KindAttemptEnd, Number: 1, Try: 1, Attempt: 1, Instance: 2, Server: 3, Code: 1},
	{At: 4, Kind: KindResponse, Number: 1, Try: 1, Instance: 2, Code: 502},
	{At: 5, Kind: KindEndpoint, Instance: 1, Server: 2, Code: 2},
	{At: 6, Kind: KindCollapse, Server: 3},
	{At: 1<<53 + 1, Kind: KindCollapse}, // not representable as a floating-point number
}

// writeTrace returns the bytes of a complete trace.
func writeTrace(t *testing.T, header Header, events []Event) []byte {
	t.Helper()
	var out bytes.Buffer
	writer := NewWriter(&out, header)
	for _, event := range events {
		writer.Write(event)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestGoldenTraceReadsToSameValuesAndWritesSameBytes(t *testing.T) {
	for i, first := 0, reflect.ValueOf(goldenEvents[0]); i < first.NumField(); i++ {
		if first.Field(i).IsZero() {
			t.Errorf("Event.%s is not set", first.Type().Field(i).Name)
		}
	}
	file := filepath.Join("testdata", "trace.jsonl")
	if *update {
		if err := os.WriteFile(file, writeTrace(t, goldenHeader, goldenEvents), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	header, events, err := readAll(string(golden))
	if err != nil {
		t.Fatal(err)
	}
	wantHeader := goldenHeader
	wantHeader.FormatVersion = 1 // a literal, so that a change of Version does not change the expected version
	if header != wantHeader {
		t.Errorf("read header %+v, want %+v", header, wantHeader)
	}
	if !reflect.DeepEqual(events, goldenEvents) {
		t.Errorf("read events %+v, want %+v", events, goldenEvents)
	}
	if written := writeTrace(t, header, events); !bytes.Equal(written, golden) {
		t.Errorf("wrote %s\nwant %s", written, golden)
	}
}
