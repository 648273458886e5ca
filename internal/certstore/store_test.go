package certstore

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

	"pinedale/internal/certstore/validate"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/wait"
)

const testName = "soko-3.example.org"

var noon = ca.Epoch.Add(12 * time.Hour)

// testClock is the clock of the stores in these tests.
func testClock() time.Time { return noon }

func paths(folder *ca.Folder) Paths {
	return Paths{Cert: folder.Cert, Key: folder.Key, Roots: folder.Roots}
}

// open opens a store on the files of a folder.
func open(t *testing.T, folder *ca.Folder, server bool, log io.Writer) *Store {
	t.Helper()
	store, err := Open(Options{
		Paths:           paths(folder),
		Want:            validate.Requirements{Names: []string{testName}, Server: server, MinRSABits: 2048},
		ReplacementTime: time.Minute,
		Log:             slog.New(slog.NewTextHandler(log, nil)),
		Now:             testClock,
	})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// handshake connects a server and a client configuration and returns the error of each side.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := serverConn.SetDeadline(time.Now().Add(wait.Timeout)); err != nil {
		t.Fatal(err)
	}
	if err := clientConn.SetDeadline(time.Now().Add(wait.Timeout)); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		s := tls.Server(serverConn, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x")) // sends the session tickets, and reveals that the client has rejected the server
		}
		done <- err
		serverConn.Close()
	}()
	c := tls.Client(clientConn, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		_, clientErr = io.ReadFull(c, make([]byte, 1))
	}
	clientConn.Close()
	return <-done, clientErr
}

// Files that may not serve are an error of Open that names rule and file; later they are reported once, and the
// last accepted material keeps serving.
func TestOpenFailsAndReloadKeepsLastGoodMaterial(t *testing.T) {
	root := ca.New(t, "root")
	folder := ca.NewFolder(t)
	_, err := Open(Options{Paths: paths(folder), Log: slog.New(slog.DiscardHandler)})
	if fault := (*validate.Fault)(nil); !errors.As(err, &fault) || fault.Rule != validate.Unreadable {
		t.Errorf("no files: %v", err)
	}
	good := root.Issue(ca.Spec{Names: []string{testName}})
	folder.WritePair(good)
	folder.WriteFile(folder.Roots, root.PEM())
	log := &logcapture.Buffer{}
	store := open(t, folder, true, log)
	bad := root.Issue(ca.Spec{Names: []string{"soko-4.example.org"}})
	folder.WritePair(bad)
	for range 3 {
		if v := store.Reload(); v.Action != validate.Rejected || v.Fault.Rule != validate.WrongName {
			t.Errorf("another's name: %+v", v)
		}
	}
	if got := log.String(); strings.Count(got, "certificate files rejected") != 1 ||
		!strings.Contains(got, "soko-4.example.org") || strings.Contains(got, "PRIVATE") {
		t.Errorf("the log says %q", got)
	}
	if c := store.Counters(); c.Accepted != 1 || c.Rejected != 3 || c.Remaining != 12*time.Hour {
		t.Errorf("counters %+v", c)
	}
}

// A server is verified by the name that is configured for it, and a client must present a certificate.
func TestPeersAreVerifiedByConfiguredName(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	sides := func(authority *ca.Authority, spec ca.Spec) *ca.Folder {
		folder := ca.NewFolder(t)
		folder.WritePair(authority.Issue(spec))
		folder.WriteFile(folder.Roots, root.PEM())
		return folder
	}
	sound := ca.Spec{Names: []string{testName}}
	clientStore := open(t, sides(root, sound), false, io.Discard)
	client, err := clientStore.Client(testName)
	if err != nil {
		t.Fatal(err)
	}
	client.Time = testClock
	serve := func(folder *ca.Folder, want validate.Requirements) *tls.Config {
		store, err := Open(Options{Paths: paths(folder), Want: want, Log: slog.New(slog.DiscardHandler), Now: testClock})
		if err != nil {
			t.Fatal(err)
		}
		c := store.current.Load().server.Clone()
		c.Time = testClock
		return c
	}
	if s, c := handshake(t, serve(sides(root, sound), validate.Requirements{Server: true}), client); s != nil || c != nil {
		t.Errorf("two sound sides: %v, %v", s, c)
	}
	wrongName := sides(root, ca.Spec{Names: []string{"soko-4.example.org"}})
	_, clientErr := handshake(t, serve(wrongName, validate.Requirements{Server: true}), client)
	if clientErr == nil || !strings.Contains(clientErr.Error(), "soko-4.example.org") {
		t.Errorf("a server of another name: %v", clientErr)
	}
	unknown := ca.NewFolder(t)
	unknown.WritePair(other.Issue(sound))
	unknown.Roots = ""
	if _, c := handshake(t, serve(unknown, validate.Requirements{Server: true}), client); c == nil {
		t.Error("a server by an unknown root was trusted")
	}
	anonymous := &tls.Config{InsecureSkipVerify: true, Time: testClock}
	if s, _ := handshake(t, serve(sides(root, sound), validate.Requirements{Server: true}), anonymous); s == nil {
		t.Error("a client without a certificate was admitted")
	}
	withoutRoots := sides(root, sound)
	withoutRoots.Roots = ""
	if _, err := open(t, withoutRoots, false, io.Discard).Client(testName); err == nil {
		t.Error("a client configuration without roots")
	}
}

// Changed files are accepted without a signal, certificate and key together, also those changed before Run.
func TestFileChangesAreAcceptedWithoutSignal(t *testing.T) {
	defer goleak.VerifyNone(t)
	root := ca.New(t, "root")
	folder := ca.NewFolder(t)
	folder.WritePair(root.Issue(ca.Spec{Names: []string{testName}}))
	folder.WriteFile(folder.Roots, root.PEM())
	store := open(t, folder, true, io.Discard)
	folder.WritePair(root.Issue(ca.Spec{Names: []string{testName}})) // before Run has begun to watch
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { store.Run(ctx); close(done) }()
	defer func() { end(); <-done }()
	wait.Until(t, "the pair written before the watch", func() bool { return store.Generation() == 2 })
	for n := 3; n < 7; n++ {
		next := root.Issue(ca.Spec{Names: []string{testName}})
		folder.WriteFile(folder.Key, next.Key) // first the key, then the certificate
		folder.WriteFile(folder.Cert, next.Cert)
		wait.Until(t, "the new pair", func() bool { return store.Generation() == n })
		if got := store.current.Load().material.Leaf(); !got.Equal(next.Leaf) {
			t.Fatalf("change %d: another certificate is in use", n)
		}
	}
}
