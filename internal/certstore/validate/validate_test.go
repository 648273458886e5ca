package validate

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"errors"
	"strings"
	"testing"
	"time"

	"pinedale/internal/standin/ca"
)

const testName = "soko-3.example.org"

// noon is the time of most offers in these tests.
var noon = ca.Epoch.Add(12 * time.Hour)

// configured returns a file with some content.
func configured(data []byte) File { return File{Configured: true, Data: data} }

// files returns the files of an identity and of roots.
func files(pair *ca.Pair, roots ...[]byte) Files {
	return Files{
		Cert:  configured(pair.Cert),
		Key:   configured(pair.Key),
		Roots: configured(bytes.Join(roots, nil)),
	}
}

// serverRequirements returns the requirements of a server.
func serverRequirements() Requirements {
	return Requirements{Names: []string{testName}, Server: true, MinRSABits: 2048}
}

// For each rule there are files that violate it, and similar files that are valid.
func TestFirstViolatedRuleIsReported(t *testing.T) {
	root := ca.New(t, "root")
	other := ca.New(t, "other")
	intermediate := root.NewIntermediate("between")
	validPair := root.Issue(ca.Spec{Names: []string{testName}})
	issue := func(authority *ca.Authority, spec ca.Spec) Files {
		if spec.Names == nil {
			spec.Names = []string{testName}
		}
		return files(authority.Issue(spec), root.PEM())
	}
	rsaKey := func(bits int) *rsa.PrivateKey {
		t.Helper()
		key, err := rsa.GenerateKey(rand.Reader, bits)
		if err != nil {
			t.Fatal(err)
		}
		return key
	}
	p224, err := ecdsa.GenerateKey(elliptic.P224(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	with := func(files Files, change func(*Files)) Files {
		change(&files)
		return files
	}
	valid := files(validPair, root.PEM())
	revoked := root.Issue(ca.Spec{Names: []string{testName}})
	issuedByIntermediate := intermediate.Issue(ca.Spec{Names: []string{testName}})
	for condition, c := range map[string]struct {
		files        Files
		requirements Requirements
		rule         Rule
		reason       string
	}{
		"valid": {valid, serverRequirements(), 0, ""},
		"valid, with an address": {
			files:        issue(root, ca.Spec{Names: []string{"127.0.0.1"}}),
			requirements: Requirements{Names: []string{"127.0.0.1"}},
		},
		"valid, with a SPIFFE ID": {
			files:        issue(root, ca.Spec{Names: []string{"spiffe://soko/pay"}}),
			requirements: Requirements{Names: []string{"spiffe://soko/pay"}},
		},
		"valid, with an intermediate": {files(issuedByIntermediate, root.PEM()), serverRequirements(), 0, ""},
		"valid, with an RSA key":      {issue(root, ca.Spec{Key: rsaKey(2048)}), serverRequirements(), 0, ""},
		"roots only":                  {Files{Roots: configured(root.PEM())}, Requirements{}, 0, ""},
		"text between the blocks": {
			files: with(valid, func(files *Files) {
				files.Cert.Data = append([]byte("issued for the market\n"), files.Cert.Data...)
			}),
			requirements: serverRequirements(),
		},
		"file missing": {
			files: with(valid, func(files *Files) {
				files.Cert = File{Configured: true, Err: errors.New("no such file")}
			}),
			requirements: serverRequirements(),
			rule:         Unreadable,
			reason:       "no such file",
		},
		"file empty": {with(valid, func(files *Files) { files.Key.Data = nil }), serverRequirements(), Unreadable, "empty"},
		"file too large": {
			files:        with(valid, func(files *Files) { files.Roots.Data = make([]byte, MaxFileBytes+1) }),
			requirements: serverRequirements(),
			rule:         Unreadable,
			reason:       "bytes",
		},
		"certificate truncated": {
			files:        with(valid, func(files *Files) { files.Cert.Data = files.Cert.Data[:200] }),
			requirements: serverRequirements(),
			rule:         Incomplete,
			reason:       "no end line",
		},
		"key truncated": {
			files:        with(valid, func(files *Files) { files.Key.Data = files.Key.Data[:60] }),
			requirements: serverRequirements(),
			rule:         Incomplete,
			reason:       "no end line",
		},
		"key in the certificate file": {
			files:        with(valid, func(files *Files) { files.Cert.Data = validPair.Key }),
			requirements: serverRequirements(),
			rule:         Incomplete,
			reason:       "no certificate",
		},
		"certificate in the key file": {
			files:        with(valid, func(files *Files) { files.Key.Data = validPair.Cert }),
			requirements: serverRequirements(),
			rule:         Incomplete,
			reason:       "no private key",
		},
		"invalid PEM block": {with(valid, func(input *Files) {
			input.Cert.Data = []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n")
		}), serverRequirements(), Incomplete, "x509"},
		"key of another certificate": {
			files:        with(valid, func(files *Files) { files.Key.Data = revoked.Key }),
			requirements: serverRequirements(),
			rule:         KeyMismatch,
			reason:       "does not belong to the certificate",
		},
		"RSA key too short": {issue(root, ca.Spec{Key: rsaKey(2048)}), Requirements{MinRSABits: 3072}, Weak, "2048 bits"},
		"curve too small":   {issue(root, ca.Spec{Key: p224}), serverRequirements(), Weak, "224 bits"},
		"another name": {
			files:        issue(root, ca.Spec{Names: []string{"soko-4.example.org"}}),
			requirements: serverRequirements(),
			rule:         WrongName,
			reason:       "soko-4.example.org",
		},
		"no name": {
			files:        issue(root, ca.Spec{Names: []string{}}),
			requirements: Requirements{Names: []string{testName}},
			rule:         WrongName,
			reason:       "no name",
		},
		"two SPIFFE IDs": {
			files:        issue(root, ca.Spec{Names: []string{"spiffe://soko/pay", "spiffe://soko/all"}}),
			requirements: Requirements{Names: []string{"spiffe://soko/pay"}},
			rule:         WrongName,
			reason:       "spiffe://soko/all",
		},
		"client certificate of a server": {
			files:        issue(root, ca.Spec{ExtKeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}),
			requirements: serverRequirements(),
			rule:         WrongUsage,
			reason:       "server",
		},
		"server certificate of a client": {
			files:        issue(root, ca.Spec{ExtKeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}),
			requirements: Requirements{},
			rule:         WrongUsage,
			reason:       "client",
		},
		"not valid yet": {
			files:        issue(root, ca.Spec{NotBefore: noon.Add(time.Minute)}),
			requirements: serverRequirements(),
			rule:         NotYetValid,
			reason:       "2026-01-01T12:01:00Z",
		},
		"expired": {
			files:        issue(root, ca.Spec{NotAfter: noon.Add(-time.Minute)}),
			requirements: serverRequirements(),
			rule:         Expired,
			reason:       "2026-01-01T11:59:00Z",
		},
		"expired, which is permitted": {
			files:        issue(root, ca.Spec{NotAfter: noon.Add(-time.Minute)}),
			requirements: Requirements{Names: []string{testName}, Server: true, AllowExpired: true},
		},
		"issued by another root": {issue(other, ca.Spec{}), serverRequirements(), Untrusted, "unknown authority"},
		"intermediate missing": {
			files:        issue(intermediate, ca.Spec{OmitIntermediate: true}),
			requirements: serverRequirements(),
			rule:         Untrusted,
			reason:       "unknown authority",
		},
		"revoked": {
			files: with(files(revoked, root.PEM()), func(files *Files) {
				files.Revoked = configured(root.RevocationList(revoked.Leaf))
			}),
			requirements: serverRequirements(),
			rule:         Revoked,
			reason:       "revoked",
		},
		"issuer revoked": {
			files: with(files(issuedByIntermediate, root.PEM()), func(files *Files) {
				files.Revoked = configured(root.RevocationList(intermediate.Cert))
			}),
			requirements: serverRequirements(),
			rule:         Revoked,
			reason:       "between",
		},
		"other certificate revoked": {
			files:        with(valid, func(files *Files) { files.Revoked = configured(root.RevocationList(revoked.Leaf)) }),
			requirements: serverRequirements(),
		},
		"revocation list of another root": {
			files:        with(valid, func(files *Files) { files.Revoked = configured(other.RevocationList(validPair.Leaf)) }),
			requirements: serverRequirements(),
			rule:         Incomplete,
			reason:       "not signed by any of the roots",
		},
		"certificate in the revocation list file": {
			files:        with(valid, func(files *Files) { files.Revoked = configured(validPair.Cert) }),
			requirements: serverRequirements(),
			rule:         Incomplete,
			reason:       "no revocation list",
		},
	} {
		material, fault := Parse(c.files)
		if fault == nil {
			fault = material.CheckIdentity(noon, c.requirements)
		}
		switch {
		case fault == nil && c.rule != 0:
			t.Errorf("%s: accepted, want %s", condition, c.rule)
		case fault != nil && (fault.Rule != c.rule || !strings.Contains(fault.Reason, c.reason)):
			t.Errorf("%s: %v, want %s with %q", condition, fault, c.rule, c.reason)
		}
	}
}
