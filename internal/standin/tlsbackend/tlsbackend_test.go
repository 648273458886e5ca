package tlsbackend

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pinedale/internal/standin/ca"
)

// testTimeout is how long a test waits for a response.
const testTimeout = 20 * time.Second

// clientConfig returns a configuration that trusts an authority, and presents the given certificates.
func clientConfig(root *ca.Authority, certificates ...tls.Certificate) *tls.Config {
	roots := x509.NewCertPool()
	roots.AddCert(root.Cert)
	return &tls.Config{
		RootCAs:            roots,
		Certificates:       certificates,
		ServerName:         "127.0.0.1",
		ClientSessionCache: tls.NewLRUClientSessionCache(8),
		Time:               func() time.Time { return ca.Epoch.Add(time.Hour) },
	}
}

// get sends a request on a connection of its own and returns the response's body and TLS state.
func get(t *testing.T, address string, config *tls.Config) (string, *tls.ConnectionState, error) {
	t.Helper()
	client := http.Client{
		Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true},
		Timeout:   testTimeout,
	}
	response, err := client.Get("https://" + address + "/")
	if err != nil {
		return "", nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), response.TLS, err
}

func newPair(t *testing.T, root *ca.Authority) *ca.Pair {
	t.Helper()
	return root.Issue(ca.Spec{Names: []string{"127.0.0.1"}})
}

func TestSessionsAreResumedUntilTicketKeyRotates(t *testing.T) {
	root := ca.New(t, "root")
	s := Start(t, newPair(t, root))
	config := clientConfig(root)
	expect := func(what string, wantFull, wantResumed int) {
		t.Helper()
		body, state, err := get(t, s.Address, config)
		if err != nil || body != "done" {
			t.Fatalf("%s: response %q, %v", what, body, err)
		}
		full, resumed := s.Handshakes()
		if full != wantFull || resumed != wantResumed {
			t.Errorf("%s: %d full and %d resumed handshakes, want %d and %d", what, full, resumed, wantFull, wantResumed)
		}
		if state.Version != tls.VersionTLS13 {
			t.Errorf("%s: TLS version %x, want TLS 1.3", what, state.Version)
		}
	}
	expect("first", 1, 0)
	expect("resumed", 1, 1)
	s.RotateTicketKey()
	expect("after the rotation", 2, 1)
	s.SetSessionTickets(false)
	expect("without tickets", 3, 1)
	if n := s.Requests(); n != 4 {
		t.Errorf("%d requests, want 4", n)
	}
}

func TestCertificateIsReplacedForNewHandshakes(t *testing.T) {
	oldRoot, newRoot := ca.New(t, "old"), ca.New(t, "new")
	s := Start(t, newPair(t, oldRoot))
	s.SetCertificate(newPair(t, newRoot))
	if _, _, err := get(t, s.Address, clientConfig(oldRoot)); err == nil {
		t.Error("the old certificate is still presented")
	}
	if _, _, err := get(t, s.Address, clientConfig(newRoot)); err != nil {
		t.Errorf("request with trust in the new certificate: %v", err)
	}
}

func TestClientCAsRequireCertificate(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	s := Start(t, newPair(t, root))
	certificate := func(issuer *ca.Authority) tls.Certificate {
		t.Helper()
		// The server verifies by the system's clock.
		pair := issuer.IssueFor(time.Hour)
		certificate, err := tls.X509KeyPair(pair.Cert, pair.Key)
		if err != nil {
			t.Fatal(err)
		}
		return certificate
	}
	s.SetClientCAs(root)
	if _, _, err := get(t, s.Address, clientConfig(root)); err == nil {
		t.Error("a client without a certificate is accepted")
	}
	if _, _, err := get(t, s.Address, clientConfig(root, certificate(other))); err == nil {
		t.Error("a client with a certificate of another authority is accepted")
	}
	if _, _, err := get(t, s.Address, clientConfig(root, certificate(root))); err != nil {
		t.Errorf("a client with a certificate of the authority: %v", err)
	}
	s.SetClientCAs()
	if _, _, err := get(t, s.Address, clientConfig(root)); err != nil {
		t.Errorf("a client without a certificate, when none is required: %v", err)
	}
}

func TestMaxVersionLimitsTLS(t *testing.T) {
	root := ca.New(t, "root")
	s := Start(t, newPair(t, root))
	s.SetMaxVersion(tls.VersionTLS12)
	_, state, err := get(t, s.Address, clientConfig(root))
	if err != nil || state.Version != tls.VersionTLS12 {
		t.Errorf("state %+v, %v; want TLS 1.2", state, err)
	}
}

func TestHandshakeFaultsBreakHandshake(t *testing.T) {
	root := ca.New(t, "root")
	for name, test := range map[string]struct {
		fault       HandshakeFault
		wantTimeout bool
	}{
		"unresponsive": {Unresponsive, true},
		"disconnect":   {Disconnect, false},
		"garbage":      {Garbage, false},
		"plain HTTP":   {PlainHTTP, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", ListenFaulty(t, test.fault))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			timeout := testTimeout
			if test.wantTimeout {
				timeout = 200 * time.Millisecond
			}
			if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
				t.Fatal(err)
			}
			err = tls.Client(conn, clientConfig(root)).Handshake()
			var netErr net.Error
			timedOut := errors.As(err, &netErr) && netErr.Timeout()
			if err == nil || timedOut != test.wantTimeout {
				t.Errorf("handshake error %v, want an error that is a timeout: %v", err, test.wantTimeout)
			}
		})
	}
}
