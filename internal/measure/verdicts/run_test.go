package verdicts

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

// The run of the operators' page, at a size for every commit.
func TestOneVerdictForEachAsk(t *testing.T) {
	defer goleak.VerifyNone(t)
	r, err := Run(Options{Calls: 3000, Callers: 16, Servers: 8, Seed: 5, Change: 250, Short: true, Work: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	if why := r.Broken(); why != "" {
		t.Error(why)
	}
	if r.Codes[200] < r.Calls/2 || r.Removed < 5 || r.Fleet.Dropped == 0 || r.Fleet.TurnedAway == 0 || len(r.Kinds) != 7 {
		t.Errorf("the run did not cause what it is for: %+v", r)
	}
	t.Logf("%+v", r)
}
