// Package cert makes certificates for tests: one for loopback, signed by itself.
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

// Pair is a certificate and its key, and who trusts it.
type Pair struct {
	Cert, Key []byte // PEM
	Server    *tls.Config
	Client    *tls.Config // trusts the certificate; sessions are resumed
}

// CertificateStore is one that shows the certificate, and lets in whoever comes.
func (p *Pair) CertificateStore(t *testing.T) *certstore.Store {
	t.Helper()
	dir := t.TempDir()
	paths := certstore.Paths{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	for path, data := range map[string][]byte{paths.Cert: p.Cert, paths.Key: p.Key} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := certstore.Open(certstore.Options{Paths: paths, Want: validate.Requirements{Server: true}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// Turn sets no bound on handshakes. With QUIC and Retire it makes a pair an http3upstream.Securer
// that verifies by the client's configuration.
func (p *Pair) Turn(context.Context, *engine.Target) error { return nil }

// QUIC returns the client's configuration.
func (p *Pair) QUIC(*engine.Target) (*tls.Config, func(tls.ConnectionState, error) func(time.Time) bool, error) {
	return p.Client, func(tls.ConnectionState, error) func(time.Time) bool { return func(time.Time) bool { return true } }, nil
}

// Retire does nothing.
func (p *Pair) Retire(*engine.Target) {}

// New makes a pair for 127.0.0.1, good for an hour.
func New(t *testing.T) *Pair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	about := x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "loopback"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, &about, &about, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	p := &Pair{Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), Key: pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private})}
	both, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(p.Cert)
	p.Server = &tls.Config{Certificates: []tls.Certificate{both}}
	p.Client = &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", ClientSessionCache: tls.NewLRUClientSessionCache(8)}
	return p
}
