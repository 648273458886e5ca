package validate

import (
	"bytes"
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"strings"
)

// PEM block types (RFC 7468).
const (
	pemCertificate         = "CERTIFICATE"
	pemRevocationList      = "X509 CRL"
	pemPrivateKeySuffix    = "PRIVATE KEY"
	pemECPrivateKey        = "EC PRIVATE KEY"
	pemRSAPrivateKey       = "RSA PRIVATE KEY"
	pemEncryptedPrivateKey = "ENCRYPTED PRIVATE KEY"
	pemEncryptionHeader    = "DEK-Info" // of encrypted keys in the older form (RFC 1421)
	pemBeginLine           = "-----BEGIN"
)

// Errors of private keys. They do not wrap the parser's error, which may contain parts of the key.
var (
	errKeyEncrypted  = errors.New("private key is encrypted, which is not supported")
	errKeyUnreadable = errors.New("private key cannot be parsed")
	errKeyCannotSign = errors.New("private key cannot sign")
)

// certID identifies a certificate of any issuer.
type certID struct {
	issuer string // distinguished name of the issuer, DER
	serial string // serial number, decimal
}

// idOf returns the ID of a certificate.
func idOf(cert *x509.Certificate) certID {
	return certID{issuer: string(cert.RawIssuer), serial: cert.SerialNumber.String()}
}

// parseIdentity parses the certificate chain and its private key.
func (m *Material) parseIdentity(cert, key []byte) (fault *Fault) {
	if m.Certs, fault = parseCertificates(certFile, cert); fault != nil {
		return fault
	}
	if m.Key, fault = parsePrivateKey(key); fault != nil {
		return fault
	}
	// All public key types of the standard library have Equal.
	public, ok := m.Key.Public().(interface{ Equal(crypto.PublicKey) bool })
	if !ok || !public.Equal(m.Certs[0].PublicKey) {
		return &Fault{Rule: KeyMismatch, File: keyFile, Reason: "private key does not belong to the certificate"}
	}
	return nil
}

// forEachBlock calls visit for each PEM block of a file. Text between blocks is ignored, as RFC 7468 permits. A file
// with a block that has no end line is incomplete.
func forEachBlock(file string, data []byte, visit func(*pem.Block) error) *Fault {
	for {
		block, rest := pem.Decode(data)
		if block == nil {
			if bytes.Contains(data, []byte(pemBeginLine)) {
				return &Fault{Rule: Incomplete, File: file, Reason: "a PEM block has no end line"}
			}
			return nil
		}
		if err := visit(block); err != nil {
			return &Fault{Rule: Incomplete, File: file, Reason: err.Error()}
		}
		data = rest
	}
}

// parseCertificates parses the certificates of a file, which must contain at least one.
func parseCertificates(file string, data []byte) (certs []*x509.Certificate, fault *Fault) {
	fault = forEachBlock(file, data, func(block *pem.Block) error {
		if block.Type != pemCertificate {
			return nil // a key may be in the same file
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		certs = append(certs, cert)
		return err
	})
	if fault == nil && len(certs) == 0 {
		fault = &Fault{Rule: Incomplete, File: file, Reason: "file contains no certificate"}
	}
	return certs, fault
}

// parsePrivateKey parses the first private key of a file.
func parsePrivateKey(data []byte) (key crypto.Signer, fault *Fault) {
	fault = forEachBlock(keyFile, data, func(block *pem.Block) (err error) {
		if key != nil || !strings.HasSuffix(block.Type, pemPrivateKeySuffix) {
			return nil
		}
		key, err = parseKeyBlock(block)
		return err
	})
	if fault == nil && key == nil {
		fault = &Fault{Rule: Incomplete, File: keyFile, Reason: "file contains no private key"}
	}
	return key, fault
}

// parseKeyBlock parses a private key in SEC 1 (RFC 5915), PKCS #1 (RFC 8017) or PKCS #8 (RFC 5958) form.
func parseKeyBlock(block *pem.Block) (crypto.Signer, error) {
	if block.Type == pemEncryptedPrivateKey || block.Headers[pemEncryptionHeader] != "" {
		return nil, errKeyEncrypted
	}
	var parsed any
	var err error
	switch block.Type {
	case pemECPrivateKey:
		parsed, err = x509.ParseECPrivateKey(block.Bytes)
	case pemRSAPrivateKey:
		parsed, err = x509.ParsePKCS1PrivateKey(block.Bytes)
	default:
		parsed, err = x509.ParsePKCS8PrivateKey(block.Bytes)
	}
	if err != nil {
		return nil, errKeyUnreadable
	}
	key, ok := parsed.(crypto.Signer)
	if !ok {
		return nil, errKeyCannotSign
	}
	return key, nil
}

// parseRevocationLists parses certificate revocation lists (RFC 5280, section 5). Each must be signed by a root of this
// material. Otherwise anyone who can write the file could cause connections to be closed.
func (m *Material) parseRevocationLists(data []byte) *Fault {
	fault := forEachBlock(revokedFile, data, func(block *pem.Block) error {
		if block.Type != pemRevocationList {
			return nil
		}
		list, err := x509.ParseRevocationList(block.Bytes)
		if err != nil {
			return err
		}
		return m.addRevocationList(list)
	})
	if fault == nil && len(m.RevocationLists) == 0 {
		fault = &Fault{Rule: Incomplete, File: revokedFile, Reason: "file contains no revocation list"}
	}
	return fault
}

// addRevocationList adds a list if one of the roots has signed it.
func (m *Material) addRevocationList(list *x509.RevocationList) error {
	for _, root := range m.Roots {
		if !bytes.Equal(root.RawSubject, list.RawIssuer) || list.CheckSignatureFrom(root) != nil {
			continue
		}
		m.RevocationLists = append(m.RevocationLists, list)
		for _, entry := range list.RevokedCertificateEntries {
			id := certID{issuer: string(list.RawIssuer), serial: entry.SerialNumber.String()}
			m.revoked[id] = true
		}
		return nil
	}
	return fmt.Errorf("revocation list issued by %s is not signed by any of the roots", list.Issuer)
}

// IsRevoked reports whether one of the revocation lists contains a certificate.
func (m *Material) IsRevoked(cert *x509.Certificate) bool { return m.revoked[idOf(cert)] }
