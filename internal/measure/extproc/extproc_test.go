package extproc

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

// A short run of the measurement of the verdicts command, so that each commit is tested with it.
func TestRunKeepsAllRulesUnderFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, err := Run(Options{
		Calls:        3000,
		Callers:      16,
		Servers:      8,
		Seed:         5,
		ChangeEvery:  250,
		ShortWindows: true,
		ServiceTime:  time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if reason := r.Violation(); reason != "" {
		t.Error(reason)
	}
	if r.Codes[200] < r.Calls/2 || r.Removed < 5 || r.Backends.Deduplicated == 0 || r.Backends.Rejected == 0 ||
		len(r.CallKinds) != 7 {
		t.Errorf("the run did not cover the cases that it is meant to cause: %+v", r)
	}
	t.Logf("%+v", r)
}

// Both fronts serve, reject and fail equally many requests of a load, if neither retries nor differences between
// servers make the results random.
func TestFrontsAnswerSameLoadAlike(t *testing.T) {
	defer goleak.VerifyNone(t)
	report, err := Fronts(Options{Calls: 1500, Servers: 8, Seed: 3, ShortWindows: true, NoRetries: true}, true)
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
		t.Errorf("the load did not cause enough rejected, failed and served requests: %+v", sum)
	}
}
