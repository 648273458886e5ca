package certstore

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/internal/certstore/validate"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/wait"
)

const testName = "soko-3.example.org"

// noon is the time of all stores in these tests.
var noon = ca.Epoch.Add(12 * time.Hour)

// testClock is the clock of all stores in these tests.
func testClock() time.Time { return noon }

// paths returns the paths of a folder without revocation lists.
func paths(folder *ca.Folder) Paths {
	return Paths{Cert: folder.Cert, Key: folder.Key, Roots: folder.Roots}
}

// open opens a store of the files of a folder.
func open(t *testing.T, folder *ca.Folder, server bool, log io.Writer) *Store {
	t.Helper()
	store, err := Open(Options{
		Paths:            paths(folder),
		CertRequirements: validate.Requirements{Names: []string{testName}, Server: server, MinRSABits: 2048},
		ReplacementTime:  time.Minute,
		Log:              slog.New(slog.NewTextHandler(log, nil)),
		Now:              testClock,
	})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// connect returns both ends of a TCP connection, which are closed when the test ends.
func connect(t *testing.T) (server, client net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	for _, conn := range []net.Conn{server, client} {
		if err := conn.SetDeadline(time.Now().Add(wait.Timeout)); err != nil {
			t.Fatal(err)
		}
	}
	return server, client
}

// handshake connects a server and a client configuration and returns the error of each side.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	serverSocket, clientSocket := connect(t)
	serverEnded := make(chan error, 1)
	go func() {
		conn := tls.Server(serverSocket, server)
		err := conn.Handshake()
		if err == nil {
			// The write sends the session tickets. It fails if the client has rejected the server.
			_, err = conn.Write([]byte("x"))
		}
		serverEnded <- err
		serverSocket.Close()
	}()
	conn := tls.Client(clientSocket, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		_, clientErr = io.ReadFull(conn, make([]byte, 1))
	}
	clientSocket.Close()
	return <-serverEnded, clientErr
}

func TestOpenFailsWithoutFiles(t *testing.T) {
	_, err := Open(Options{Paths: paths(ca.NewFolder(t)), Log: slog.New(slog.DiscardHandler)})
	var fault *validate.Fault
	if !errors.As(err, &fault) || fault.Rule != validate.Unreadable {
		t.Errorf("Open without files: error %v, want one that a file is unreadable", err)
	}
}

// Files that are rejected later are reported once, and the last accepted material remains in use.
func TestReloadKeepsLastValidMaterial(t *testing.T) {
	root := ca.New(t, "root")
	folder := ca.NewFolder(t)
	folder.WritePair(root.Issue(ca.Spec{Names: []string{testName}}))
	folder.WriteFile(folder.Roots, root.PEM())
	log := &logcapture.Buffer{}
	store := open(t, folder, true, log)
	folder.WritePair(root.Issue(ca.Spec{Names: []string{"soko-4.example.org"}}))
	for range 3 {
		decision := store.Reload()
		if decision.Action != validate.Rejected || decision.Fault.Rule != validate.WrongName {
			t.Errorf("certificate for another name: %+v, want a rejection because of the name", decision)
		}
	}
	logged := log.String()
	if strings.Count(logged, "certificate files rejected") != 1 ||
		!strings.Contains(logged, "soko-4.example.org") || strings.Contains(logged, "PRIVATE") {
		t.Errorf("logged %q, want one rejection with the certificate's name and no private key", logged)
	}
	if c := store.Counters(); c.Accepted != 1 || c.Rejected != 3 || c.Remaining != 12*time.Hour {
		t.Errorf("counters %+v, want 1 accepted, 3 rejected and 12 h remaining", c)
	}
}

// peerFixture issues certificates for both sides of a connection.
type peerFixture struct {
	t    *testing.T
	root *ca.Authority
}

// folder returns a folder with a certificate for a name, and with the root.
func (f *peerFixture) folder(name string) *ca.Folder {
	f.t.Helper()
	folder := ca.NewFolder(f.t)
	folder.WritePair(f.root.Issue(ca.Spec{Names: []string{name}}))
	folder.WriteFile(folder.Roots, f.root.PEM())
	return folder
}

// client returns the configuration of a client of testName.
func (f *peerFixture) client() *tls.Config {
	f.t.Helper()
	config, err := open(f.t, f.folder(testName), false, io.Discard).Client(testName)
	if err != nil {
		f.t.Fatal(err)
	}
	config.Time = testClock
	return config
}

