package secure

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// Limits of host names (RFC 1035, section 2.3.4).
const (
	maxLabelBytes    = 63
	maxHostNameBytes = 253
)

// namePlaceholder is replaced by a server's name in membership.
const namePlaceholder = "{name}"

// Names states which name each server's certificate must be for: one configured for the server,
// or one derived by a pattern from its name in membership. It is never taken from the certificate
// that the server presents.
type Names struct {
	Pattern  string            // may contain namePlaceholder, as in "{name}.example.org"
	ByServer map[string]string // by the server's name in membership; takes precedence over Pattern
}

// CertificateName returns the name that a server's certificate must be for. If it returns an error, the server
// cannot be verified and nothing may be sent to it.
func (n *Names) CertificateName(server string) (string, error) {
	if configured := n.ByServer[server]; configured != "" {
		return configured, nil
	}
	if n.Pattern == "" {
		return "", fmt.Errorf("no certificate name is configured for server %q", server)
	}
	if !strings.Contains(n.Pattern, namePlaceholder) {
		return n.Pattern, nil
	}
	// Membership is untrusted input: with a dot, a slash or an asterisk, a server could change the name that is
	// verified to one that the operator did not intend.
	if !isLabel(server) {
		return "", fmt.Errorf("server name %q is not a single host name label and cannot replace %s", server, namePlaceholder)
	}
	return strings.ReplaceAll(n.Pattern, namePlaceholder, server), nil
}

// isLabel reports whether a text is one label of a host name (RFC 1123, section 2.1). Underscores
// are allowed as well, since they are in use.
func isLabel(text string) bool {
	if text == "" || len(text) > maxLabelBytes || text[0] == '-' || text[len(text)-1] == '-' {
		return false
	}
	for _, c := range text {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// CheckName returns an error unless a text is a host name, an IP address or a SPIFFE ID, or a
// pattern of one.
func CheckName(name string) error {
	example := strings.ReplaceAll(name, namePlaceholder, "name")
	if strings.HasPrefix(name, "spiffe://") {
		if !isSPIFFEID(example) {
			return fmt.Errorf("%q is not a SPIFFE ID such as spiffe://example.org/soko/%s", name, namePlaceholder)
		}
		return nil
	}
	if _, err := netip.ParseAddr(name); err == nil {
		return nil
	}
	for part := range strings.SplitSeq(example, ".") {
		if !isLabel(part) || len(example) > maxHostNameBytes {
			return fmt.Errorf("%q is not a host name, IP address or SPIFFE ID", name)
		}
	}
	return nil
}

// isSPIFFEID reports whether a URL consists of a scheme, a trust domain and a path only (SPIFFE
// ID, section 2). The caller has checked the scheme.
func isSPIFFEID(text string) bool {
	id, err := url.Parse(text)
	if err != nil || id.Host == "" || id.Path == "" {
		return false
	}
	return id.Port() == "" && id.User == nil && id.RawQuery == "" && id.Fragment == ""
}
