package secure

import (
	"context"
	"crypto/rand"
	"crypto/rsa"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"pinedale/internal/engine"
	"pinedale/internal/keyroom"
	"pinedale/internal/keyroom/judge"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/guarded"
	"pinedale/internal/standin/logged"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/handshake"
)

const server = "soko-3.example.org"

// world is a client with its files, whose clock moves as a test says.
type world struct {
	t      *testing.T
	root   *ca.Authority
	files  *ca.Folder
	room   *keyroom.Room
	client *Client
	log    logged.Record
	ahead  atomic.Int64 // of the system's clock
}

func (w *world) now() time.Time { return time.Now().Add(time.Duration(w.ahead.Load())) }

// issue makes a certificate that is good for an hour before and after now unless the spec says otherwise.
func issue(a *ca.Authority, s ca.Spec) *ca.Pair {
	if s.Names == nil {
		s.Names = []string{server}
	}
	if s.From.IsZero() {
		s.From = time.Now().Add(-time.Hour)
	}
	if s.Until.IsZero() {
		s.Until = time.Now().Add(time.Hour)
	}
	return a.Issue(s)
}

var ample = handshake.Config{PerServer: 1000, All: 1000, ColdFrom: 1, Burst: 1000}

func start(t *testing.T, change ...func(*Options, *keyroom.Options)) *world {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	w := &world{t: t, root: ca.New(t, "root"), files: ca.NewFolder(t)}
	w.files.Put(w.files.Roots, w.root.PEM())
	o := Options{Names: &Names{Pattern: "{name}.example.org"}, Budget: ample, Sessions: 100, Timeout: wait.Patience, Log: w.log.Logger(), Now: w.now}
	k := keyroom.Options{Paths: keyroom.Paths{Roots: w.files.Roots}, Want: judge.Want{LeastRSA: 2048}, Spread: time.Minute, Log: w.log.Logger(), Now: w.now}
	for _, c := range change {
		c(&o, &k)
	}
	w.reopen(o, k)
	return w
}

func (w *world) reopen(o Options, k keyroom.Options) {
	w.t.Helper()
	var err error
	if w.room, err = keyroom.Open(k); err != nil {
		w.t.Fatal(err)
	}
	o.Room = w.room
	if w.client, err = New(o); err != nil {
		w.t.Fatal(err)
	}
}

// tcp and quic do a handshake and say whether it resumed a session.
func (w *world) tcp(t *engine.Target) (resumed bool, err error) {
	c, err := w.stand(t)
	if err != nil {
		return false, err
	}
	defer c.Close()
	return c.(*conn).ConnectionState().DidResume, nil
}

