// Package wait has tests wait for what must come, and fail where it does not.
package wait

import (
	"testing"
	"time"
)

// Patience is how long a test waits: far longer than anything takes on a machine
// that does much else.
const Timeout = 20 * time.Second

// Until waits until something is so, and ends the test where it does not come. more
// says what else the failure is to tell.
func Until(t testing.TB, what string, is func() bool, more ...func() string) {
	t.Helper()
	for end := time.Now().Add(Timeout); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			for _, f := range more {
				t.Log(f())
			}
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}
