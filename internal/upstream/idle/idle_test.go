package idle

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

var epoch = time.Unix(1000, 0)

// world says how many of a hundred connections break by idle time.
type world func(age time.Duration) int

// use plays n uses of idle ages that double in turn, 5 ms apart, as far as the limit permits, and returns how many of the
// older ones, beyond the first bin, broke.
func use(t *Trust, at *time.Time, n int, breaks world) (broke int) {
	for i := range n {
		*at = at.Add(5 * time.Millisecond)
		age := 10 * time.Millisecond << (i % 8)
		if age >= t.Limit(*at, time.Minute) {
			continue
		}
		bad := i/8*37%100 < breaks(age) // spread evenly
		if age > ageLeast && bad {
			broke++
		}
		t.Saw(*at, age, bad)
	}
	return broke
}

func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		breaks world
		want   time.Duration
	}{
		"nothing breaks":            {func(time.Duration) int { return 0 }, time.Minute},
		"all break alike":           {func(time.Duration) int { return 7 }, time.Minute},
		"half alike":                {func(time.Duration) int { return 50 }, time.Minute},
		"closed after 100 ms":       {func(a time.Duration) int { return map[bool]int{true: 100}[a >= 100*time.Millisecond] }, 100 * time.Millisecond},
		"some, closed after 400 ms": {func(a time.Duration) int { return map[bool]int{true: 60, false: 5}[a >= 400*time.Millisecond] }, 400 * time.Millisecond},
	} {
		var trust Trust
		at := epoch
		use(&trust, &at, 4000, c.breaks)
		// Now and then it is tried whether older ones last again: then the limit is up for a moment.
		for tries := 0; tries < 50 && trust.Limit(at, time.Minute) != c.want; tries++ {
			use(&trust, &at, 8, c.breaks)
		}
		if got := trust.Limit(at, time.Minute); got != c.want {
			t.Errorf("%s: limit %v, want %v: %+v", name, got, c.want, trust.bins)
		}
	}
}

// What was seen fades: once servers keep connections again, they are kept here, and to find out costs few.
func TestForgets(t *testing.T) {
	var trust Trust
	at := epoch
	use(&trust, &at, 4000, func(a time.Duration) int { return map[bool]int{true: 100}[a >= 100*time.Millisecond] })
	at = at.Add(20 * halfLife)
	if got := trust.Limit(at, time.Minute); got != time.Minute {
		t.Errorf("after %v: limit %v", 20*halfLife, got)
	}
	broke := use(&trust, &at, 4000, func(a time.Duration) int { return map[bool]int{true: 100}[a >= 100*time.Millisecond] })
	if broke > 40 {
		t.Errorf("%d broke until it was known again", broke)
	}
}

// Whatever is seen, the limit is above the first bin and not above what is allowed, and without a break it is that.
func TestLimitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var trust Trust
		at, any := epoch, false
		most := time.Duration(rapid.Int64Range(int64(ageLeast), int64(time.Hour)).Draw(t, "most"))
		for range rapid.IntRange(0, 300).Draw(t, "uses") {
			at = at.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "step")))
			broke := rapid.Bool().Draw(t, "broke")
			any = any || broke
			trust.Saw(at, time.Duration(rapid.Int64Range(-1, int64(2*time.Hour)).Draw(t, "age")), broke)
			if got := trust.Limit(at, most); got > most || got < min(most, ageLeast) || !any && got != most {
				t.Fatalf("limit %v of %v", got, most)
			}
		}
	})
}
