// Package ca provides a certificate authority for tests, which issues the certificates that servers and clients may
// present, valid or not.
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

// Types of PEM blocks.
const (
	pemCertificate    = "CERTIFICATE"
	pemPrivateKey     = "PRIVATE KEY"
	pemRevocationList = "X509 CRL"
)

// Epoch is when certificates of authorities become valid. They are valid for ten years.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TB is the part of testing.TB that reports errors. [PanicOnFatal] implements it for use outside of tests.
type TB interface {
	Helper()
	Fatal(args ...any)
}

// PanicOnFatal is a [TB] that panics with an error. Measurements use it: a certificate that cannot be created is a
// fault of the program.
type PanicOnFatal struct{}

// Helper implements [TB] and does nothing.
func (PanicOnFatal) Helper() {}

// Fatal implements [TB] and panics with an error.
func (PanicOnFatal) Fatal(args ...any) { panic(errors.New(fmt.Sprint(args...))) }

// Authority signs certificates.
type Authority struct {
	Cert *x509.Certificate
	Key  crypto.Signer

	t      TB
	issuer *Authority // nil for a root
}

// New returns a root authority.
func New(t TB, name string) *Authority {
	t.Helper()
	return newAuthority(t, name, nil)
}

// NewIntermediate returns an authority whose certificate this one has signed.
func (a *Authority) NewIntermediate(name string) *Authority {
	a.t.Helper()
	return newAuthority(a.t, name, a)
}

func newAuthority(t TB, name string, issuer *Authority) *Authority {
	t.Helper()
	a := &Authority{t: t, Key: newKey(t), issuer: issuer}
	template := &x509.Certificate{
		SerialNumber:          nextSerialNumber(),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             Epoch,
		NotAfter:              Epoch.AddDate(10, 0, 0),
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	parent, signer := template, a.Key
	if issuer != nil {
		parent, signer = issuer.Cert, issuer.Key
	}
	a.Cert = sign(t, template, parent, a.Key.Public(), signer)
	return a
}

// newKey returns a new private key for P-256.
func newKey(t TB) crypto.Signer {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// lastSerialNumber is the serial number of the most recent certificate or revocation list.
var lastSerialNumber atomic.Int64

func nextSerialNumber() *big.Int { return big.NewInt(lastSerialNumber.Add(1)) }

// sign returns the certificate of template for a public key, signed by the signer of parent.
func sign(
	t TB, template, parent *x509.Certificate, public crypto.PublicKey, signer crypto.Signer,
) *x509.Certificate {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, signer)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}

// PEM returns the authority's own certificate.
func (a *Authority) PEM() []byte { return encodePEM(pemCertificate, a.Cert.Raw) }

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}

// Pair is a certificate and its private key.
type Pair struct {
	Cert   []byte // PEM, followed by the intermediate certificates
	Key    []byte // PEM
	Leaf   *x509.Certificate
	Signer crypto.Signer
}

// Spec describes a certificate. The zero value describes one that both servers and clients may present.
type Spec struct {
	Names            []string           // DNS names, IP addresses and URIs
	NotBefore        time.Time          // Epoch if zero
	NotAfter         time.Time          // a day after NotBefore if zero
	ExtKeyUsages     []x509.ExtKeyUsage // server and client authentication if nil
	Key              crypto.Signer      // a new one for P-256 if nil
	OmitIntermediate bool               // leaves the chain incomplete
}

// withDefaults returns the spec with all fields set.
func (s Spec) withDefaults(t TB) Spec {
	t.Helper()
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
		s.Key = newKey(t)
	}
	return s
}

// template returns the certificate to be signed.
func (s Spec) template() *x509.Certificate {
	template := &x509.Certificate{
		SerialNumber:          nextSerialNumber(),
		Subject:               pkix.Name{CommonName: "issued"},
		NotBefore:             s.NotBefore,
		NotAfter:              s.NotAfter,
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           s.ExtKeyUsages,
		BasicConstraintsValid: true,
	}
	for _, name := range s.Names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else if uri, err := url.Parse(name); err == nil && uri.Scheme != "" {
			template.URIs = append(template.URIs, uri)
		} else {
			template.DNSNames = append(template.DNSNames, name)
		}
	}
	return template
}

// Issue returns a new certificate with its key.
func (a *Authority) Issue(spec Spec) *Pair {
	a.t.Helper()
	spec = spec.withDefaults(a.t)
	leaf := sign(a.t, spec.template(), a.Cert, spec.Key.Public(), a.Key)
	chain := encodePEM(pemCertificate, leaf.Raw)
	if !spec.OmitIntermediate {
		for authority := a; authority.issuer != nil; authority = authority.issuer {
			chain = append(chain, authority.PEM()...)
		}
	}
	key, err := x509.MarshalPKCS8PrivateKey(spec.Key)
	if err != nil {
		a.t.Fatal(err)
	}
	return &Pair{
		Cert:   chain,
		Key:    encodePEM(pemPrivateKey, key),
		Leaf:   leaf,
		Signer: spec.Key,
	}
}

// IssueFor returns a new certificate with its key. It became valid an hour ago and expires after the remaining time.
func (a *Authority) IssueFor(remaining time.Duration, names ...string) *Pair {
	a.t.Helper()
	now := time.Now()
	return a.Issue(Spec{Names: names, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(remaining)})
}

// RevocationList returns a list, as PEM, that revokes certificates. It is valid for a year from Epoch.
func (a *Authority) RevocationList(revoked ...*x509.Certificate) []byte {
	a.t.Helper()
	list := &x509.RevocationList{
		Number:     nextSerialNumber(),
		ThisUpdate: Epoch,
		NextUpdate: Epoch.AddDate(1, 0, 0),
	}
	for _, certificate := range revoked {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, x509.RevocationListEntry{
			SerialNumber:   certificate.SerialNumber,
			RevocationTime: Epoch,
		})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, a.Cert, a.Key)
	if err != nil {
		a.t.Fatal(err)
	}
	return encodePEM(pemRevocationList, der)
}