// server returns the configuration of a server with the files of a folder.
func (f *peerFixture) server(folder *ca.Folder) *tls.Config {
	f.t.Helper()
	store, err := Open(Options{
		Paths:            paths(folder),
		CertRequirements: validate.Requirements{Server: true},
		Log:              slog.New(slog.DiscardHandler),
		Now:              testClock,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	config := store.current.Load().server.Clone()
	config.Time = testClock
	return config
}

func TestPeersOfOneRootAcceptEachOther(t *testing.T) {
	f := &peerFixture{t, ca.New(t, "root")}
	serverErr, clientErr := handshake(t, f.server(f.folder(testName)), f.client())
	if serverErr != nil || clientErr != nil {
		t.Errorf("server error %v, client error %v, want none", serverErr, clientErr)
	}
}

// The client verifies a server by the name that is configured for it.
func TestClientRejectsServerOfOtherName(t *testing.T) {
	f := &peerFixture{t, ca.New(t, "root")}
	_, clientErr := handshake(t, f.server(f.folder("soko-4.example.org")), f.client())
	if clientErr == nil || !strings.Contains(clientErr.Error(), "soko-4.example.org") {
		t.Errorf("server with another name: client error %v, want one with that name", clientErr)
	}
}

func TestClientRejectsServerOfUnknownRoot(t *testing.T) {
	f := &peerFixture{t, ca.New(t, "root")}
	unknown := ca.NewFolder(t)
	unknown.WritePair(ca.New(t, "other").Issue(ca.Spec{Names: []string{testName}}))
	unknown.Roots = ""
	if _, clientErr := handshake(t, f.server(unknown), f.client()); clientErr == nil {
		t.Error("the client accepted a server with a certificate of an unknown root")
	}
}

func TestServerRejectsClientWithoutCertificate(t *testing.T) {
	f := &peerFixture{t, ca.New(t, "root")}
	anonymous := &tls.Config{InsecureSkipVerify: true, Time: testClock}
	if serverErr, _ := handshake(t, f.server(f.folder(testName)), anonymous); serverErr == nil {
		t.Error("the server accepted a client without a certificate")
	}
}

func TestServerNameIndicationOmitsSPIFFEID(t *testing.T) {
	f := &peerFixture{t, ca.New(t, "root")}
	store := open(t, f.folder(testName), false, io.Discard)
	for name, want := range map[string]string{testName: testName, "spiffe://soko/pay": ""} {
		config, err := store.Client(name)
		if err != nil {
			t.Fatal(err)
		}
		if config.ServerName != want {
			t.Errorf("%s: server name %q, want %q", name, config.ServerName, want)
		}
	}
}

func TestSecretRequiresPrivateKey(t *testing.T) {
	f := &peerFixture{t, ca.New(t, "root")}
	rootsOnly := Paths{Roots: f.folder(testName).Roots}
	store, err := Open(Options{Paths: rootsOnly, Log: slog.New(slog.DiscardHandler), Now: testClock})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Secret("purpose"); !errors.Is(err, ErrNoPrivateKey) {
		t.Errorf("error %v, want %v", err, ErrNoPrivateKey)
	}
}

func TestClientRequiresRoots(t *testing.T) {
	f := &peerFixture{t, ca.New(t, "root")}
	withoutRoots := f.folder(testName)
	withoutRoots.Roots = ""
	_, err := open(t, withoutRoots, false, io.Discard).Client(testName)
	if !errors.Is(err, ErrNoRoots) {
		t.Errorf("a client configuration without roots: error %v, want %v", err, ErrNoRoots)
	}
}

// Changed files are accepted without a signal, certificate and key together. That includes files that changed before
// Run.
func TestFileChangesAreAcceptedWithoutSignal(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	root := ca.New(t, "root")
	folder := ca.NewFolder(t)
	folder.WritePair(root.Issue(ca.Spec{Names: []string{testName}}))
	folder.WriteFile(folder.Roots, root.PEM())
	store := open(t, folder, true, io.Discard)
	folder.WritePair(root.Issue(ca.Spec{Names: []string{testName}})) // before Run has begun to watch
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { store.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		watch.Wait()
	})
	wait.Until(t, "the pair written before the watch", func() bool { return store.Generation() == 2 })
	for generation := 3; generation < 7; generation++ {
		next := root.Issue(ca.Spec{Names: []string{testName}})
		folder.WriteFile(folder.Key, next.Key) // the key before the certificate
		folder.WriteFile(folder.Cert, next.Cert)
		wait.Until(t, "the new pair", func() bool { return store.Generation() == generation })
		if got := store.current.Load().material.Leaf(); !got.Equal(next.Leaf) {
			t.Fatalf("generation %d: another certificate is in use", generation)
		}
	}
}
