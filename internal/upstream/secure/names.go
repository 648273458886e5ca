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

// namePlaceholder stands for a server's name in membership.
const namePlaceholder = "{name}"

// Names states which name each server's certificate must be for: one configured for the server,
// or one made of its name in membership by a pattern. It is never a name that the server itself
// presents.
type Names struct {
	Pattern  string            // may contain namePlaceholder, as in "{name}.example.org"
	ByServer map[string]string // by the server's name in membership; takes precedence over Pattern
}

// CertificateName returns the name that a server's certificate must be for. An error means that the server
// cannot be verified: nothing may be sent to it.
func (n *Names) CertificateName(server string) (string, error) {
	if configured := n.ByServer[server]; configured != "" {
		return configured, nil
	}
	if n.Pattern == "" {
		return "", fmt.Errorf("no name is known to verify %q by", server)
	}
	if !strings.Contains(n.Pattern, namePlaceholder) {
		return n.Pattern, nil
	}
	// Membership is input from outside: a dot, a slash or a star in a name would make another
	// name than the operator has meant.
	if !isLabel(server) {
		return "", fmt.Errorf("%q is no single label of a name, and cannot take the place of %s", server, namePlaceholder)
	}
	return strings.ReplaceAll(n.Pattern, namePlaceholder, server), nil
}

// isLabel reports whether a text is one label of a host name (RFC 1123, section 2.1), or has
// underscores, which are in use, too.
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

// CheckName returns an error where a text is neither a host name, an address or a SPIFFE ID, nor
// a pattern of one.
func CheckName(name string) error {
	example := strings.ReplaceAll(name, namePlaceholder, "name")
	if strings.HasPrefix(name, "spiffe://") {
		if !isSPIFFEID(example) {
			return fmt.Errorf("%q is no SPIFFE ID, such as spiffe://example.org/soko/%s", name, namePlaceholder)
		}
		return nil
	}
	if _, err := netip.ParseAddr(name); err == nil {
		return nil
	}
	for part := range strings.SplitSeq(example, ".") {
		if !isLabel(part) || len(example) > maxHostNameBytes {
			return fmt.Errorf("%q is no host name, address or SPIFFE ID", name)
		}
	}
	return nil
}

// isSPIFFEID reports whether a URL has a trust domain and a path and nothing else (SPIFFE ID,
// section 2).
func isSPIFFEID(text string) bool {
	id, err := url.Parse(text)
	if err != nil || id.Host == "" || id.Path == "" {
		return false
	}
	return id.Port() == "" && id.User == nil && id.RawQuery == "" && id.Fragment == ""
}
