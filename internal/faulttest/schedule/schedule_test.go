package schedule

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/internal/tomlfile"

	_ "pinedale/internal/standin/seeds"
)

const (
	testServers      = 6
	testLoadDuration = 8 * time.Second
)

func TestDrawnSchedulesAreValidAndReproducible(t *testing.T) {
	drawn := map[Kind]bool{}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		instances := rapid.IntRange(minInstances, maxInstances).Draw(t, "instances")
		schedule := Draw(seed, instances, testServers, testLoadDuration)
		if err := schedule.Validate(); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(schedule, Draw(seed, instances, testServers, testLoadDuration)) {
			t.Fatalf("seed %d: a second call of Draw returned another schedule", seed)
		}
		if schedule.LastFaultEnd() > testLoadDuration {
			t.Fatalf("the last fault ends at %v, after the load", schedule.LastFaultEnd())
		}
		requireRoundTrip(t, schedule)
		for _, fault := range schedule.Faults {
			drawn[fault.Kind] = true
		}
	})
	for _, kind := range slices.Concat(processKinds, pathKinds) {
		if !drawn[kind] && kind != Upgrade {
			t.Errorf("no fault of kind %q was drawn", kind)
		}
	}
}

// requireRoundTrip fails unless a schedule is unchanged after encoding it as JSON and decoding the result.
func requireRoundTrip(t *rapid.T, schedule *Schedule) {
	encoded, err := json.Marshal(schedule)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Schedule
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*schedule, decoded) {
		t.Fatalf("%+v was decoded as %+v", schedule, decoded)
	}
}

func TestShrinkKeepsExactlyTheNecessaryFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := Draw(rapid.Uint64().Draw(t, "seed"), 5, testServers, testLoadDuration)
		necessary := map[string]bool{}
		for _, fault := range schedule.Faults {
			if rapid.Bool().Draw(t, "necessary") {
				necessary[fault.String()] = true
			}
		}
		shrunk := schedule.Shrink(func(candidate *Schedule) bool {
			present := map[string]bool{}
			for _, fault := range candidate.Faults {
				present[fault.String()] = true
			}
			for fault := range necessary {
				if !present[fault] {
					return false
				}
			}
			return true
		})
		if len(shrunk.Faults) != len(necessary) {
			t.Fatalf("%d faults are left, %d are necessary", len(shrunk.Faults), len(necessary))
		}
	})
}

const validFile = `version = 1
name = "triangle"
instances = 3
length = "6s"
[[fault]]
kind = "cut"
at = "1s"
for = "2s"
of = "i-1"
to = "i-3"
both = true
`

func TestParseAcceptsValidFile(t *testing.T) {
	schedule, err := Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if len(schedule.Faults) != 1 || schedule.LastFaultEnd() != 3*time.Second {
		t.Fatalf("parsed schedule %+v, want one fault that ends at 3 s", schedule)
	}
}

func TestParseRejectsInvalidValues(t *testing.T) {
	for _, test := range []struct {
		name     string
		old, new string // the change to validFile
		want     string // part of the error
	}{
		{"unknown kind", `kind = "cut"`, `kind = "flood"`, "line 6: fault[0].kind"},
		{"end after the load", `for = "2s"`, `for = "6s"`, "the load lasts 6s"},
		{"path to itself", `to = "i-3"`, `to = "i-1"`, "there is no network path"},
		{"unknown instance", `of = "i-1"`, `of = "i-9"`, "is neither an instance"},
		{"probability of a partition", `both = true`, `share = 0.5`, "is not valid for a fault of kind"},
		{"too few instances", `instances = 3`, `instances = 2`, "is not in 3 to 24"},
		{"unknown version", `version = 1`, `version = 7`, "known version"},
		{"path of a process fault", `kind = "cut"`, `kind = "kill"`, "affects one process"},
		{"no duration", `for = "2s"`, ``, "missing duration"},
		{"unknown agreement", `name = "triangle"`, `agree = "maybe"`, "is not one of never, soon, always"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validFile, test.old, test.new, 1)))
			var keyError *tomlfile.Error
			if !errors.As(err, &keyError) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want a *tomlfile.Error with %q", err, test.want)
			}
		})
	}
}

// Each schedule that Parse accepts must be valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte("version = 1\ninstances = 3\n[[fault]]\nkind = \"kill\"\nof = \"i-1\"\nfor = \"1s\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		schedule, err := Parse(data)
		if err != nil {
			return
		}
		if err := schedule.Validate(); err != nil {
			t.Fatalf("%+v was accepted, but is invalid: %v", schedule, err)
		}
	})
}
