package validate

import (
	"crypto/x509"
	"strings"
	"testing"
	"time"

	"pinedale/internal/standin/ca"
)

// retirement returns the time and the reason of a connection's retirement.
func retirement(rotation *Rotation, now time.Time, conn Conn) (at time.Time, reason string) {
	result := rotation.Retirement(now, conn)
	return result.At, result.Reason
}

// A connection retires at once when its peer is no longer trusted, and within the spread when the own key is
// replaced.
func TestConnectionsRetireWithTheirTrustOrKey(t *testing.T) {
	old, next := ca.New(t, "old"), ca.New(t, "next")
	local := old.Issue(ca.Spec{Names: []string{testName}})
	peer := old.Issue(ca.Spec{Names: []string{"peer"}})
	byNext := next.Issue(ca.Spec{Names: []string{"peer"}})
	rotation := NewRotation(Requirements{MinRSABits: 2048}, time.Hour)
	conn := func(peer *ca.Pair, generation int) Conn {
		return Conn{
			ID:         7,
			Generation: generation,
			Local:      local.Leaf,
			Peer:       []*x509.Certificate{peer.Leaf},
			PeerUsage:  x509.ExtKeyUsageServerAuth,
		}
	}
	rotation.Offer(noon, files(local, old.PEM()))
	if until, reason := retirement(rotation, noon, conn(peer, 1)); !until.IsZero() {
		t.Errorf("nothing has changed: until %v, %s", until, reason)
	}
	// Both roots are trusted for a while: connections stay usable, and are replaced over the hour.
	change := noon.Add(time.Minute)
	rotation.Offer(change, files(local, old.PEM(), next.PEM()))
	ends := map[int]int{}
	for n := range uint64(6000) {
		c := conn(peer, 1)
		c.ID = n
		until, _ := retirement(rotation, change, c)
		after := until.Sub(change)
		if after < 0 || after >= time.Hour {
			t.Fatalf("connection %d lives until %v after the change", n, after)
		}
		ends[int(after/(10*time.Minute))]++
	}
	for part, n := range ends {
		if len(ends) != 6 || n < 800 || n > 1200 {
			t.Errorf("in part %d of the hour %d of 6000 end: %v", part, n, ends)
		}
	}
	if until, reason := retirement(rotation, change, conn(byNext, 2)); !until.IsZero() {
		t.Errorf("one by the new root: until %v, %s", until, reason)
	}
	// The old root is removed while connections are established.
	rotation.Offer(noon.Add(2*time.Minute), files(next.Issue(ca.Spec{Names: []string{testName}}), next.PEM()))
	changedAt := noon.Add(2 * time.Minute)
	until, reason := retirement(rotation, changedAt, conn(peer, 2))
	if !until.Equal(changedAt) || !strings.Contains(reason, "no longer trusted") {
		t.Errorf("root removed: until %v, %s", until, reason)
	}
	// Revoked, and expired.
	input := files(next.Issue(ca.Spec{Names: []string{testName}, NotAfter: noon.AddDate(1, 0, 0)}), next.PEM())
	input.Revoked = configured(next.RevocationList(byNext.Leaf))
	rotation.Offer(changedAt, input)
	until, reason = retirement(rotation, changedAt, conn(byNext, 4))
	if !until.Equal(changedAt) || !strings.Contains(reason, "revoked") {
		t.Errorf("revoked: until %v, %s", until, reason)
	}
	late := byNext.Leaf.NotAfter.Add(time.Second)
	until, reason = retirement(rotation, late, conn(byNext, 4))
	if !until.Equal(late) || !strings.Contains(reason, "over") {
		t.Errorf("expired: until %v, %s", until, reason)
	}
}
