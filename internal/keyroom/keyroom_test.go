package keyroom

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/internal/keyroom/judge"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/logged"
	"pinedale/internal/standin/wait"
)

const name = "soko-3.example.org"

var noon = ca.Epoch.Add(12 * time.Hour)

func paths(f *ca.Folder) Paths { return Paths{Cert: f.Cert, Key: f.Key, Roots: f.Roots} }

func open(t *testing.T, f *ca.Folder, server bool, log io.Writer) *Room {
	t.Helper()
	r, err := Open(Options{Paths: paths(f), Want: judge.Want{Names: []string{name}, Server: server, LeastRSA: 2048}, Spread: time.Minute,
		Log: slog.New(slog.NewTextHandler(log, nil)), Now: func() time.Time { return noon }})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// shake connects two configurations and returns the error of each.
func shake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	b, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := a.SetDeadline(time.Now().Add(wait.Patience)); err != nil {
		t.Fatal(err)
	}
	if err := b.SetDeadline(time.Now().Add(wait.Patience)); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		s := tls.Server(a, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x")) // with it the tickets, and a client's refusal comes to light
		}
		done <- err
		a.Close()
	}()
	c := tls.Client(b, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		_, clientErr = io.ReadFull(c, make([]byte, 1))
	}
	b.Close()
	return <-done, clientErr
}

// What may not serve at the start is an error that names rule and file; what comes to be so later changes nothing.
func TestOpenAndKeep(t *testing.T) {
	root := ca.New(t, "root")
	f := ca.NewFolder(t)
	_, err := Open(Options{Paths: paths(f), Log: slog.New(slog.DiscardHandler)})
	if fault := (*judge.Fault)(nil); !errors.As(err, &fault) || fault.Rule != judge.Unreadable {
		t.Errorf("no files: %v", err)
	}
	good := root.Issue(ca.Spec{Names: []string{name}})
	f.Pair(good)
	f.Put(f.Roots, root.PEM())
	log := &logged.Record{}
	r := open(t, f, true, log)
	bad := root.Issue(ca.Spec{Names: []string{"soko-4.example.org"}})
	f.Pair(bad)
	for range 3 {
		if v := r.Look(); v.Action != judge.Keep || v.Fault.Rule != judge.Names {
			t.Errorf("another's name: %+v", v)
		}
	}
	if got := log.String(); strings.Count(got, "may not serve") != 1 || !strings.Contains(got, "soko-4.example.org") || strings.Contains(got, "PRIVATE") {
		t.Errorf("the log says %q", got)
	}
	if c := r.Counters(); c.Taken != 1 || c.Kept != 3 || c.Left != 12*time.Hour {
		t.Errorf("counters %+v", c)
	}
}

// A peer is verified by the name that it is known by here, whatever it presents, and both sides show who they are.
func TestWhoIsTrusted(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	sides := func(a *ca.Authority, s ca.Spec) *ca.Folder {
		f := ca.NewFolder(t)
		f.Pair(a.Issue(s))
		f.Put(f.Roots, root.PEM())
		return f
	}
	sound := ca.Spec{Names: []string{name}}
	mine := open(t, sides(root, sound), false, io.Discard)
	client, err := mine.Client(name)
	if err != nil {
		t.Fatal(err)
	}
	client.Time = func() time.Time { return noon }
	serve := func(f *ca.Folder, want judge.Want) *tls.Config {
		r, err := Open(Options{Paths: paths(f), Want: want, Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return noon }})
		if err != nil {
			t.Fatal(err)
		}
		c := r.now.Load().server.Clone()
		c.Time = func() time.Time { return noon }
		return c
	}
	if s, c := shake(t, serve(sides(root, sound), judge.Want{Server: true}), client); s != nil || c != nil {
		t.Errorf("two sound sides: %v, %v", s, c)
	}
	if _, c := shake(t, serve(sides(root, ca.Spec{Names: []string{"soko-4.example.org"}}), judge.Want{Server: true}), client); c == nil || !strings.Contains(c.Error(), "soko-4.example.org") {
		t.Errorf("a server of another name: %v", c)
	}
	strange := ca.NewFolder(t)
	strange.Pair(other.Issue(sound))
	strange.Roots = ""
	if _, c := shake(t, serve(strange, judge.Want{Server: true}), client); c == nil {
		t.Error("a server by an unknown root was trusted")
	}
	bare := &tls.Config{InsecureSkipVerify: true, Time: func() time.Time { return noon }}
	if s, _ := shake(t, serve(sides(root, sound), judge.Want{Server: true}), bare); s == nil {
		t.Error("a client that shows nothing was let in")
	}
	alone := sides(root, sound)
	alone.Roots = ""
	if _, err := open(t, alone, false, io.Discard).Client(name); err == nil {
		t.Error("a peer is to be verified without roots")
	}
}

// A change is seen without a signal, both sides of a pair together, and sessions of before are not resumed under it.
func TestChangesAreSeen(t *testing.T) {
	defer goleak.VerifyNone(t)
	root := ca.New(t, "root")
	f := ca.NewFolder(t)
	f.Pair(root.Issue(ca.Spec{Names: []string{name}}))
	f.Put(f.Roots, root.PEM())
	r := open(t, f, true, io.Discard)
	f.Pair(root.Issue(ca.Spec{Names: []string{name}})) // nobody watches yet: it is seen all the same
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	defer func() { end(); <-done }()
	wait.Until(t, "the pair that came before the watch", func() bool { return r.Number() == 2 })
	for n := 3; n < 7; n++ {
		next := root.Issue(ca.Spec{Names: []string{name}})
		f.Put(f.Key, next.Key) // first the key, then the certificate
		f.Put(f.Cert, next.Cert)
		wait.Until(t, "the new pair", func() bool { return r.Number() == n })
		if got := r.now.Load().material.Leaf(); !got.Equal(next.Leaf) {
			t.Fatalf("change %d: another certificate serves", n)
		}
	}
}
