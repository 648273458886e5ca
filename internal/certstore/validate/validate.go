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

// minCurveBits is the minimum size of an elliptic curve.
const minCurveBits = 256

// Requirements are the operator's requirements on an identity and on peers.
type Requirements struct {
	Names        []string // DNS names, IP addresses or spiffe:// URIs that the certificate must be valid for
	Server       bool     // the certificate is presented by a server, otherwise by a client
	MinRSABits   int      // minimum size of an RSA key
	AllowExpired bool     // accept an expired certificate of the identity, for emergencies
	// PeerExpiryGrace is how long an expired certificate of a peer is still accepted.
	PeerExpiryGrace time.Duration
}

// ChainRequirements are the requirements on a certificate chain.
type ChainRequirements struct {
	Names       []string // the leaf must be valid for all of them
	Usage       x509.ExtKeyUsage
	MinRSABits  int
	ExpiryGrace time.Duration // how long an expired leaf is still accepted
}

// CheckIdentity returns the first rule that the identity's certificate violates at the given time, nil if it is valid.
func (m *Material) CheckIdentity(now time.Time, requirements Requirements) *Fault {
	if m.Leaf() == nil {
		return nil // only roots are configured
	}
	chainRequirements := ChainRequirements{
		Names:      requirements.Names,
		Usage:      x509.ExtKeyUsageClientAuth,
		MinRSABits: requirements.MinRSABits,
	}
	if requirements.Server {
		chainRequirements.Usage = x509.ExtKeyUsageServerAuth
	}
	if requirements.AllowExpired {
		chainRequirements.ExpiryGrace = math.MaxInt64
	}
	_, fault := m.checkChain(now, certFile, m.Certs, chainRequirements)
	return fault
}

// errNoCertificate reports that a peer has presented no certificate.
var errNoCertificate = errors.New("no certificate was presented")

// checkChain checks a chain, leaf first, against the rules from Weak on. If there are roots, it also returns
// the chain from the leaf to one of them.
func (m *Material) checkChain(
	now time.Time, file string, chain []*x509.Certificate, requirements ChainRequirements,
) (verified []*x509.Certificate, fault *Fault) {
	if fault := checkStaticRules(file, chain, requirements); fault != nil {
		return nil, fault
	}
	verifyAt, fault := checkValidity(now, file, chain, requirements.ExpiryGrace)
	if fault != nil {
		return nil, fault
	}
	if len(m.Roots) == 0 {
		return nil, nil // an identity without roots: its peers decide whether to trust it
	}
	verified, err := m.VerifyChain(verifyAt, chain, requirements.Usage)
	if err != nil {
		return nil, &Fault{Rule: Untrusted, File: file, Reason: err.Error()}
	}
	for _, cert := range verified {
		if m.IsRevoked(cert) {
			reason := fmt.Sprintf("certificate %s with serial number %s is revoked", cert.Subject, cert.SerialNumber)
			return nil, &Fault{Rule: Revoked, File: file, Reason: reason}
		}
	}
	return verified, nil
}

// checkStaticRules checks the rules that do not depend on time or trust: Weak, WrongName and WrongUsage.
func checkStaticRules(file string, chain []*x509.Certificate, requirements ChainRequirements) *Fault {
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
		return &Fault{Rule: WrongUsage, File: file, Reason: "certificate is not meant for a " + side}
	}
	return nil
}

// checkValidity checks NotYetValid and Expired. It returns the time for which the chain must be verified: now, or the
// expiry of the leaf if the leaf has expired within the grace period.
func checkValidity(
	now time.Time, file string, chain []*x509.Certificate, grace time.Duration,
) (verifyAt time.Time, fault *Fault) {
	for _, cert := range chain {
		if now.Before(cert.NotBefore) {
			reason := "certificate is only valid from " + cert.NotBefore.UTC().Format(time.RFC3339)
			return now, &Fault{Rule: NotYetValid, File: file, ValidFrom: cert.NotBefore, Reason: reason}
		}
	}
	expiry := chain[0].NotAfter
	if !now.After(expiry) {
		return now, nil
	}
	if now.Sub(expiry) > grace {
		reason := "certificate was valid until " + expiry.UTC().Format(time.RFC3339)
		return now, &Fault{Rule: Expired, File: file, Reason: reason}
	}
	return expiry, nil
}

// VerifyChain returns a chain from the leaf through presented intermediates to a root of this material (RFC 5280,
// section 6). It does not check names.
func (m *Material) VerifyChain(
	now time.Time, presented []*x509.Certificate, usage x509.ExtKeyUsage,
) ([]*x509.Certificate, error) {
	if len(presented) == 0 {
		return nil, errNoCertificate
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

// checkStrength returns an error for weak keys and signatures. It does not check the signature of a certificate whose
// issuer is its subject: such a root is trusted because the operator configured it.
func checkStrength(cert *x509.Certificate, minRSABits int) error {
	switch key := cert.PublicKey.(type) {
	case *rsa.PublicKey:
		if bits := key.N.BitLen(); bits < minRSABits {
			return fmt.Errorf("RSA key has %d bits, at least %d are required", bits, minRSABits)
		}
	case *ecdsa.PublicKey:
		if bits := key.Curve.Params().BitSize; bits < minCurveBits {
			return fmt.Errorf("elliptic curve has %d bits, at least %d are required", bits, minCurveBits)
		}
	case ed25519.PublicKey:
	default:
		return errors.New("public key type is not supported")
	}
	if bytes.Equal(cert.RawIssuer, cert.RawSubject) {
		return nil
	}
	switch cert.SignatureAlgorithm {
	case x509.MD2WithRSA, x509.MD5WithRSA, x509.SHA1WithRSA, x509.DSAWithSHA1, x509.ECDSAWithSHA1:
		return fmt.Errorf("insecure signature algorithm %s", cert.SignatureAlgorithm)
	}
	return nil
}

// permitsUsage reports whether a certificate may be used for a purpose (RFC 5280, section 4.2.1.12). Without the
// extension, any use is permitted.
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
