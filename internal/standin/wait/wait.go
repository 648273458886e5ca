// Package wait lets a test wait for a condition.
package wait

import (
	"testing"
	"time"
)

// Timeout is how long a test waits for a condition, far longer than any takes to become true on a busy machine.
const Timeout = 20 * time.Second

// pollInterval is how often a condition is checked.
const pollInterval = 2 * time.Millisecond

// Until waits until condition is true. After [Timeout] it logs the text of each of details and ends the test with a
// message that contains what, a description of the condition.
func Until(t testing.TB, what string, condition func() bool, details ...func() string) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().Before(end) {
			continue
		}
		for _, detail := range details {
			t.Log(detail())
		}
		t.Fatalf("timed out after %v waiting for: %s", Timeout, what)
	}
}
