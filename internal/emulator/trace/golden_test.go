package trace

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// update writes the golden file anew. The format of kept traces may not change without a new
// Version.
var update = flag.Bool("update", false, "write the golden file anew")

// goldenHead has every field set but Trace, which the writer sets.
var goldenHead = Header{Host: Sockets, Policy: "pinedale", Seed: 18446744073709551615, Scenario: "version = 1\nname = \"<golden> & more\"\n"}

// goldenEvents have every kind, every field set, and one event with all that may be left out left out.
var goldenEvents = []Event{
	{At: 1, Kind: KindRequest, Number: 18446744073709551615, Try: 2, Attempt: 3, Instance: 4, Server: 5, Class: 6, Code: 7},
	{At: 2, Kind: KindAttempt, Number: 1, Try: 1, Attempt: 1, Instance: 2, Server: 3},
	{At: 3, Kind: KindAttemptEnd, Number: 1, Try: 1, Attempt: 1, Instance: 2, Server: 3, Code: 1},
	{At: 4, Kind: KindResponse, Number: 1, Try: 1, Instance: 2, Code: 502},
	{At: 5, Kind: KindEndpoint, Instance: 1, Server: 2, Code: 2},
	{At: 6, Kind: KindCollapse, Server: 3},
	{At: 9007199254740993, Kind: KindCollapse},
}

// writeTrace returns a whole trace as it is in a file.
func writeTrace(t *testing.T, head Header, events []Event) []byte {
	t.Helper()
	var out bytes.Buffer
	writer := NewWriter(&out, head)
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
		if err := os.WriteFile(file, writeTrace(t, goldenHead, goldenEvents), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	head, events, err := read(string(golden))
	if err != nil {
		t.Fatal(err)
	}
	wantHead := goldenHead
	wantHead.FormatVersion = 1 // the literal: the version of the file does not follow the constant
	if head != wantHead {
		t.Errorf("read head %+v, want %+v", head, wantHead)
	}
	if !reflect.DeepEqual(events, goldenEvents) {
		t.Errorf("read events %+v, want %+v", events, goldenEvents)
	}
	if written := writeTrace(t, head, events); !bytes.Equal(written, golden) {
		t.Errorf("written %s\nwant %s", written, golden)
	}
}
