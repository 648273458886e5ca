package exchange

import (
	"fmt"
	"testing"
	"time"
)

// An id that is retained is refused for idRetention at least, whatever other ids follow up to their limit, and the
// number of retained ids is bounded.
func TestRetainedIDsAreRefusedAndBounded(t *testing.T) {
	now := time.Unix(1_000, 0)
	ids := newRequestIDs(func() time.Time { return now })
	expect := func(id string, want idState) {
		t.Helper()
		if got := ids.begin(id); got != want {
			t.Fatalf("begin(%q) after %v: state %d, want %d", id, now.Sub(time.Unix(1_000, 0)), got, want)
		}
	}
	expect("a", idNew)
	expect("a", idInFlight)
	ids.end("a", false)
	expect("a", idNew)
	now = now.Add(idRetention - 1)
	ids.end("a", true)
	expect("a", idMayHaveRun)
	now = now.Add(idRetention)
	expect("a", idMayHaveRun)
	for i := range maxRetainedIDs - 1 {
		id := fmt.Sprint(i)
		expect(id, idNew)
		ids.end(id, true)
	}
	expect("a", idMayHaveRun)
	for i := range 5 * maxRetainedIDs {
		id := fmt.Sprint("later ", i)
		expect(id, idNew)
		ids.end(id, true)
		if n := len(ids.current) + len(ids.previous); n > 2*maxRetainedIDs {
			t.Fatalf("%d ids are retained, limit %d", n, 2*maxRetainedIDs)
		}
	}
	now = now.Add(3 * idRetention)
	expect("later 1", idNew)
	if n := len(ids.current) + len(ids.previous); n > 0 {
		t.Errorf("%d ids are retained after their time", n)
	}
}
