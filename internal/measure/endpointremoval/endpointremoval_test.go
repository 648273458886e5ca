package endpointremoval

import (
	"testing"

	"go.uber.org/goleak"
)

// A short run of the measurement of the removal command, so that each commit is tested with it.
func TestScriptsRemoveInTimeAndEvictNoServer(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, err := Run(Options{Scripts: 16, Parallel: 16, Servers: 4, Steps: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if reason := r.Violation(); reason != "" {
		t.Error(reason)
	}
	if len(r.Removals) < 5 || r.Silences < 3 || r.Requests < 5000 {
		t.Errorf("the scripts did not cause enough removals, outages and requests: %+v", r)
	}
	t.Logf("%+v", r)
}
