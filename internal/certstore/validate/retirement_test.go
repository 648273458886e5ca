package validate

import (
	"crypto/x509"
	"strings"
	"testing"
	"time"

	"pinedale/internal/standin/ca"
)

// retirementFixture has connections to peers whose certificates were issued by an old and a new root.
type retirementFixture struct {
	oldRoot   *ca.Authority
	newRoot   *ca.Authority
	local     *ca.Pair // issued by the old root
	peer      *ca.Pair // issued by the old root
	newPeer   *ca.Pair // issued by the new root
	rotation  *Rotation
	changedAt time.Time // of the second offer
}

// newRetirementFixture returns a fixture after the first offer, with the old root only.
func newRetirementFixture(t *testing.T) *retirementFixture {
	t.Helper()
	oldRoot, newRoot := ca.New(t, "old"), ca.New(t, "next")
	f := &retirementFixture{
		oldRoot:   oldRoot,
		newRoot:   newRoot,
		local:     oldRoot.Issue(ca.Spec{Names: []string{testName}}),
		peer:      oldRoot.Issue(ca.Spec{Names: []string{"peer"}}),
		newPeer:   newRoot.Issue(ca.Spec{Names: []string{"peer"}}),
		rotation:  NewRotation(Requirements{MinRSABits: 2048}, time.Hour),
		changedAt: noon.Add(time.Minute),
	}
	f.rotation.Offer(noon, files(f.local, oldRoot.PEM()))
	return f
}

// conn returns a connection to a peer that was established with the material of a generation.
func (f *retirementFixture) conn(peer *ca.Pair, generation int) Conn {
	return Conn{
		ID:         7,
		Generation: generation,
		Local:      f.local.Leaf,
		Peer:       []*x509.Certificate{peer.Leaf},
		PeerUsage:  x509.ExtKeyUsageServerAuth,
	}
}

// wantRetirement checks that a connection retires at the given time, for a reason that contains the text.
func (f *retirementFixture) wantRetirement(t *testing.T, at time.Time, conn Conn, reason string) {
	t.Helper()
	got := f.rotation.Retirement(at, conn)
	if !got.At.Equal(at) || !strings.Contains(got.Reason, reason) {
		t.Errorf("retirement %+v, want one at %v with the reason %q", got, at, reason)
	}
}

// wantNone checks that a connection does not retire.
func (f *retirementFixture) wantNone(t *testing.T, now time.Time, conn Conn) {
	t.Helper()
	if got := f.rotation.Retirement(now, conn); !got.At.IsZero() {
		t.Errorf("retirement %+v, want none", got)
	}
}

func TestConnectionOfCurrentMaterialDoesNotRetire(t *testing.T) {
	f := newRetirementFixture(t)
	f.wantNone(t, noon, f.conn(f.peer, 1))
}

// After a second root is added, established connections remain trusted and retire evenly over the hour.
func TestConnectionsRetireEvenlyAfterChange(t *testing.T) {
	f := newRetirementFixture(t)
	f.rotation.Offer(f.changedAt, files(f.local, f.oldRoot.PEM(), f.newRoot.PEM()))
	const (
		connections = 6000
		parts       = 6 // of the hour
	)
	retired := map[int]int{} // by part
	for id := range uint64(connections) {
		conn := f.conn(f.peer, 1)
		conn.ID = id
		delay := f.rotation.Retirement(f.changedAt, conn).At.Sub(f.changedAt)
		if delay < 0 || delay >= time.Hour {
			t.Fatalf("connection %d retires %v after the change", id, delay)
		}
		retired[int(delay/(time.Hour/parts))]++
	}
	for part, n := range retired {
		if len(retired) != parts || n < 800 || n > 1200 {
			t.Errorf("part %d of the hour: %d of %d connections retire, want 800 to 1200; all parts: %v",
				part, n, connections, retired)
		}
	}
	f.wantNone(t, f.changedAt, f.conn(f.newPeer, 2))
}

// When the old root is removed, connections to peers with its certificates retire at once.
func TestConnectionRetiresWhenRootIsRemoved(t *testing.T) {
	f := newRetirementFixture(t)
	f.rotation.Offer(noon, files(f.local, f.oldRoot.PEM(), f.newRoot.PEM()))
	f.rotation.Offer(f.changedAt, files(f.newRoot.Issue(ca.Spec{Names: []string{testName}}), f.newRoot.PEM()))
	f.wantRetirement(t, f.changedAt, f.conn(f.peer, 2), "no longer trusted")
	if !f.rotation.Retirement(f.changedAt, f.conn(f.peer, 2)).PeerUntrusted {
		t.Error("the peer is not reported as untrusted")
	}
}

func TestConnectionRetiresWhenPeerIsRevokedOrExpired(t *testing.T) {
	f := newRetirementFixture(t)
	local := f.newRoot.Issue(ca.Spec{Names: []string{testName}, NotAfter: noon.AddDate(1, 0, 0)})
	input := files(local, f.newRoot.PEM())
	input.Revoked = configured(f.newRoot.RevocationList(f.newPeer.Leaf))
	f.rotation.Offer(f.changedAt, input)
	f.wantRetirement(t, f.changedAt, f.conn(f.newPeer, 2), "revoked")
	afterExpiry := f.newPeer.Leaf.NotAfter.Add(time.Second)
	f.wantRetirement(t, afterExpiry, f.conn(f.newPeer, 2), "over")
}

func TestConnectionRetiresWhenLocalCertificateExpires(t *testing.T) {
	f := newRetirementFixture(t)
	conn := f.conn(f.peer, 1)
	conn.Peer = nil
	afterExpiry := f.local.Leaf.NotAfter.Add(time.Second)
	f.wantRetirement(t, afterExpiry, conn, "local certificate has expired")
	if f.rotation.Retirement(afterExpiry, conn).PeerUntrusted {
		t.Error("the peer is reported as untrusted")
	}
}
