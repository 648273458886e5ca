// Package wait lets a test wait for a condition.
package wait

import (
	"testing"
	"time"
)

// Timeout is how long a test waits for what must happen, far longer than anything takes on a busy machine.
const Timeout = 20 * time.Second

// pollInterval is how often a condition is checked.
const pollInterval = 2 * time.Millisecond

// Until waits until condition is true. It ends the test after [Timeout], with what as the name of the condition and
// the text of each of details.
func Until(t testing.TB, what string, condition func() bool, details ...func() string) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().Before(end) {
			continue
		}
		for _, detail := range details {
			t.Log(detail())
		}
		t.Fatalf("waited %v in vain for: %s", Timeout, what)
	}
}
