package extproc

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

// The run of the operators' page, at a size for every commit.
func TestRunKeepsAllRulesUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, err := Run(Options{
		Calls:       3000,
		Callers:     16,
		Servers:     8,
		Seed:        5,
		ChangeEvery: 250,
		Short:       true,
		ServiceTime: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if reason := r.Violation(); reason != "" {
		t.Error(reason)
	}
	if r.Codes[200] < r.Calls/2 || r.Removed < 5 || r.Backends.Deduplicated == 0 || r.Backends.Rejected == 0 ||
		len(r.CallKinds) != 7 {
		t.Errorf("the run did not cause what it is for: %+v", r)
	}
	t.Logf("%+v", r)
}

// The same load through both fronts is served, rejected and failed alike if nothing random separates them.
func TestFrontsAnswerSameLoadAlike(t *testing.T) {
	defer goleak.VerifyNone(t)
	report, err := Fronts(Options{Calls: 1500, Servers: 8, Seed: 3, Short: true, NoRetries: true}, true)
	if err != nil {
		t.Fatal(err)
	}
	var sum Tally
	for class, tally := range report.HTTP {
		other := report.Processor[class]
		if other == nil || *tally != *other {
			t.Errorf("%s: over HTTP %+v, over the processor %+v", class, tally, other)
		}
		sum.Served += tally.Served
		sum.Rejected += tally.Rejected
		sum.Failed += tally.Failed
	}
	if len(report.HTTP) != 4 || sum.Rejected < 20 || sum.Failed < 10 || sum.Served < 1000 {
		t.Errorf("the load did not cause what it is for: %+v", sum)
	}
}
