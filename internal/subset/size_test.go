package subset

import (
	"testing"
	"time"
)

func TestSizeGrowsAtOnceAndShrinksAfterDelay(t *testing.T) {
	s := newSubset(t, Config{Instance: "one", MinSize: 10, PerInFlight: 1})
	sizeAfter := func(seconds int, inFlight float64) int {
		s.ObserveLoad(startTime.Add(time.Duration(seconds)*time.Second), inFlight)
		return s.sizing.size
	}
	for _, c := range []struct {
		seconds  int
		inFlight float64
		want     int
	}{
		{0, 0, 10},
		{1, 90, 100},
		{2, 65, 100},
		{3, 20, 100},
		{40, 30, 100},
		{62, 20, 100},
		{63, 20, 40},
		{64, 35, 45},
		{70, 0, 45},
		{80, 40, 50},
		{90, 0, 50},
		{149, 0, 50},
		{150, 0, 10},
	} {
		if got := sizeAfter(c.seconds, c.inFlight); got != c.want {
			t.Errorf("at %d s with %v in flight: size %d, want %d", c.seconds, c.inFlight, got, c.want)
		}
	}
	for n := range 100 {
		sizeAfter(200+n, 50)
		if got := sizeAfter(200+n, 0); got != 60 {
			t.Fatalf("with a burst each second: size %d, want 60", got)
		}
	}
}
