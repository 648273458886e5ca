package schedule

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// What is drawn makes sense, ends within the load, and is the same for the same seed, also
// after it was written and read.
func TestDraw(t *testing.T) {
	kinds := map[Kind]bool{}
	rapid.Check(t, func(t *rapid.T) {
		seed, instances := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 24).Draw(t, "instances")
		s := Draw(seed, instances, 6, 8*time.Second)
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(s, Draw(seed, instances, 6, 8*time.Second)) {
			t.Fatal("the same seed draws another schedule")
		}
		if s.LastFault() > time.Duration(s.Length) {
			t.Fatalf("the last fault ends at %v", s.LastFault())
		}
		var back Schedule
		if b, err := json.Marshal(s); err != nil || json.Unmarshal(b, &back) != nil || !reflect.DeepEqual(*s, back) {
			t.Fatalf("%+v comes back as %+v", s, back)
		}
		for _, f := range s.Faults {
			kinds[f.Kind] = true
		}
	})
	for _, k := range append(slices.Clone(processKinds), pathKinds...) {
		if !kinds[k] && k != Build {
			t.Errorf("no %s was drawn", k)
		}
	}
}

// Shrinking finds the faults that it takes, whichever they are.
func TestShrink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Draw(rapid.Uint64().Draw(t, "seed"), 5, 6, 8*time.Second)
		need := map[string]bool{}
		for _, f := range s.Faults {
			if rapid.Bool().Draw(t, "needed") {
				need[f.String()] = true
			}
		}
		got := s.Shrink(func(s *Schedule) bool {
			have := map[string]bool{}
			for _, f := range s.Faults {
				have[f.String()] = true
			}
			for f := range need {
				if !have[f] {
					return false
				}
			}
			return true
		})
		if len(got.Faults) != len(need) {
			t.Fatalf("%d faults are left, %d are needed", len(got.Faults), len(need))
		}
	})
}

func TestParse(t *testing.T) {
	good := `version = 1
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
	if s, err := Parse([]byte(good)); err != nil || len(s.Faults) != 1 || s.LastFault() != 3*time.Second {
		t.Fatalf("%+v, %v", s, err)
	}
	for change, want := range map[string]string{
		`kind = "cut"|kind = "flood"`:       "line 6: fault[0].kind",
		`for = "2s"|for = "6s"`:             "the load lasts 6s",
		`to = "i-3"|to = "i-1"`:             "there is no way",
		`of = "i-1"|of = "i-9"`:             "is neither an instance",
		`both = true|share = 0.5`:           "is not what a",
		`instances = 3|instances = 2`:       "is not in 3 to 24",
		`version = 1|version = 7`:           "known version",
		`kind = "cut"|kind = "kill"`:        "is of one process",
		`for = "2s"|`:                       "every fault ends",
		`name = "triangle"|agree = "maybe"`: "is not one of never, soon, always",
	} {
		from, to, _ := strings.Cut(change, "|")
		if _, err := Parse([]byte(strings.Replace(good, from, to, 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", change, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("version = 1\ninstances = 3\n[[fault]]\nkind = \"kill\"\nof = \"i-1\"\nfor = \"1s\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse(data); err == nil && s.Check() != nil {
			t.Fatalf("%+v is taken, and %v", s, s.Check())
		}
	})
}
