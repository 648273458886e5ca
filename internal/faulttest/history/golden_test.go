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

// update rewrites the golden file. The format of stored histories must not change: use the flag only after adding a
// field, and check that all existing fields stay as they are.
var update = flag.Bool("update", false, "rewrite the golden file")

// goldenHistory returns a history in which every field is set.
func goldenHistory() *History {
	return &History{
		Schedule: goldenSchedule(),
		Attempts: []Attempt{
			{
				Effect:    "e-1",
				Class:     "order",
				HasKey:    true,
				Number:    2,
				Instance:  "i-1",
				Requested: 1000000001,
				Deadline:  3000000002,
				Ended:     2000000003,
				Outcome:   Answered,
				Status:    502,
			},
			goldenAttempt("e-2", 0, 4, Unanswered),
			goldenAttempt("e-3", 1, 7, Cancelled),
			goldenAttempt("e-4", 1, 10, Broken),
		},
		Views:              []View{{At: 13, Instance: "i-1", Alive: 5}},
		Executions:         map[string]int{"e-1": 1, "e-2": 2},
		DuplicateEffects:   []string{"e-2"},
		ConvergenceTime:    14,
		ReplicaDifferences: []string{`copy <of> & "i-4"`},
		UnexpectedExits:    []string{"i-5: exit status 2"},
		LeaseCounts:        []string{"i-1: 3 granted"},
		Drains: []Drain{{
			Server:   "s-1",
			End:      15,
			Notified: map[string]time.Duration{"i-1": 16, "i-2": 17},
			Sent:     map[string][]time.Duration{"i-1": {18, 19}, "i-2": {20}},
		}},
		Stalls: []Stall{{Start: 21, End: 22}},
	}
}

// goldenAttempt returns an attempt without a response, with consecutive times.
func goldenAttempt(effect string, number int, requested time.Duration, outcome Outcome) Attempt {
	return Attempt{
		Effect:    effect,
		Class:     "price-check",
		Number:    number,
		Instance:  "i-2",
		Requested: requested,
		Deadline:  requested + 1,
		Ended:     requested + 2,
		Outcome:   outcome,
	}
}

// goldenSchedule returns a schedule in which every field is set.
func goldenSchedule() *schedule.Schedule {
	return &schedule.Schedule{
		Version:      1,
		Name:         "golden",
		Seed:         18446744073709551615,
		LoadDuration: tomlfile.Duration(90 * time.Second),
		Instances:    5,
		Servers:      7,
		Rate:         62.5,
		Agreement:    schedule.AgreeSoon,
		Faults: []schedule.Fault{
			{
				Kind:          schedule.Loss,
				Start:         tomlfile.Duration(1500 * time.Millisecond),
				Duration:      tomlfile.Duration(2 * time.Second),
				Target:        "i-1",
				Destination:   "i-2",
				Bidirectional: true,
				Probability:   0.3,
				Delay:         tomlfile.Duration(7 * time.Millisecond),
			},
			{
				Kind:     schedule.Kill,
				Start:    tomlfile.Duration(time.Minute),
				Duration: tomlfile.Duration(time.Second),
				Target:   "i-3",
			},
		},
	}
}

// requireFieldsSet fails for each field that is zero in all values, since the golden file does not cover such a field.
// The elements of a slice count as one set of values.
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
