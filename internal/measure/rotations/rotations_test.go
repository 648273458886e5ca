package rotations

import (
	"testing"
	"time"
)

// Three rounds of rotations on either side, roots included, under load and over both protocols: no request fails
// for one, none is done twice, and no server fails its verification. The command plays 500.
func TestNoRequestFailsForARotation(t *testing.T) {
	for name, three := range map[string]bool{"HTTP/1.1": false, "HTTP/3": true} {
		t.Run(name, func(t *testing.T) {
			r, err := Run(Options{Rotations: 18, HTTP3: three, Clients: 4, Servers: 3, Settle: 20 * time.Millisecond, Dir: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			if reason := r.Broken(); reason != "" || r.Rotations != 18 || r.Requests == 0 {
				t.Errorf("%s: %+v", reason, r)
			}
			if r.Keys["fleet"].Accepted < 13 || r.Keys["front"].Accepted < 4 || r.Security.Full == 0 {
				t.Errorf("too little has changed: %+v", r)
			}
		})
	}
}
