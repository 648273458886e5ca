package validate

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/x509"
	"errors"
	"fmt"
	"math"
	"time"
)

// minCurveBits is the smallest elliptic curve that is accepted.
const minCurveBits = 256

// Requirements is what the operator requires of an identity and its trust.
type Requirements struct {
	Names        []string // DNS names, IP addresses or spiffe:// URIs that the certificate must be valid for
	Server       bool     // the certificate is presented by a server, otherwise by a client
	MinRSABits   int      // minimum RSA key size in bits
	AllowExpired bool     // accept an expired own certificate: for emergencies
	// PeerExpiryGrace is how long after its expiry a peer's certificate is still accepted, 0 by default.
	PeerExpiryGrace time.Duration
}

// ChainRequirements are what a certificate chain must satisfy.
type ChainRequirements struct {
	Names       []string // the leaf must be valid for each of them
	Usage       x509.ExtKeyUsage
	MinRSABits  int
	ExpiryGrace time.Duration // how long after its expiry the leaf is still accepted
}

// CheckIdentity returns the first rule that the own certificate breaks at an instant, nil if it may serve.
func (m *Material) CheckIdentity(now time.Time, want Requirements) *Fault {
	if m.Leaf() == nil {
		return nil // only trust is configured
	}
	requirements := ChainRequirements{
		Names:      want.Names,
		Usage:      x509.ExtKeyUsageClientAuth,
		MinRSABits: want.MinRSABits,
	}
	if want.Server {
		requirements.Usage = x509.ExtKeyUsageServerAuth
	}
	if want.AllowExpired {
		requirements.ExpiryGrace = math.MaxInt64
	}
	_, fault := m.checkChain(now, certFile, m.Certs, requirements)
	return fault
}

// checkChain checks a chain, leaf first, against the rules from Weak on. If there are roots, it also returns
// the chain from the leaf to one of them.
func (m *Material) checkChain(now time.Time, file string, chain []*x509.Certificate, requirements ChainRequirements) (
	verified []*x509.Certificate, fault *Fault,
) {
	if fault := checkForm(file, chain, requirements); fault != nil {
		return nil, fault
	}
	verifyAt, fault := checkValidity(now, file, chain, requirements.ExpiryGrace)
	if fault != nil {
		return nil, fault
	}
	if len(m.Roots) == 0 {
		return nil, nil // an own identity without roots: the peers decide whether they trust it
	}
	verified, err := m.VerifyChain(verifyAt, chain, requirements.Usage)
	if err != nil {
		return nil, &Fault{Rule: Untrusted, File: file, Reason: err.Error()}
	}
	for _, cert := range verified {
		if m.IsRevoked(cert) {
			reason := fmt.Sprintf("%s, number %s, is revoked", cert.Subject, cert.SerialNumber)
			return nil, &Fault{Rule: Revoked, File: file, Reason: reason}
		}
	}
	return verified, nil
}

// checkForm checks what does not depend on time or trust: Weak, WrongName and WrongUsage.
func checkForm(file string, chain []*x509.Certificate, requirements ChainRequirements) *Fault {
	for i, cert := range chain {
		if err := checkStrength(cert, requirements.MinRSABits); err != nil {
			return &Fault{Rule: Weak, File: file, Reason: fmt.Sprintf("certificate %d: %s", i+1, err)}
		}
	}
	leaf := chain[0]
	for _, name := range requirements.Names {
		if err := MatchName(leaf, name); err != nil {
			return &Fault{Rule: WrongName, File: file, Reason: err.Error()}
		}
	}
	if !permitsUsage(leaf, requirements.Usage) {
		side := "client"
		if requirements.Usage == x509.ExtKeyUsageServerAuth {
			side = "server"
		}
		return &Fault{Rule: WrongUsage, File: file, Reason: "it is not meant for a " + side}
	}
	return nil
}

// checkValidity checks NotYetValid and Expired. It returns the instant for which the chain is to be verified:
// now, or the leaf's expiry if that has passed within the grace.
func checkValidity(now time.Time, file string, chain []*x509.Certificate, grace time.Duration) (time.Time, *Fault) {
	for _, cert := range chain {
		if now.Before(cert.NotBefore) {
			reason := "it is valid from " + cert.NotBefore.UTC().Format(time.RFC3339)
			return now, &Fault{Rule: NotYetValid, File: file, ValidFrom: cert.NotBefore, Reason: reason}
		}
	}
	expiry := chain[0].NotAfter
	if !now.After(expiry) {
		return now, nil
	}
	if now.Sub(expiry) > grace {
		reason := "it was valid until " + expiry.UTC().Format(time.RFC3339)
		return now, &Fault{Rule: Expired, File: file, Reason: reason}
	}
	return expiry, nil
}

// VerifyChain returns a chain from the leaf, over the intermediates presented with it, to a root of this
// material (RFC 5280, section 6). It does not check names.
func (m *Material) VerifyChain(now time.Time, presented []*x509.Certificate, usage x509.ExtKeyUsage) (
	[]*x509.Certificate, error,
) {
	if len(presented) == 0 {
		return nil, errors.New("no certificate was shown")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range presented[1:] {
		intermediates.AddCert(cert)
	}
	chains, err := presented[0].Verify(x509.VerifyOptions{
		Roots:         m.Pool(),
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return nil, err
	}
	return chains[0], nil
}

// checkStrength returns an error for keys and signatures that can be forged. The signature of a self-signed
// root is not checked: it is trusted because the operator configured it.
func checkStrength(cert *x509.Certificate, minRSABits int) error {
	switch key := cert.PublicKey.(type) {
	case *rsa.PublicKey:
		if bits := key.N.BitLen(); bits < minRSABits {
			return fmt.Errorf("RSA with %d bits, at least %d are asked for", bits, minRSABits)
		}
	case *ecdsa.PublicKey:
		if bits := key.Curve.Params().BitSize; bits < minCurveBits {
			return fmt.Errorf("a curve of %d bits, at least %d are asked for", bits, minCurveBits)
		}
	case ed25519.PublicKey:
	default:
		return errors.New("its key is of no known kind")
	}
	if bytes.Equal(cert.RawIssuer, cert.RawSubject) {
		return nil
	}
	switch cert.SignatureAlgorithm {
	case x509.MD2WithRSA, x509.MD5WithRSA, x509.SHA1WithRSA, x509.DSAWithSHA1, x509.ECDSAWithSHA1:
		return fmt.Errorf("it is signed with %s", cert.SignatureAlgorithm)
	}
	return nil
}

// permitsUsage reports whether a certificate may be used for a purpose (RFC 5280, section 4.2.1.12). One
// without the extension may be used for any.
func permitsUsage(cert *x509.Certificate, usage x509.ExtKeyUsage) bool {
	if len(cert.ExtKeyUsage) == 0 && len(cert.UnknownExtKeyUsage) == 0 {
		return true
	}
	for _, permitted := range cert.ExtKeyUsage {
		if permitted == usage || permitted == x509.ExtKeyUsageAny {
			return true
		}
	}
	return false
}
