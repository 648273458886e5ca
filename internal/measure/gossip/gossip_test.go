package gossip

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// What an instance sends does not grow with the fleet, and what is told comes to all although
// some of the messages are lost.
func TestFlatAndComplete(t *testing.T) {
	rows, err := Run(Options{Sizes: []int{3, 40}, Servers: 20, Span: 8 * time.Second, Loss: 0.05, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if r.Unknown > 0 || r.Entries == 0 {
			t.Errorf("%d instances: %d of %d entries did not come to all within 2 s", r.Instances, r.Unknown, r.Entries)
		}
	}
	if rows[1].Sent > 1.5*rows[0].Sent {
		t.Errorf("%.0f bytes a second for each of 3 instances, %.0f for each of 40", rows[0].Sent, rows[1].Sent)
	}
	var out bytes.Buffer
	if Print(&out, rows); strings.Count(out.String(), "\n") != 3 {
		t.Errorf("printed %q", out.String())
	}
}
