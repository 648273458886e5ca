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

func configured(data []byte) File { return File{Configured: true, Data: data} }

func files(p *ca.Pair, roots ...[]byte) Files {
	return Files{Cert: configured(p.Cert), Key: configured(p.Key), Roots: configured(bytes.Join(roots, nil))}
}

func serverWant() Requirements {
	return Requirements{Names: []string{testName}, Server: true, MinRSABits: 2048}
}

// Each rule has inputs that break it, and inputs that nearly do.
func TestFirstBrokenRuleIsReported(t *testing.T) {
	root, other := ca.New(t, "root"), ca.New(t, "other")
	intermediate := root.NewIntermediate("between")
	sound := root.Issue(ca.Spec{Names: []string{testName}})
	issue := func(a *ca.Authority, s ca.Spec) Files {
		if s.Names == nil {
			s.Names = []string{testName}
		}
		return files(a.Issue(s), root.PEM())
	}
	rsaKey := func(bits int) *rsa.PrivateKey {
		k, err := rsa.GenerateKey(rand.Reader, bits)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	p224, err := ecdsa.GenerateKey(elliptic.P224(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	with := func(files Files, change func(*Files)) Files {
		change(&files)
		return files
	}
	ok := files(sound, root.PEM())
	revoked := root.Issue(ca.Spec{Names: []string{testName}})
	below := intermediate.Issue(ca.Spec{Names: []string{testName}})
	for condition, c := range map[string]struct {
		files  Files
		want   Requirements
		rule   Rule
		reason string
	}{
		"sound": {ok, serverWant(), 0, ""},
		"sound, an address": {
			files: issue(root, ca.Spec{Names: []string{"127.0.0.1"}}),
			want:  Requirements{Names: []string{"127.0.0.1"}},
		},
		"sound, SPIFFE": {
			files: issue(root, ca.Spec{Names: []string{"spiffe://soko/pay"}}),
			want:  Requirements{Names: []string{"spiffe://soko/pay"}},
		},
		"sound, over another": {files(below, root.PEM()), serverWant(), 0, ""},
		"sound, RSA":          {issue(root, ca.Spec{Key: rsaKey(2048)}), serverWant(), 0, ""},
		"trust alone":         {Files{Roots: configured(root.PEM())}, Requirements{}, 0, ""},
		"text between the blocks": {
			files: with(ok, func(files *Files) {
				files.Cert.Data = append([]byte("issued for the market\n"), files.Cert.Data...)
			}),
			want: serverWant(),
		},
		"gone": {
			files: with(ok, func(files *Files) {
				files.Cert = File{Configured: true, Err: errors.New("no such file")}
			}),
			want:   serverWant(),
			rule:   Unreadable,
			reason: "no such file",
		},
		"empty": {with(ok, func(files *Files) { files.Key.Data = nil }), serverWant(), Unreadable, "empty"},
		"too large": {
			files:  with(ok, func(files *Files) { files.Roots.Data = make([]byte, MaxFileBytes+1) }),
			want:   serverWant(),
			rule:   Unreadable,
			reason: "bytes",
		},
		"half a certificate": {
			files:  with(ok, func(files *Files) { files.Cert.Data = files.Cert.Data[:200] }),
			want:   serverWant(),
			rule:   Incomplete,
			reason: "does not end",
		},
		"half a key": {
			files:  with(ok, func(files *Files) { files.Key.Data = files.Key.Data[:60] }),
			want:   serverWant(),
			rule:   Incomplete,
			reason: "does not end",
		},
		"a key for a certificate": {
			files:  with(ok, func(files *Files) { files.Cert.Data = sound.Key }),
			want:   serverWant(),
			rule:   Incomplete,
			reason: "no certificate",
		},
		"a certificate for a key": {
			files:  with(ok, func(files *Files) { files.Key.Data = sound.Cert }),
			want:   serverWant(),
			rule:   Incomplete,
			reason: "no private key",
		},
		"noise in a block": {with(ok, func(input *Files) {
			input.Cert.Data = []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n")
		}), serverWant(), Incomplete, "x509"},
		"another's key": {
			files:  with(ok, func(files *Files) { files.Key.Data = revoked.Key }),
			want:   serverWant(),
			rule:   KeyMismatch,
			reason: "not the certificate's",
		},
		"small RSA":   {issue(root, ca.Spec{Key: rsaKey(2048)}), Requirements{MinRSABits: 3072}, Weak, "2048 bits"},
		"small curve": {issue(root, ca.Spec{Key: p224}), serverWant(), Weak, "224 bits"},
		"another name": {
			files:  issue(root, ca.Spec{Names: []string{"soko-4.example.org"}}),
			want:   serverWant(),
			rule:   WrongName,
			reason: "soko-4.example.org",
		},
		"no name": {
			files:  issue(root, ca.Spec{Names: []string{}}),
			want:   Requirements{Names: []string{testName}},
			rule:   WrongName,
			reason: "no name",
		},
		"two SPIFFE names": {
			files:  issue(root, ca.Spec{Names: []string{"spiffe://soko/pay", "spiffe://soko/all"}}),
			want:   Requirements{Names: []string{"spiffe://soko/pay"}},
			rule:   WrongName,
			reason: "spiffe://soko/all",
		},
		"a client's for a server": {
			files:  issue(root, ca.Spec{ExtKeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}),
			want:   serverWant(),
			rule:   WrongUsage,
			reason: "server",
		},
		"a server's for a client": {
			files:  issue(root, ca.Spec{ExtKeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}),
			want:   Requirements{},
			rule:   WrongUsage,
			reason: "client",
		},
		"not yet": {
			files:  issue(root, ca.Spec{NotBefore: noon.Add(time.Minute)}),
			want:   serverWant(),
			rule:   NotYetValid,
			reason: "2026-01-01T12:01:00Z",
		},
		"over": {
			files:  issue(root, ca.Spec{NotAfter: noon.Add(-time.Minute)}),
			want:   serverWant(),
			rule:   Expired,
			reason: "2026-01-01T11:59:00Z",
		},
		"over, and permitted": {
			files: issue(root, ca.Spec{NotAfter: noon.Add(-time.Minute)}),
			want:  Requirements{Names: []string{testName}, Server: true, AllowExpired: true},
		},
		"another root's": {issue(other, ca.Spec{}), serverWant(), Untrusted, "unknown authority"},
		"half a chain": {
			files:  issue(intermediate, ca.Spec{OmitIntermediate: true}),
			want:   serverWant(),
			rule:   Untrusted,
			reason: "unknown authority",
		},
		"revoked": {
			files: with(files(revoked, root.PEM()), func(files *Files) {
				files.Revoked = configured(root.RevocationList(revoked.Leaf))
			}),
			want:   serverWant(),
			rule:   Revoked,
			reason: "revoked",
		},
		"its issuer revoked": {
			files: with(files(below, root.PEM()), func(files *Files) {
				files.Revoked = configured(root.RevocationList(intermediate.Cert))
			}),
			want:   serverWant(),
			rule:   Revoked,
			reason: "between",
		},
		"others revoked": {
			files: with(ok, func(files *Files) { files.Revoked = configured(root.RevocationList(revoked.Leaf)) }),
			want:  serverWant(),
		},
		"a list by another": {
			files:  with(ok, func(files *Files) { files.Revoked = configured(other.RevocationList(sound.Leaf)) }),
			want:   serverWant(),
			rule:   Incomplete,
			reason: "signed by no root",
		},
		"no list in the list file": {
			files:  with(ok, func(files *Files) { files.Revoked = configured(sound.Cert) }),
			want:   serverWant(),
			rule:   Incomplete,
			reason: "no revocation list",
		},
	} {
		material, fault := Parse(c.files)
		if fault == nil {
			fault = material.CheckIdentity(noon, c.want)
		}
		switch {
		case fault == nil && c.rule != 0:
			t.Errorf("%s: accepted, want %s", condition, c.rule)
		case fault != nil && (fault.Rule != c.rule || !strings.Contains(fault.Reason, c.reason)):
			t.Errorf("%s: %v, want %s with %q", condition, fault, c.rule, c.reason)
		}
	}
}
