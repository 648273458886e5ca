package rotations

import (
	"testing"
	"time"
)

// Three rounds of rotations on either side, with the roots, under load: no request fails because of a rotation, no
// effect is duplicated, and no verification of a server fails. The command rotations makes 500 changes.
func TestNoRequestFailsBecauseOfRotation(t *testing.T) {
	for _, c := range []struct {
		name  string
		http3 bool
	}{
		{name: "HTTP/1.1", http3: false},
		{name: "HTTP/3", http3: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			result, err := Run(Options{
				Rotations: 18,
				HTTP3:     c.http3,
				Clients:   4,
				Servers:   3,
				Settle:    20 * time.Millisecond,
				Dir:       t.TempDir(),
			})
			if err != nil {
				t.Fatal(err)
			}
			if reason := result.Violation(); reason != "" || result.Rotations != 18 || result.Requests == 0 {
				t.Errorf("violation %q, result %+v; want none, 18 rotations and some requests", reason, result)
			}
			fleet, front := result.Stores[fleetKeys], result.Stores[frontKeys]
			if fleet.Accepted < 13 || front.Accepted < 4 || result.Upstream.Full == 0 {
				t.Errorf("too few changes of keys were accepted, or no full handshake was done: %+v", result)
			}
		})
	}
}