// stand returns a connection that has carried a request, so that the server's tickets are there.
func (w *world) stand(t *engine.Target) (attempt.Session, error) {
	w.t.Helper()
	raw, err := net.Dial("tcp", t.Address)
	if err != nil {
		w.t.Fatal(err)
	}
	c, err := w.client.Secure(context.Background(), t, raw)
	if err != nil {
		return nil, err
	}
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") // where this fails, reading has the cause
	answer := make([]byte, 4096)
	for n := 0; !strings.HasSuffix(string(answer[:n]), "done"); {
		more, err := c.Read(answer[n:])
		if n += more; err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (w *world) quic(t *engine.Target) (resumed bool, err error) {
	w.t.Helper()
	config, end, err := w.client.QUIC(t)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.client.o.Timeout)
	defer cancel()
	c, err := quic.DialAddr(ctx, t.Address, http3.ConfigureTLSConfig(config), nil)
	if err != nil {
		end(tls.ConnectionState{}, err)
		return false, err
	}
	w.t.Cleanup(func() { _ = c.CloseWithError(0, "") }) // the ticket comes behind the handshake
	state := c.ConnectionState().TLS
	if usable := end(state, nil); !usable(w.now()) {
		w.t.Error("a fresh connection is of no use")
	}
	return state.DidResume, nil
}

func target(s *guarded.Server) *engine.Target {
	return &engine.Target{Name: "soko-3", Address: s.Address}
}

// Each way in which a server is not who it should be, over both protocols: nothing is sent, and the log says
// who was expected, who was there, and what was wrong.
func TestWhoIsSpokenTo(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	between := root.Below("between")
	weak, err := rsa.GenerateKey(rand.Reader, 1024)
	if err != nil {
		t.Fatal(err)
	}
	revoked := issue(root, ca.Spec{})
	hour := time.Now().Add(-time.Hour)
	for name, x := range map[string]struct {
		shown  *ca.Pair
		reason string // "" where it is trusted
		says   string
	}{
		"sound":             {issue(root, ca.Spec{}), "", ""},
		"over a whole way":  {issue(between, ca.Spec{}), "", ""},
		"half a chain":      {issue(between, ca.Spec{LeaveOutBetween: true}), "chain", "between"},
		"another name":      {issue(root, ca.Spec{Names: []string{"soko-4.example.org"}}), "names", "presented=soko-4.example.org"},
		"a name within":     {issue(root, ca.Spec{Names: []string{"x." + server}}), "names", "expected=" + server},
		"any name there":    {issue(root, ca.Spec{Names: []string{"*.example.org"}}), "", ""},
		"its own root":      {issue(other, ca.Spec{}), "chain", "CN=other"},
		"over":              {issue(root, ca.Spec{From: hour.Add(-time.Hour), Until: hour}), "over", "valid until"},
		"not valid yet":     {issue(root, ca.Spec{From: time.Now().Add(time.Hour), Until: time.Now().Add(2 * time.Hour)}), "early", "valid from"},
		"revoked":           {revoked, "revoked", "is revoked"},
		"meant for clients": {issue(root, ca.Spec{Uses: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}), "usage", "not meant for a server"},
		"a weak key":        {issue(root, ca.Spec{Key: weak}), "weak", "1024 bits"},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, func(_ *Options, k *keyroom.Options) {})
			w.files.Put(w.files.Roots, root.PEM())
			w.files.Put(w.files.Revoked, root.Revoke(revoked.Leaf))
			o, k := w.client.o, keyroom.Options{Paths: keyroom.Paths{Roots: w.files.Roots, Revoked: w.files.Revoked}, Want: judge.Want{LeastRSA: 2048}, Spread: time.Minute, Log: w.log.Logger()}
			w.reopen(o, k)
			s := guarded.Start(t, x.shown)
			_, one := w.tcp(target(s))
			_, three := w.quic(target(s))
			if x.reason == "" {
				if one != nil || three != nil {
					t.Errorf("HTTP/1.1: %v; HTTP/3: %v", one, three)
				}
				return
			}
			if fault := (*judge.Fault)(nil); !errors.As(one, &fault) || three == nil {
				t.Errorf("HTTP/1.1: %v; HTTP/3: %v", one, three)
			}
			if got := w.client.Counters(); got.Failed[x.reason] != 2 || got.Full+got.Resumed != 0 {
				t.Errorf("counted %+v", got)
			}
			if said := w.log.String(); strings.Count(said, "nothing was sent there") != 1 || !strings.Contains(said, x.says) ||
				!strings.Contains(said, "server=soko-3") || !strings.Contains(said, "expected="+server) || !strings.Contains(said, "issuer=") {
				t.Errorf("the log says %q, want one line with %q", said, x.says)
			}
			if s.Requests() != 0 {
				t.Error("a request was sent")
			}
		})
	}
}

