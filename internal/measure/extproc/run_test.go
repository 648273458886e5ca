package extproc

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

// The run of the operators' page, at a size for every commit.
func TestOneDecisionForEachStream(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, err := Run(Options{Calls: 3000, Callers: 16, Servers: 8, Seed: 5, Change: 250, Short: true, Work: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if reason := r.Broken(); reason != "" {
		t.Error(reason)
	}
	if r.Codes[200] < r.Calls/2 || r.Removed < 5 || r.Fleet.Deduplicated == 0 || r.Fleet.Rejected == 0 || len(r.Kinds) != 7 {
		t.Errorf("the run did not cause what it is for: %+v", r)
	}
	t.Logf("%+v", r)
}

// The same load through both fronts, where nothing random separates them, is
// served, refused and failed alike.
func TestBothFrontsAlike(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b, err := Fronts(Options{Calls: 1500, Servers: 8, Seed: 3, Short: true, Once: true}, true)
	if err != nil {
		t.Fatal(err)
	}
	var sum Tally
	for class, x := range a {
		y := b[class]
		if y == nil || *x != *y {
			t.Errorf("%s: over HTTP %+v, over the processor %+v", class, x, y)
		}
		sum.Served, sum.Rejected, sum.Failed = sum.Served+x.Served, sum.Rejected+x.Rejected, sum.Failed+x.Failed
	}
	if len(a) != 4 || sum.Rejected < 20 || sum.Failed < 10 || sum.Served < 1000 {
		t.Errorf("the load did not cause what it is for: %+v", sum)
	}
}
