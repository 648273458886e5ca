package tenants

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// A tenant at ten times its share leaves the others theirs; one limit for all does not.
// The bounds are wide, since tests share the machine: the measured figures are in the
// docs.
func TestOneLoudTenant(t *testing.T) {
	rows, err := Run(Options{For: 1500 * time.Millisecond, Rate: 150, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for n := 1; n < 3; n++ {
		if rows[1].Served[n] < 0.85*rows[0].Served[n] {
			t.Errorf("tenant %d: %.3f served beside the loud one, %.3f without it", n, rows[1].Served[n], rows[0].Served[n])
		}
		if rows[3].Served[n] > 0.7 {
			t.Errorf("tenant %d: %.3f served by one limit for all: the load shows nothing", n, rows[3].Served[n])
		}
	}
	if rows[1].Served[0] > 0.5 {
		t.Errorf("the loud one: %.3f served", rows[1].Served[0])
	}
	var out bytes.Buffer
	if Print(&out, rows); strings.Count(out.String(), "\n") != 5 {
		t.Errorf("said %s", out.String())
	}
}