// What is no handshake at all: it fails in its time, by a reason of its own, and never in plain text.
func TestNoHandshake(t *testing.T) {
	for reason, do := range map[string]guarded.Bad{"silent": guarded.Silent, "broken": guarded.Cut, "not TLS": guarded.Plain} {
		t.Run(reason, func(t *testing.T) {
			w := start(t, func(o *Options, _ *keyroom.Options) { o.Timeout = 200 * time.Millisecond })
			at := &engine.Target{Name: "soko-3", Address: guarded.Listen(t, do)}
			if _, err := w.tcp(at); err == nil || w.client.Counters().Failed[reason] != 1 {
				t.Errorf("%v, counted %v", err, w.client.Counters().Failed)
			}
		})
	}
	t.Run("noise", func(t *testing.T) {
		w := start(t)
		if _, err := w.tcp(&engine.Target{Name: "soko-3", Address: guarded.Listen(t, guarded.Garbage)}); err == nil {
			t.Error("noise is taken for a server")
		}
	})
	t.Run("an older version", func(t *testing.T) {
		w := start(t)
		s := guarded.Start(t, issue(w.root, ca.Spec{}))
		s.Most(tls.VersionTLS12)
		if _, err := w.tcp(target(s)); err == nil {
			t.Error("TLS 1.2, where 1.3 is the least")
		}
		w.reopen(w.client.o, keyroom.Options{Paths: keyroom.Paths{Roots: w.files.Roots}, Least: tls.VersionTLS12, Spread: time.Minute, Log: w.log.Logger(), Now: w.now})
		if _, err := w.tcp(target(s)); err != nil {
			t.Errorf("TLS 1.2, where the file allows it: %v", err)
		}
	})
	t.Run("called off", func(t *testing.T) {
		w := start(t)
		raw, err := net.Dial("tcp", guarded.Listen(t, guarded.Silent))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := w.client.Secure(ctx, &engine.Target{Name: "soko-3", Address: raw.RemoteAddr().String()}, raw); err == nil || w.client.Counters().Failed["called off"] != 1 {
			t.Errorf("%v, counted %v", err, w.client.Counters().Failed)
		}
	})
}

// The same fault of the same server is logged once a minute, however often it is met.
func TestFaultsDoNotFillTheLog(t *testing.T) {
	w := start(t)
	s := guarded.Start(t, issue(ca.New(t, "other"), ca.Spec{}))
	for range 5 {
		if _, err := w.tcp(target(s)); err == nil {
			t.Error("a server of an unknown authority is trusted")
		}
	}
	w.ahead.Store(int64(tellEvery))
	if _, err := w.tcp(target(s)); err == nil {
		t.Error("a server of an unknown authority is trusted")
	}
	if n := w.log.Count("nothing was sent there"); n != 2 || w.client.Counters().Failed["chain"] != 6 {
		t.Errorf("%d lines, counted %v", n, w.client.Counters().Failed)
	}
}

