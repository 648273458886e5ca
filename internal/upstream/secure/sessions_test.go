package secure

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/internal/certstore"
	"pinedale/internal/engine"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/tlsbackend"
	"pinedale/internal/standin/wait"
)

// handshakeFunc performs a handshake and reports whether it resumed a session.
type handshakeFunc func(*fixture, *engine.Target) (resumed bool, err error)

// handshakeAndAwaitSession performs a handshake and waits until its session is stored.
func handshakeAndAwaitSession(f *fixture, handshakeBy handshakeFunc, endpoint *engine.Target) (bool, error) {
	resumed, err := handshakeBy(f, endpoint)
	wait.Until(f.t, "the session", func() bool { return err != nil || f.client.Counters().Sessions == 1 })
	return resumed, err
}

// A session is resumed with the same incarnation of a server, under the same keys and over the same
// protocol. It is never resumed after a change of the roots, a revocation, the certificate's expiry
// or the server's restart.
func TestSessionIsResumedOnlyWithSameIncarnationAndKeys(t *testing.T) {
	for protocol, handshakeBy := range map[string]handshakeFunc{
		protocolHTTP1: (*fixture).handshakeTCP,
		protocolHTTP3: (*fixture).handshakeQUIC,
	} {
		t.Run(protocol, func(t *testing.T) {
			for name, c := range map[string]struct {
				change  func(f *fixture, s *tlsbackend.Server, pair *ca.Pair) // between two handshakes
				resumed bool
				reason  string // of the second handshake's failure, "" for none
			}{
				"no change": {func(*fixture, *tlsbackend.Server, *ca.Pair) {
				}, true, ""},
				"the server has a new ticket key": {func(_ *fixture, s *tlsbackend.Server, _ *ca.Pair) {
					s.RotateTicketKey()
				}, false, ""},
				"the server resumes no sessions": {func(_ *fixture, s *tlsbackend.Server, _ *ca.Pair) {
					s.SetSessionTickets(false)
				}, false, ""},
				"the roots have changed": {func(f *fixture, _ *tlsbackend.Server, _ *ca.Pair) {
					f.files.WriteFile(f.files.Roots, f.root.PEM(), ca.New(f.t, "second").PEM())
					f.keys.Reload()
				}, false, ""},
				"its root is no longer trusted": {func(f *fixture, _ *tlsbackend.Server, _ *ca.Pair) {
					second := ca.New(f.t, "second")
					f.files.WriteFile(f.files.Revoked, second.RevocationList())
					f.files.WriteFile(f.files.Roots, second.PEM())
					f.keys.Reload()
				}, false, "chain"},
				"its certificate is revoked": {func(f *fixture, _ *tlsbackend.Server, pair *ca.Pair) {
					f.files.WriteFile(f.files.Revoked, f.root.RevocationList(pair.Leaf))
					f.keys.Reload()
				}, false, "revoked"},
				// The server still resumes sessions: only the client's rules prevent it.
				"its certificate has expired": {func(f *fixture, _ *tlsbackend.Server, _ *ca.Pair) {
					f.clockOffset.Store(int64(90 * time.Minute))
				}, false, "over"},
			} {
				t.Run(name, func(t *testing.T) {
					f := &fixture{t: t, root: ca.New(t, "root"), files: ca.NewFolder(t)}
					t.Cleanup(func() { goleak.VerifyNone(t) })
					f.files.WriteFile(f.files.Roots, f.root.PEM())
					f.files.WriteFile(f.files.Revoked, f.root.RevocationList())
					f.reopen(f.options(), f.keyOptions(certstore.Paths{Roots: f.files.Roots, Revoked: f.files.Revoked}))
					pair := issue(f.root, ca.Spec{})
					s := tlsbackend.Start(t, pair)
					endpoint := target(s)
					if resumed, err := handshakeAndAwaitSession(f, handshakeBy, endpoint); resumed || err != nil {
						t.Fatalf("first handshake: resumed %t, %v", resumed, err)
					}
					c.change(f, s, pair)
					resumed, err := handshakeBy(f, endpoint)
					counters := f.client.Counters()
					if resumed != c.resumed || (err == nil) != (c.reason == "") ||
						counters.Failed[c.reason] == 0 && c.reason != "" {
						t.Errorf("resumed %t, error %v, counters %+v; want resumed %t, failure %q",
							resumed, err, counters, c.resumed, c.reason)
					}
					if c.reason != "" && f.client.Counters().Sessions != 0 {
						t.Error("a session is still cached after a failed handshake")
					}
				})
			}
		})
	}
}

// A server that has restarted at the same address is another incarnation: its earlier session is not resumed.
func TestSessionIsNotResumedWithNextIncarnation(t *testing.T) {
	f := newFixture(t)
	s := tlsbackend.Start(t, issue(f.root, ca.Spec{}))
	before := target(s)
	if _, err := f.handshakeTCP(before); err != nil {
		t.Fatal(err)
	}
	before.Close()
	f.client.Retire(before)
	if resumed, err := f.handshakeTCP(target(s)); resumed || err != nil {
		t.Errorf("resumed %t, error %v; want a full handshake with the next incarnation", resumed, err)
	}
}

// At capacity the least recently used session is evicted.
func TestSessionsAreBounded(t *testing.T) {
	f := newFixture(t, func(o *Options, _ *certstore.Options) { o.Sessions = 2 })
	pair := issue(f.root, ca.Spec{})
	var targets []*engine.Target
	for range 3 {
		targets = append(targets, target(tlsbackend.Start(t, pair)))
	}
	for _, endpoint := range targets {
		if _, err := f.handshakeTCP(endpoint); err != nil {
			t.Fatal(err)
		}
	}
	if n := f.client.Counters().Sessions; n != 2 {
		t.Errorf("%d sessions are cached, want 2", n)
	}
	// Server 0 was evicted, and its next handshake evicts server 1; server 2 is still cached.
	for i, want := range []bool{false, false, true} {
		if i == 1 {
			continue
		}
		if resumed, _ := f.handshakeTCP(targets[i]); resumed != want {
			t.Errorf("server %d: resumed %t, want %t", i, resumed, want)
		}
	}
}
