// Package cert provides a self-signed certificate for loopback, and the TLS configurations of a server that presents
// it and of a client that trusts it.
package cert

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/certstore/validate"
	"pinedale/internal/engine"
)

// loopback is the address that certificates are issued for.
const loopback = "127.0.0.1"

// Certificates are valid from clockSkew before their creation until lifetime after it.
const (
	clockSkew = time.Minute
	lifetime  = time.Hour
)

// sessionCacheSize is the number of sessions that a client may resume.
const sessionCacheSize = 8

// Pair is a certificate with its key. It implements the Securer interface of package http3upstream: handshakes are
// never delayed, and servers are verified by the client's configuration.
type Pair struct {
	Cert, Key []byte      // PEM
	Server    *tls.Config // presents the certificate
	Client    *tls.Config // trusts the certificate and resumes sessions
}

// New returns a new certificate for 127.0.0.1.
func New(t testing.TB) *Pair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := newTemplate()
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	p := &Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encodedKey}),
	}
	keyPair, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(p.Cert)
	p.Server = &tls.Config{Certificates: []tls.Certificate{keyPair}}
	p.Client = &tls.Config{
		RootCAs:            roots,
		ServerName:         loopback,
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
	}
	return p
}

// newTemplate returns the certificate to be signed.
func newTemplate() *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "loopback"},
		IPAddresses:           []net.IP{net.ParseIP(loopback)},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(lifetime),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
}

// CertificateStore returns a store that presents the certificate and admits any client.
func (p *Pair) CertificateStore(t testing.TB) *certstore.Store {
	t.Helper()
	dir := t.TempDir()
	paths := certstore.Paths{
		Cert: filepath.Join(dir, "cert"),
		Key:  filepath.Join(dir, "key"),
	}
	for path, data := range map[string][]byte{paths.Cert: p.Cert, paths.Key: p.Key} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := certstore.Open(certstore.Options{
		Paths:            paths,
		CertRequirements: validate.Requirements{Server: true},
		Log:              slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// AwaitTurn allows a handshake to begin at once.
func (p *Pair) AwaitTurn(context.Context, *engine.Target) error { return nil }

// QUIC returns the client's configuration. The connection may always carry new requests.
func (p *Pair) QUIC(*engine.Target) (
	config *tls.Config, end func(tls.ConnectionState, error) (usable func(now time.Time) bool), err error,
) {
	alwaysUsable := func(time.Time) bool { return true }
	end = func(tls.ConnectionState, error) func(time.Time) bool { return alwaysUsable }
	return p.Client, end, nil
}

// Retire does nothing.
func (p *Pair) Retire(*engine.Target) {}