// A session is resumed with the same life of a server under the same keys, over each protocol its own; and
// never past a change of trust, a revocation, the certificate's end, or the server's restart.
func TestSessions(t *testing.T) {
	for protocol, shake := range map[string]func(*world, *engine.Target) (bool, error){overTCP: (*world).tcp, overQUIC: (*world).quic} {
		t.Run(protocol, func(t *testing.T) {
			for name, c := range map[string]struct {
				between func(w *world, s *guarded.Server, shown *ca.Pair)
				resumed bool
				fails   string // the reason, "" for none
			}{
				"nothing has changed":                    {func(*world, *guarded.Server, *ca.Pair) {}, true, ""},
				"the server's tickets are of an old key": {func(_ *world, s *guarded.Server, _ *ca.Pair) { s.NewTicketKey() }, false, ""},
				"the server resumes none":                {func(_ *world, s *guarded.Server, _ *ca.Pair) { s.Tickets(false) }, false, ""},
				"the roots have changed": {func(w *world, _ *guarded.Server, _ *ca.Pair) {
					w.files.Put(w.files.Roots, w.root.PEM(), ca.New(w.t, "second").PEM())
					w.room.Look()
				}, false, ""},
				"its root is trusted no more": {func(w *world, _ *guarded.Server, _ *ca.Pair) {
					second := ca.New(w.t, "second")
					w.files.Put(w.files.Revoked, second.Revoke())
					w.files.Put(w.files.Roots, second.PEM())
					w.room.Look()
				}, false, "chain"},
				"its certificate is revoked": {func(w *world, _ *guarded.Server, shown *ca.Pair) {
					w.files.Put(w.files.Revoked, w.root.Revoke(shown.Leaf))
					w.room.Look()
				}, false, "revoked"},
				// The server goes on resuming: only this side's rules stand in the way.
				"its certificate is over": {func(w *world, _ *guarded.Server, _ *ca.Pair) { w.ahead.Store(int64(90 * time.Minute)) }, false, "over"},
			} {
				t.Run(name, func(t *testing.T) {
					w := &world{t: t, root: ca.New(t, "root"), files: ca.NewFolder(t)}
					t.Cleanup(func() { goleak.VerifyNone(t) })
					w.files.Put(w.files.Roots, w.root.PEM())
					w.files.Put(w.files.Revoked, w.root.Revoke())
					w.reopen(Options{Names: &Names{Pattern: "{name}.example.org"}, Budget: ample, Sessions: 100, Timeout: wait.Patience, Log: w.log.Logger(), Now: w.now},
						keyroom.Options{Paths: keyroom.Paths{Roots: w.files.Roots, Revoked: w.files.Revoked}, Spread: time.Minute, Log: w.log.Logger(), Now: w.now})
					shown := issue(w.root, ca.Spec{})
					s := guarded.Start(t, shown)
					at := target(s)
					if resumed, err := shakeAndTicket(w, shake, at); resumed || err != nil {
						t.Fatalf("the first: resumed %t, %v", resumed, err)
					}
					c.between(w, s, shown)
					resumed, err := shake(w, at)
					if resumed != c.resumed || (err == nil) != (c.fails == "") || w.client.Counters().Failed[c.fails] == 0 && c.fails != "" {
						t.Errorf("resumed %t, %v, counted %+v", resumed, err, w.client.Counters())
					}
					if c.fails != "" && w.client.Counters().Sessions != 0 {
						t.Error("what has failed is kept")
					}
				})
			}
		})
	}
	t.Run("another life at the same address", func(t *testing.T) {
		w := start(t)
		s := guarded.Start(t, issue(w.root, ca.Spec{}))
		before := target(s)
		if _, err := w.tcp(before); err != nil {
			t.Fatal(err)
		}
		before.Close()
		w.client.Retire(before)
		if resumed, err := w.tcp(target(s)); resumed || err != nil {
			t.Errorf("resumed %t, %v: a session of a life that has ended", resumed, err)
		}
	})
	t.Run("a bounded number", func(t *testing.T) {
		w := start(t, func(o *Options, _ *keyroom.Options) { o.Sessions = 2 })
		shown := issue(w.root, ca.Spec{})
		var all []*engine.Target
		for range 3 {
			all = append(all, target(guarded.Start(t, shown)))
		}
		for _, x := range all {
			if _, err := w.tcp(x); err != nil {
				t.Fatal(err)
			}
		}
		if n := w.client.Counters().Sessions; n != 2 {
			t.Errorf("%d sessions are held", n)
		}
		for i, want := range []bool{false, false, true} { // 0 makes 1 go, and then 1 makes 2 go but for its use
			if i == 1 {
				continue
			}
			if resumed, _ := w.tcp(all[i]); resumed != want {
				t.Errorf("server %d: resumed %t", i, resumed)
			}
		}
	})
}

// shakeAndTicket does a handshake and sees to it that its session is there.
func shakeAndTicket(w *world, shake func(*world, *engine.Target) (bool, error), at *engine.Target) (bool, error) {
	resumed, err := shake(w, at)
	wait.Until(w.t, "the session", func() bool { return err != nil || w.client.Counters().Sessions == 1 })
	return resumed, err
}

