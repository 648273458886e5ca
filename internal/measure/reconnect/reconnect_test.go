package reconnect

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestFleetIsConnectedCompletely(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget bool
	}{
		{name: "without a budget", budget: false},
		{name: "with a budget", budget: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			result, err := Run(Options{
				Servers:     4,
				Instances:   2,
				Connections: 5,
				Budget:      c.budget,
				Limit:       200,
				All:         500,
				Timeout:     time.Minute,
			})
			if err != nil {
				t.Fatal(err)
			}
			if result.Handshakes != 40 || result.Completed < 0 {
				t.Errorf("not all connections were established: %+v", result)
			}
			if hasBound := result.Bound > 0; hasBound != c.budget || result.Peak < 1 {
				t.Errorf("%d handshakes in the busiest second, bound %.0f", result.Peak, result.Bound)
			}
			var out bytes.Buffer
			if (Results{result}).Print(&out); strings.Count(out.String(), "\n") != 2 {
				t.Errorf("Print wrote %q, want 2 lines", out.String())
			}
		})
	}
}

func TestMaxPerSecondCountsEveryWindow(t *testing.T) {
	start := time.Now()
	for _, c := range []struct {
		name    string
		offsets []time.Duration
		want    int
	}{
		{name: "none", want: 0},
		{name: "all within a second", offsets: []time.Duration{0, 999 * time.Millisecond}, want: 2},
		{name: "a second apart", offsets: []time.Duration{0, time.Second}, want: 1},
		{
			name:    "in any order, across full seconds",
			offsets: []time.Duration{1400 * time.Millisecond, 0, 600 * time.Millisecond, 1500 * time.Millisecond},
			want:    3,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var times []time.Time
			for _, offset := range c.offsets {
				times = append(times, start.Add(offset))
			}
			if got := maxPerSecond(times); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
