package app

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/wait"
)

// One server presents the certificate of another server, an expired one, or one of an unknown root. Over either
// protocol it gets no request, and the other server responds to all requests. The counters name the reason.
func TestRequestsAvoidServersThatFailVerification(t *testing.T) {
	const requests = 30
	root, unknownRoot := ca.New(t, "root"), ca.New(t, "other")
	for _, test := range []struct {
		name, reason string
		presented    *ca.Pair
	}{
		{"certificate of another server", "names", root.IssueFor(time.Hour, "s-1.example.org")},
		{"unknown root", "chain", unknownRoot.IssueFor(time.Hour, "s-0.example.org")},
		{"expired certificate", "over", issueExpired(root, "s-0.example.org")},
	} {
		for _, protocol := range []struct {
			name  string
			http3 bool
		}{
			{"HTTP1", false},
			{"HTTP3", true},
		} {
			t.Run(test.name+"/"+protocol.name, func(t *testing.T) {
				i := startTLSInstance(t, root, [2]*ca.Pair{test.presented, root.IssueFor(time.Hour, "s-1.example.org")},
					fmt.Sprintf(upstreamKeysFormat, protocol.http3))
				for n := range requests {
					if statusCode, err := i.sendPriceCheck(http.DefaultClient, "http"); statusCode != http.StatusOK {
						t.Fatalf("request %d: status %d, error %v, want status 200", n, statusCode, err)
					}
				}
				avoided, used := i.fleets[0].Counts(), i.fleets[1].Counts()
				if avoided.Requests != 0 || used.Executed < requests {
					t.Errorf("requests went to %+v and %+v", avoided, used)
				}
				wait.Until(t, "the failed handshake", func() bool {
					counters, ok := i.HandshakeCounters()
					return ok && counters.Failed[test.reason] > 0
				})
				i.logCounters()
				// Besides the reason under test only timeouts may be counted: a busy machine may not complete a handshake
				// in time. With two reasons the log quotes the value.
				counted := regexp.MustCompile(`failed="?map\[` + test.reason + `:[1-9][0-9]*( silent:[0-9]+)?\]`)
				logged := i.log.String()
				if want := "expected=s-0.example.org"; !strings.Contains(logged, want) {
					t.Errorf("the log is\n%s\nwant %q", logged, want)
				}
				if !counted.MatchString(logged) {
					t.Errorf("the log is\n%s\nwant a match of %s", logged, counted)
				}
			})
		}
	}
}

// startExpiredFleet starts an instance with two servers whose certificates have expired. grace is a line of the
// [[keys]] entry that is used for them.
func startExpiredFleet(t *testing.T, grace string) *tlsInstance {
	t.Helper()
	root := ca.New(t, "root")
	backends := [2]*ca.Pair{issueExpired(root, "s-0.example.org"), issueExpired(root, "s-1.example.org")}
	return startTLSInstance(t, root, backends, fmt.Sprintf(upstreamKeysFormat, false), grace+"\n")
}

// All certificates of a fleet have expired: nothing is sent, and every request gets its response long before its
// deadline.
func TestRequestsToExpiredFleetAreRejectedAtOnce(t *testing.T) {
	const maxTime = 2 * time.Second // of a deadline of 3 s
	i := startExpiredFleet(t, "")
	for range 5 {
		start := time.Now()
		statusCode, err := i.sendPriceCheck(http.DefaultClient, "http")
		took := time.Since(start)
		if statusCode != http.StatusServiceUnavailable && statusCode != http.StatusBadGateway || took > maxTime {
			t.Errorf("status %d, error %v after %v, want 502 or 503 within %v", statusCode, err, took, maxTime)
		}
	}
	if i.fleets[0].Counts().Requests+i.fleets[1].Counts().Requests != 0 {
		t.Error("a request was sent")
	}
}

// Servers whose certificates have expired are used if peers_over is at least the time since then.
func TestExpiredFleetIsUsedWithinGraceOnly(t *testing.T) {
	t.Run("expired within the grace", func(t *testing.T) {
		i := startExpiredFleet(t, `peers_over = "2h"`)
		for range 5 {
			if statusCode, err := i.sendPriceCheck(http.DefaultClient, "http"); statusCode != http.StatusOK {
				t.Errorf("status %d, error %v, want status 200", statusCode, err)
			}
		}
	})
	t.Run("expired for longer than the grace", func(t *testing.T) {
		i := startExpiredFleet(t, `peers_over = "30m"`)
		if statusCode, _ := i.sendPriceCheck(http.DefaultClient, "http"); statusCode == http.StatusOK {
			t.Error("a request was served")
		}
	})
}
