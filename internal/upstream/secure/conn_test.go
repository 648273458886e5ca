package secure

import (
	"io"
	"testing"
	"time"

	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/tlsbackend"
	"pinedale/internal/upstream/attempt"
)

// Open connections become unusable at once if their root is removed or their server's name changes.
// If a change leaves them trusted, they become unusable one by one over the configured period.
func TestOpenConnectionsFollowChangesOfTrust(t *testing.T) {
	f := newFixture(t)
	second := ca.New(t, "second")
	byFirst, bySecond := tlsbackend.Start(t, issue(f.root, ca.Spec{})), tlsbackend.Start(t, issue(second, ca.Spec{}))
	connect := func(s *tlsbackend.Server) attempt.Session {
		c, err := f.connect(target(s))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	old := connect(byFirst)
	if !old.Usable(f.now()) || !old.HasNoUnreadData() {
		t.Fatal("a new connection is not usable")
	}
	f.files.WriteFile(f.files.Roots, f.root.PEM(), second.PEM()) // both are trusted during the replacement
	f.keys.Reload()
	var sessions []attempt.Session
	for range 20 {
		sessions = append(sessions, connect(byFirst))
	}
	other := connect(bySecond)
	if !old.Usable(f.now()) && !old.Usable(f.now().Add(-time.Minute)) {
		t.Error("an older connection that is still trusted became unusable at once")
	}
	if old.Usable(f.now().Add(time.Minute)) {
		t.Error("an older connection is still usable after the configured time")
	}
	f.files.WriteFile(f.files.Roots, second.PEM()) // the first root is removed
	f.keys.Reload()
	for n, c := range sessions {
		if c.Usable(f.now()) {
			t.Errorf("connection %d is usable, though its root is no longer trusted", n)
		}
	}
	if other.Usable(f.now().Add(time.Minute)) {
		t.Error("a connection that is still trusted remains usable after the configured time")
	}
	last := connect(bySecond)
	f.client.SetNames(&Names{Pattern: "{name}.example.com"})
	if last.Usable(f.now()) {
		t.Error("a connection is usable, though its server's name has changed")
	}
}

// Unsolicited data on an idle connection is detected before the next request, here in the TLS layer.
func TestUnreadResponseIsSeenInTLSLayer(t *testing.T) {
	f := newFixture(t)
	s := tlsbackend.Start(t, issue(f.root, ca.Spec{}))
	c, err := f.connect(target(s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// Only a part of the response is read: the rest remains in the TLS layer.
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if c.HasNoUnreadData() {
		t.Error("unread data in the TLS layer was not detected")
	}
}
