package history

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/tomlfile"
)

// update writes the golden file anew. The format of kept histories may not change: it is for a
// field that is added, and the lines that are there stay.
var update = flag.Bool("update", false, "write the golden file anew")

// goldenHistory has every field set.
func goldenHistory() *History {
	return &History{
		Schedule: &schedule.Schedule{
			Version:      1,
			Name:         "golden",
			Seed:         18446744073709551615,
			LoadDuration: tomlfile.Duration(90 * time.Second),
			Instances:    5,
			Servers:      7,
			Rate:         62.5,
			Agreement:    "soon",
			Faults: []schedule.Fault{
				{Kind: schedule.Loss, Start: tomlfile.Duration(1500 * time.Millisecond), Duration: tomlfile.Duration(2 * time.Second), Target: "i-1",
					Destination: "i-2", Bidirectional: true, Probability: 0.3, Delay: tomlfile.Duration(7 * time.Millisecond)},
				{Kind: schedule.Kill, Start: tomlfile.Duration(time.Minute), Duration: tomlfile.Duration(time.Second), Target: "i-3"},
			},
		},
		Tries: []Try{
			{Effect: "e-1", Class: "order", HasKey: true, Number: 2, Instance: "i-1", Requested: 1000000001, Deadline: 3000000002,
				Ended: 2000000003, Kind: Answered, Code: 502},
			{Effect: "e-2", Class: "price-check", Number: 0, Instance: "i-2", Requested: 4, Deadline: 5, Ended: 6, Kind: Unanswered},
			{Effect: "e-3", Class: "price-check", Number: 1, Instance: "i-2", Requested: 7, Deadline: 8, Ended: 9, Kind: Cancelled},
			{Effect: "e-4", Class: "price-check", Number: 1, Instance: "i-2", Requested: 10, Deadline: 11, Ended: 12, Kind: Broken},
		},
		Views:   []View{{At: 13, Instance: "i-1", Alive: 5}},
		Done:    map[string]int{"e-1": 1, "e-2": 2},
		Twice:   []string{"e-2"},
		Settled: 14,
		Differ:  []string{"copy <of> & \"i-4\""},
		Ends:    []string{"i-5: exit status 2"},
		Claims:  []string{"i-1: 3 granted"},
		Drains: []Drain{{Server: "s-1", Until: 15, Notified: map[string]time.Duration{"i-1": 16, "i-2": 17},
			Sent: map[string][]time.Duration{"i-1": {18, 19}, "i-2": {20}}}},
		Stalls: []Stall{{From: 21, Until: 22}},
	}
}

// requireFieldsSet fails for each field that no element of the value sets: an unset field is not
// covered by the golden file. Of a slice one element must set it.
func requireFieldsSet(t *testing.T, path string, values []reflect.Value) {
	t.Helper()
	var found []reflect.Value
	for _, value := range values {
		if !value.IsZero() {
			found = append(found, value)
		}
	}
	if len(found) == 0 {
		t.Errorf("%s is not set", path)
		return
	}
	var elements []reflect.Value
	switch kind := found[0].Kind(); kind {
	case reflect.Pointer:
		for _, value := range found {
			elements = append(elements, value.Elem())
		}
		requireFieldsSet(t, path, elements)
	case reflect.Slice:
		for _, value := range found {
			for i := range value.Len() {
				elements = append(elements, value.Index(i))
			}
		}
		requireFieldsSet(t, path+"[]", elements)
	case reflect.Struct:
		for i := range found[0].NumField() {
			var fields []reflect.Value
			for _, value := range found {
				fields = append(fields, value.Field(i))
			}
			requireFieldsSet(t, path+"."+found[0].Type().Field(i).Name, fields)
		}
	}
}

func TestGoldenHistoryReadsToSameValuesAndWritesSameBytes(t *testing.T) {
	want := goldenHistory()
	requireFieldsSet(t, "History", []reflect.Value{reflect.ValueOf(want)})
	file := filepath.Join("testdata", "history.json")
	if *update {
		data, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	read := &History{}
	decoder := json.NewDecoder(bytes.NewReader(golden))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, want) {
		t.Errorf("read %+v, want %+v", read, want)
	}
	written, err := json.Marshal(read)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, golden) {
		t.Errorf("written %s\nwant %s", written, golden)
	}
}
