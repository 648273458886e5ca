package gossip

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// The bytes that an instance sends must not grow with the fleet, and entries must reach all instances although some
// messages are lost.
func TestBytesSentStayFlatAndEntriesReachAll(t *testing.T) {
	rows, err := Run(Options{Sizes: []int{3, 40}, Servers: 20, Span: 8 * time.Second, Loss: 0.05, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if row.Incomplete > 0 || row.Entries == 0 {
			t.Errorf("%d instances: %d of %d entries did not reach all within 2 s",
				row.Instances, row.Incomplete, row.Entries)
		}
	}
	if rows[1].BytesSent > 1.5*rows[0].BytesSent {
		t.Errorf("%.0f bytes per second for each of 3 instances, %.0f for each of 40, want at most 1.5 times as many",
			rows[0].BytesSent, rows[1].BytesSent)
	}
	var out bytes.Buffer
	if rows.Print(&out); strings.Count(out.String(), "\n") != 3 {
		t.Errorf("Print wrote %q, want 3 lines", out.String())
	}
}
