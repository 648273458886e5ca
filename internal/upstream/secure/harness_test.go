package secure

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/goleak"

	"pinedale/internal/certstore"
	"pinedale/internal/certstore/validate"
	"pinedale/internal/engine"
	"pinedale/internal/standin/ca"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/tlsbackend"
	"pinedale/internal/standin/wait"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/handshake"
)

// serverName is the name that the test server is verified by.
const serverName = "soko-3.example.org"

// minRSABits is the shortest RSA key that the fixture accepts.
const minRSABits = 2048

// fixture is a client with its key files and a clock that the test sets.
type fixture struct {
	t           *testing.T
	root        *ca.Authority
	files       *ca.Folder
	keys        *certstore.Store
	client      *Client
	log         logcapture.Buffer
	clockOffset atomic.Int64 // nanoseconds by which the clock is ahead of the system's
}

// now returns the time by the fixture's clock.
func (f *fixture) now() time.Time { return time.Now().Add(time.Duration(f.clockOffset.Load())) }

// issue makes a certificate that is valid from an hour ago until an hour from now unless the spec
// states otherwise.
func issue(a *ca.Authority, s ca.Spec) *ca.Pair {
	if s.Names == nil {
		s.Names = []string{serverName}
	}
	if s.NotBefore.IsZero() {
		s.NotBefore = time.Now().Add(-time.Hour)
	}
	if s.NotAfter.IsZero() {
		s.NotAfter = time.Now().Add(time.Hour)
	}
	return a.Issue(s)
}

// unlimitedBudget is high enough not to delay any handshake of a test.
var unlimitedBudget = handshake.Config{PerServer: 1000, All: 1000, InitialWarmupRatio: 1, Burst: 1000}

// newFixture returns a fixture. The functions in change may adjust its options.
func newFixture(t *testing.T, change ...func(*Options, *certstore.Options)) *fixture {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	f := &fixture{t: t, root: ca.New(t, "root"), files: ca.NewFolder(t)}
	f.files.WriteFile(f.files.Roots, f.root.PEM())
	o := f.options()
	k := f.keyOptions(certstore.Paths{Roots: f.files.Roots})
	k.CertRequirements = validate.Requirements{MinRSABits: minRSABits}
	for _, c := range change {
		c(&o, &k)
	}
	f.reopen(o, k)
	return f
}

// options returns a client's options without its key store.
func (f *fixture) options() Options {
	return Options{
		Names:    &Names{Pattern: "{name}.example.org"},
		Budget:   unlimitedBudget,
		Sessions: 100,
		Timeout:  wait.Timeout,
		Log:      f.log.Logger(),
		Now:      f.now,
	}
}

// keyOptions returns the options of the client's key store.
func (f *fixture) keyOptions(paths certstore.Paths) certstore.Options {
	return certstore.Options{Paths: paths, ReplacementTime: time.Minute, Log: f.log.Logger(), Now: f.now}
}

// reopen replaces the client and its key store.
func (f *fixture) reopen(o Options, k certstore.Options) {
	f.t.Helper()
	var err error
	if f.keys, err = certstore.Open(k); err != nil {
		f.t.Fatal(err)
	}
	o.KeyStore = f.keys
	if f.client, err = New(o); err != nil {
		f.t.Fatal(err)
	}
}

// handshakeTCP performs a handshake over TCP.
func (f *fixture) handshakeTCP(t *engine.Target) (resumed bool, err error) {
	c, err := f.connect(t)
	if err != nil {
		return false, err
	}
	defer c.Close()
	return c.(*conn).ConnectionState().DidResume, nil
}

// connect returns a connection that has carried a request, so that the server's session tickets
// have arrived.
func (f *fixture) connect(t *engine.Target) (attempt.Session, error) {
	f.t.Helper()
	raw, err := net.Dial("tcp", t.Address)
	if err != nil {
		f.t.Fatal(err)
	}
	c, err := f.client.Secure(context.Background(), t, raw)
	if err != nil {
		return nil, err
	}
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") // if this fails, Read returns the cause
	response := make([]byte, 4096)
	length := 0
	for !strings.HasSuffix(string(response[:length]), "done") {
		n, err := c.Read(response[length:])
		length += n
		if err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// handshakeQUIC performs a handshake over QUIC.
func (f *fixture) handshakeQUIC(t *engine.Target) (resumed bool, err error) {
	f.t.Helper()
	config, end, err := f.client.QUIC(t)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.client.options.Timeout)
	defer cancel()
	c, err := quic.DialAddr(ctx, t.Address, http3.ConfigureTLSConfig(config), nil)
	if err != nil {
		end(tls.ConnectionState{}, err)
		return false, err
	}
	f.t.Cleanup(func() { _ = c.CloseWithError(0, "") }) // the session ticket arrives after the handshake
	state := c.ConnectionState().TLS
	if usable := end(state, nil); !usable(f.now()) {
		f.t.Error("a new connection is not usable")
	}
	return state.DidResume, nil
}

// target returns a target for a test server.
func target(s *tlsbackend.Server) *engine.Target {
	return &engine.Target{Name: "soko-3", Address: s.Address}
}
