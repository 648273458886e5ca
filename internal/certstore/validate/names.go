package validate

import (
	"crypto/x509"
	"fmt"
	"net/netip"
	"strings"
)

// spiffeScheme is the prefix of SPIFFE IDs.
const spiffeScheme = "spiffe://"

// MatchName returns an error unless a certificate is valid for a name: a DNS name or an IP address (RFC 9525),
// or a SPIFFE ID, which must be its only URI (SPIFFE X.509-SVID, section 2).
func MatchName(cert *x509.Certificate, name string) error {
	if strings.HasPrefix(name, spiffeScheme) {
		if len(cert.URIs) != 1 || cert.URIs[0].String() != name {
			return fmt.Errorf("certificate is not valid for %s (names: %s)", name, NamesOf(cert))
		}
		return nil
	}
	host := name
	if _, err := netip.ParseAddr(name); err == nil {
		host = "[" + name + "]" // the form in which VerifyHostname expects addresses
	}
	if err := cert.VerifyHostname(host); err != nil {
		return fmt.Errorf("certificate is not valid for %s (names: %s)", strings.Trim(host, "[]"), NamesOf(cert))
	}
	return nil
}

// NamesOf returns the names that a certificate is valid for, as text for logs.
func NamesOf(cert *x509.Certificate) string {
	var names []string
	names = append(names, cert.DNSNames...)
	for _, ip := range cert.IPAddresses {
		names = append(names, ip.String())
	}
	for _, uri := range cert.URIs {
		names = append(names, uri.String())
	}
	if len(names) == 0 {
		return "no name"
	}
	return strings.Join(names, ", ")
}
