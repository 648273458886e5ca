// Package ca is a certificate authority for tests: it issues what a server or client may
// come to show, sound or not.
package ca

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"sync/atomic"
	"time"
)

// T is what is told of trouble that must not be: a test, or a measurement.
type TB interface {
	Helper()
	Fatal(args ...any)
}

// Must is a T that panics with an error: for measurements, where a certificate that cannot be
// made is a fault of the program.
type PanicOnFatal struct{}

// Helper does nothing.
func (PanicOnFatal) Helper() {}

// Fatal panics.
func (PanicOnFatal) Fatal(args ...any) { panic(errors.New(fmt.Sprint(args...))) }

// Authority signs certificates.
type Authority struct {
	t     TB
	Cert  *x509.Certificate
	Key   crypto.Signer
	above *Authority // nil for a root
}

var numbers atomic.Int64

// Pair is a certificate and its key, as PEM, with what stands between it and the root.
type Pair struct {
	Cert, Key []byte
	Leaf      *x509.Certificate
	Signer    crypto.Signer
}

// Spec is what is issued. The zero value is a sound certificate for a server and a client.
type Spec struct {
	Names               []string // DNS names, addresses and URIs
	NotBefore, NotAfter time.Time
	ExtKeyUsages        []x509.ExtKeyUsage
	Key                 crypto.Signer // nil for a new one of P-256
	OmitIntermediate    bool          // half a chain
}

// Epoch is when authorities begin; they last for ten years.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New makes a root.
func New(t TB, name string) *Authority { return authority(t, name, nil) }

// Below makes an authority that this one vouches for.
func (a *Authority) NewIntermediate(name string) *Authority { return authority(a.t, name, a) }

func key(t TB) crypto.Signer {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func authority(t TB, name string, above *Authority) *Authority {
	t.Helper()
	a := &Authority{t: t, Key: key(t), above: above}
	about := &x509.Certificate{SerialNumber: big.NewInt(numbers.Add(1)), Subject: pkix.Name{CommonName: name}, NotBefore: Epoch, NotAfter: Epoch.AddDate(10, 0, 0),
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign, IsCA: true, BasicConstraintsValid: true}
	by, signer := about, a.Key
	if above != nil {
		by, signer = above.Cert, above.Key
	}
	a.Cert = a.sign(about, by, a.Key.Public(), signer)
	return a
}

func (a *Authority) sign(about, by *x509.Certificate, public crypto.PublicKey, signer crypto.Signer) *x509.Certificate {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, about, by, public, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}

// PEM is the authority's own certificate.
func (a *Authority) PEM() []byte { return block("CERTIFICATE", a.Cert.Raw) }

func block(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue makes a certificate. It is valid for a day from Epoch on unless the spec says otherwise.
func (a *Authority) Issue(s Spec) *Pair {
	a.t.Helper()
	if s.NotBefore.IsZero() {
		s.NotBefore = Epoch
	}
	if s.NotAfter.IsZero() {
		s.NotAfter = s.NotBefore.AddDate(0, 0, 1)
	}
	if s.ExtKeyUsages == nil {
		s.ExtKeyUsages = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	}
	if s.Key == nil {
		s.Key = key(a.t)
	}
	about := &x509.Certificate{SerialNumber: big.NewInt(numbers.Add(1)), Subject: pkix.Name{CommonName: "issued"}, NotBefore: s.NotBefore, NotAfter: s.NotAfter,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: s.ExtKeyUsages, BasicConstraintsValid: true}
	for _, name := range s.Names {
		if ip := net.ParseIP(name); ip != nil {
			about.IPAddresses = append(about.IPAddresses, ip)
		} else if u, err := url.Parse(name); err == nil && u.Scheme != "" {
			about.URIs = append(about.URIs, u)
		} else {
			about.DNSNames = append(about.DNSNames, name)
		}
	}
	p := &Pair{Signer: s.Key, Leaf: a.sign(about, a.Cert, s.Key.Public(), a.Key)}
	p.Cert = block("CERTIFICATE", p.Leaf.Raw)
	for up := a; up.above != nil && !s.OmitIntermediate; up = up.above {
		p.Cert = append(p.Cert, up.PEM()...)
	}
	private, err := x509.MarshalPKCS8PrivateKey(s.Key)
	if err != nil {
		a.t.Fatal(err)
	}
	p.Key = block("PRIVATE KEY", private)
	return p
}

// Revoke makes a list that names these.
func (a *Authority) RevocationList(all ...*x509.Certificate) []byte {
	a.t.Helper()
	list := &x509.RevocationList{Number: big.NewInt(numbers.Add(1)), ThisUpdate: Epoch, NextUpdate: Epoch.AddDate(1, 0, 0)}
	for _, c := range all {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, x509.RevocationListEntry{SerialNumber: c.SerialNumber, RevocationTime: Epoch})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, a.Cert, a.Key)
	if err != nil {
		a.t.Fatal(err)
	}
	return block("X509 CRL", der)
}
