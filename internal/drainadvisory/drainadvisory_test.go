package drainadvisory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// reportsOf returns a report of an incarnation by each of the origins.
func reportsOf(incarnation string, age time.Duration, origins ...string) []Report {
	var reports []Report
	for _, origin := range origins {
		reports = append(reports, Report{Origin: origin, Incarnation: incarnation, Age: age})
	}
	return reports
}

func TestWithholdingNeedsEnoughValidReports(t *testing.T) {
	ready := []string{"s-1@0", "s-2@0", "s-3@5", "s-4@0", "s-5@0", "s-6@0"}
	for name, c := range map[string]struct {
		reports []Report
		want    []string
	}{
		"no report":                      {nil, nil},
		"one reporter":                   {reportsOf("s-1@0", 0, "i-2"), nil},
		"one reporter repeatedly":        {reportsOf("s-1@0", 0, "i-2", "i-2", "i-2"), nil},
		"one reporter and this instance": {reportsOf("s-1@0", 0, "i-1", "i-2"), nil},
		"two reporters":                  {reportsOf("s-1@0", 0, "i-2", "i-3"), []string{"s-1@0"}},
		"two expired reports":            {reportsOf("s-1@0", MaxReportAge+1, "i-2", "i-3"), nil},
		"an earlier incarnation":         {reportsOf("s-3@0", 0, "i-2", "i-3"), nil},
		"an endpoint that is not listed": {reportsOf("s-9@0", 0, "i-2", "i-3"), nil},
		"more endpoints than the ratio": {
			slices.Concat(
				reportsOf("s-1@0", 0, "i-2", "i-3"),
				reportsOf("s-2@0", 0, "i-2", "i-3"),
				reportsOf("s-3@5", 0, "i-2", "i-3"),
				reportsOf("s-4@0", 0, "i-2", "i-3"),
			),
			[]string{"s-1@0", "s-2@0"},
		},
		"more endpoints than the ratio with different numbers of reporters": {
			slices.Concat(
				reportsOf("s-1@0", 0, "i-2", "i-3"),
				reportsOf("s-2@0", 0, "i-2", "i-3"),
				reportsOf("s-6@0", 0, "i-2", "i-3", "i-4"),
			),
			[]string{"s-1@0", "s-6@0"},
		},
	} {
		if got := Withheld("i-1", ready, c.reports); !slices.Equal(got, c.want) {
			t.Errorf("%s: withheld %v, want %v", name, got, c.want)
		}
	}
}

func TestOfTwoEndpointsNoneIsWithheld(t *testing.T) {
	ready := []string{"s-1@0", "s-2@0"}
	if got := Withheld("i-1", ready, reportsOf("s-1@0", 0, "i-2", "i-3")); len(got) > 0 {
		t.Errorf("%v withheld although there are only two endpoints", got)
	}
}

// drawReports draws reports. Some of them are by this instance, expired, or about an endpoint that
// is not ready.
func drawReports(t *rapid.T) []Report {
	var reports []Report
	for range rapid.IntRange(0, 60).Draw(t, "reports") {
		reports = append(reports, Report{
			Origin:      fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "origin")),
			Incarnation: fmt.Sprint("s-", rapid.IntRange(0, 14).Draw(t, "endpoint")),
			Age:         time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Second,
		})
	}
	return reports
}

// validReporters returns the instances other than self that report an incarnation.
func validReporters(self, incarnation string, reports []Report) map[string]bool {
	reporters := map[string]bool{}
	for _, r := range reports {
		if r.Incarnation == incarnation && r.Origin != self && r.Age <= MaxReportAge {
			reporters[r.Origin] = true
		}
	}
	return reporters
}

// For any reports, each withheld endpoint is ready and has enough reporters, at least two thirds of
// the endpoints remain, a single reporter has no effect, and the order of the reports does not matter.
func TestWithholdingIsBounded(t *testing.T) {
	const self = "i-0"
	rapid.Check(t, func(t *rapid.T) {
		var ready []string
		for n := range rapid.IntRange(0, 12).Draw(t, "ready") {
			ready = append(ready, fmt.Sprint("s-", n))
		}
		reports := drawReports(t)
		withheld := Withheld(self, ready, reports)
		if 3*len(withheld) > len(ready) {
			t.Fatalf("%d of %d endpoints are withheld, want at most a third", len(withheld), len(ready))
		}
		for _, incarnation := range withheld {
			reporters := validReporters(self, incarnation, reports)
			if !slices.Contains(ready, incarnation) || len(reporters) < MinReporters {
				t.Fatalf("%s is withheld on the reports of %v", incarnation, reporters)
			}
		}
		ofOneInstance := slices.DeleteFunc(slices.Clone(reports), func(r Report) bool { return r.Origin != "i-3" })
		if got := Withheld(self, ready, ofOneInstance); len(got) > 0 {
			t.Fatalf("%v are withheld on the reports of one instance", got)
		}
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		if got := Withheld(self, ready, shuffled); !slices.Equal(got, withheld) {
			t.Fatalf("with the reports in another order %v are withheld, want %v", got, withheld)
		}
	})
}
