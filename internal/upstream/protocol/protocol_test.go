package protocol

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

var epoch = time.Unix(1_000_000_000, 0)

// at returns the instant that is some seconds after epoch.
func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func TestChoiceFollowsResults(t *testing.T) {
	tracker := New()
	expect := func(seconds int, http3, attempt bool) {
		t.Helper()
		gotHTTP3, gotAttempt := tracker.Choose(at(seconds), "x")
		if gotHTTP3 != http3 || gotAttempt != attempt {
			t.Errorf("after %d s: HTTP/3 %v, attempt %v; want %v, %v", seconds, gotHTTP3, gotAttempt, http3, attempt)
		}
	}
	expect(0, false, true)  // unknown address
	expect(0, false, false) // being attempted
	tracker.Record(at(1), "x", Established)
	expect(1, true, false)
	tracker.Record(at(2), "x", Failed)
	expect(2, false, false)
	expect(6, false, false)
	expect(7, false, true) // 5 s after the failure
	tracker.Record(at(7), "x", Failed)
	expect(16, false, false)
	expect(17, false, true) // 10 s after the failure
	tracker.Record(at(17), "x", Established)
	tracker.Record(at(18), "x", Failed)
	expect(23, false, true) // the initial backoff applies again
	tracker.Remove("x")
	tracker.Record(at(24), "x", Established)
	expect(24, false, true) // a result for a removed address is ignored
}

// There is at most one attempt at a time, HTTP/3 is used only after a success, and the backoff is bounded.
func TestOneAttemptAtATimeWithBoundedBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := New(), epoch
		attempting, supported, failed := false, false, time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			if rapid.Bool().Draw(t, "use") {
				http3, attempt := tracker.Choose(now, "x")
				if http3 != supported || attempt && (attempting || supported) {
					t.Fatalf("HTTP/3 %v, attempt %v; want supported %v, attempting %v",
						http3, attempt, supported, attempting)
				}
				if !attempt && !attempting && !supported && now.Sub(failed) >= maxBackoff {
					t.Fatal("HTTP/3 is not attempted after the longest backoff")
				}
				attempting = attempting || attempt
			} else if attempting || supported {
				supported = rapid.Bool().Draw(t, "ok")
				result := Failed
				if supported {
					result = Established
				}
				tracker.Record(now, "x", result)
				attempting = false
				if !supported {
					failed = now
				}
			}
		}
	})
}

// A deferred attempt says nothing about the address: it is repeated a second later, and does not
// change the backoff after a failure.
func TestDeferredAttemptDoesNotRaiseBackoff(t *testing.T) {
	tracker := New()
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	tracker.Choose(at(0), "x")
	for n := range 10 {
		tracker.Record(at(float64(n)), "x", Deferred)
		if http3, attempt := tracker.Choose(at(float64(n)+0.5), "x"); http3 || attempt {
			t.Errorf("deferred %d times: attempted after half a second", n+1)
		}
		if _, attempt := tracker.Choose(at(float64(n)+1), "x"); !attempt {
			t.Errorf("deferred %d times: not attempted after a second", n+1)
		}
	}
	tracker.Record(at(10), "x", Failed)
	if _, attempt := tracker.Choose(at(14), "x"); attempt {
		t.Error("attempted 4 s after a failure")
	}
	if _, attempt := tracker.Choose(at(15), "x"); !attempt {
		t.Error("not attempted after the initial backoff")
	}
}
