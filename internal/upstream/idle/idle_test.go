package idle

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

var epoch = time.Unix(1000, 0)

// resetPercent is the percentage of connections that are reset, by idle time.
type resetPercent func(idleTime time.Duration) int

// resetsAfter returns a reset percentage that changes at an idle time.
func resetsAfter(limit time.Duration, before, after int) resetPercent {
	return func(idleTime time.Duration) int {
		if idleTime >= limit {
			return after
		}
		return before
	}
}

// simulate simulates n uses, 5 ms apart, with idle times that cycle through doubling values. It skips
// those that the limit forbids, and returns how many connections were reset beyond the first bin.
func simulate(e *Estimator, at *time.Time, n int, percent resetPercent) (resets int) {
	for i := range n {
		*at = at.Add(5 * time.Millisecond)
		idleTime := 10 * time.Millisecond << (i % 8)
		if idleTime >= e.Limit(*at, time.Minute) {
			continue
		}
		reset := i/8*37%100 < percent(idleTime) // spreads the resets evenly
		if idleTime > minIdleTime && reset {
			resets++
		}
		e.Observe(*at, idleTime, reset)
	}
	return resets
}

func TestLimitFollowsResetRate(t *testing.T) {
	for name, c := range map[string]struct {
		percent resetPercent
		want    time.Duration
	}{
		"no resets":                {resetsAfter(0, 0, 0), time.Minute},
		"7 % at any idle time":     {resetsAfter(0, 7, 7), time.Minute},
		"half":                     {resetsAfter(0, 50, 50), time.Minute},
		"closed after 100 ms":      {resetsAfter(100*time.Millisecond, 0, 100), 100 * time.Millisecond},
		"60 % closed after 400 ms": {resetsAfter(400*time.Millisecond, 5, 60), 400 * time.Millisecond},
	} {
		var estimator Estimator
		at := epoch
		simulate(&estimator, &at, 4000, c.percent)
		// Longer idle times are tried again from time to time, and the limit is higher meanwhile.
		for retries := 0; retries < 50 && estimator.Limit(at, time.Minute) != c.want; retries++ {
			simulate(&estimator, &at, 8, c.percent)
		}
		if got := estimator.Limit(at, time.Minute); got != c.want {
			t.Errorf("%s: limit %v, want %v: %+v", name, got, c.want, estimator.bins)
		}
	}
}

// Once observations have decayed, long idle times are tried again, and finding the limit again costs few resets.
func TestObservationsDecay(t *testing.T) {
	var estimator Estimator
	at := epoch
	percent := resetsAfter(100*time.Millisecond, 0, 100)
	simulate(&estimator, &at, 4000, percent)
	at = at.Add(20 * decayHalfLife)
	if got := estimator.Limit(at, time.Minute); got != time.Minute {
		t.Errorf("after %v: limit %v, want %v", 20*decayHalfLife, got, time.Minute)
	}
	resets := simulate(&estimator, &at, 4000, percent)
	if resets > 40 {
		t.Errorf("%d resets until the limit was found again, want at most 40", resets)
	}
}

// Whatever is observed, the limit is at least the upper bound of the first bin and at most maxIdle; without a reset
// it is maxIdle.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var estimator Estimator
		at, anyReset := epoch, false
		maxIdle := time.Duration(rapid.Int64Range(int64(minIdleTime), int64(time.Hour)).Draw(t, "max_idle"))
		for range rapid.IntRange(0, 300).Draw(t, "uses") {
			at = at.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "step")))
			reset := rapid.Bool().Draw(t, "reset")
			anyReset = anyReset || reset
			idleTime := time.Duration(rapid.Int64Range(-1, int64(2*time.Hour)).Draw(t, "idle_time"))
			estimator.Observe(at, idleTime, reset)
			got := estimator.Limit(at, maxIdle)
			if got > maxIdle || got < min(maxIdle, minIdleTime) || !anyReset && got != maxIdle {
				t.Fatalf("limit %v for a maximum idle time of %v, any reset: %t", got, maxIdle, anyReset)
			}
		}
	})
}