// Connections that stand while keys change: those of a root that has gone, at once; those of before a change
// that left them their trust, spread over the stated time; those of a server that goes by another name, at once.
func TestStandingConnections(t *testing.T) {
	w := start(t)
	second := ca.New(t, "second")
	byFirst, bySecond := guarded.Start(t, issue(w.root, ca.Spec{})), guarded.Start(t, issue(second, ca.Spec{}))
	stand := func(s *guarded.Server) attempt.Session {
		c, err := w.stand(target(s))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	old := stand(byFirst)
	if !old.Usable(w.now()) || !old.Quiet() {
		t.Fatal("a fresh connection is of no use")
	}
	w.files.Put(w.files.Roots, w.root.PEM(), second.PEM()) // both are valid for a while
	w.room.Look()
	var all []attempt.Session
	for range 20 {
		all = append(all, stand(byFirst))
	}
	other := stand(bySecond)
	if !old.Usable(w.now()) && !old.Usable(w.now().Add(-time.Minute)) {
		t.Error("a connection of before the change is of no use at once")
	}
	if old.Usable(w.now().Add(time.Minute)) {
		t.Error("a connection of before the change lives on after the stated time")
	}
	w.files.Put(w.files.Roots, second.PEM()) // and then the first is taken away
	w.room.Look()
	for n, c := range all {
		if c.Usable(w.now()) {
			t.Errorf("connection %d lives on, though nobody trusts its root", n)
		}
	}
	if until := time.Minute; other.Usable(w.now().Add(until)) {
		t.Error("one that is still trusted lives on after the stated time")
	}
	last := stand(bySecond)
	w.client.Rename(&Names{Pattern: "{name}.example.com"})
	if last.Usable(w.now()) {
		t.Error("a connection lives on, though its server goes by another name")
	}
}

// What comes unasked on an idle connection is seen before the next request: in the socket or in the encryption.
func TestQuiet(t *testing.T) {
	w := start(t)
	s := guarded.Start(t, issue(w.root, ca.Spec{}))
	c, err := w.stand(target(s))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// Two answers are asked for and the first is read alone: the second lies in the encryption.
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	if c.Quiet() {
		t.Error("half an answer is held, and nothing is seen of it")
	}
}

// Own certificates are shown to servers that ask, and those of now: on a new connection after a rotation.
func TestBothSidesShowWhoTheyAre(t *testing.T) {
	w := start(t)
	first := issue(w.root, ca.Spec{Names: []string{"pinedale.example.org"}})
	w.files.Pair(first)
	w.reopen(w.client.o, keyroom.Options{Paths: keyroom.Paths{Cert: w.files.Cert, Key: w.files.Key, Roots: w.files.Roots}, Spread: time.Minute, Log: w.log.Logger(), Now: w.now})
	s := guarded.Start(t, issue(w.root, ca.Spec{}))
	s.Trust(w.root)
	if _, err := w.tcp(target(s)); err != nil {
		t.Errorf("HTTP/1.1: %v", err)
	}
	if _, err := w.quic(target(s)); err != nil {
		t.Errorf("HTTP/3: %v", err)
	}
	s.Trust(ca.New(t, "other")) // TLS 1.3: the client hears of it once it reads
	if _, err := w.tcp(&engine.Target{Name: "soko-3", Address: s.Address}); err == nil {
		t.Error("a server that trusts others has answered")
	}
}

// Where the budget has no turn in time, the answer is that this side is full, at once: a request goes elsewhere
// unsent. Probes get none that a request may need.
func TestTurns(t *testing.T) {
	w := start(t, func(o *Options, _ *keyroom.Options) {
		o.Budget = handshake.Config{PerServer: 0.5, All: 0.5, ColdFrom: 1, Burst: 2}
		o.Timeout = time.Second
	})
	at := &engine.Target{Name: "soko-3", Address: "127.0.0.1:1"}
	ctx := context.Background()
	if err := w.client.Turn(attempt.ForProbe(ctx), at); err != nil {
		t.Errorf("a probe, with all the budget there: %v", err)
	}
	if err := w.client.Turn(attempt.ForProbe(ctx), at); !errors.Is(err, attempt.ErrFull) {
		t.Errorf("a probe, with half of it gone: %v", err)
	}
	w.ahead.Store(int64(4 * time.Second))
	if err := w.client.Turn(ctx, at); err != nil {
		t.Errorf("a request: %v", err)
	}
	late, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if err := w.client.Turn(late, at); !errors.Is(err, attempt.ErrFull) {
		t.Errorf("a request without time: %v", err)
	}
	if got := w.client.Counters().Turns; got != (handshake.Counts{Now: 2, Put: 1, Refused: 1}) {
		t.Errorf("counted %+v", got)
	}
}
