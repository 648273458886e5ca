package site

import (
	"cmp"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/x509"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"pinedale/internal/keyroom"
	"pinedale/internal/keyroom/judge"
)

// ShowKeys writes what the file's keys hold and who uses them, and by which name each server
// of the file is verified. It never writes a private key.
func (f *File) ShowKeys(out io.Writer, now time.Time) error {
	for i := range f.Keys {
		k := &f.Keys[i]
		m, fault := keyroom.Read(k.paths())
		if fault != nil {
			return fmt.Errorf("keys %q: %w", k.Name, fault)
		}
		var by []string
		for _, u := range f.users() {
			if u.name == k.Name {
				by = append(by, strings.TrimSuffix(u.key, ".keys"))
			}
		}
		fmt.Fprintf(out, "keys %q, used by %s\n", k.Name, cmp.Or(strings.Join(by, ", "), "nothing"))
		for n, c := range m.Certs {
			what := "shows"
			if n > 0 {
				what = "  over"
			}
			fmt.Fprintf(out, "  %s %s, %s, by %s, number %s, until %s, %s left\n", what, judge.Shown(c), kindOf(c), c.Issuer, c.SerialNumber, c.NotAfter.UTC().Format(time.RFC3339), left(c.NotAfter.Sub(now)))
		}
		for _, c := range m.Roots {
			fmt.Fprintf(out, "  trusts %s, %s, until %s, %s left\n", c.Subject, kindOf(c), c.NotAfter.UTC().Format(time.RFC3339), left(c.NotAfter.Sub(now)))
		}
		for _, l := range m.RevocationLists {
			fmt.Fprintf(out, "  revokes %d of %s, as of %s\n", len(l.RevokedCertificateEntries), l.Issuer, l.ThisUpdate.UTC().Format(time.RFC3339))
		}
	}
	if f.Upstream.Keys == "" {
		fmt.Fprintln(out, "servers are spoken to in plain text")
		return nil
	}
	names := f.verifyNames()
	for _, s := range f.Servers {
		name, err := names.Of(s.Name)
		if err != nil {
			return err // the file was checked
		}
		fmt.Fprintf(out, "server %q must be %s\n", s.Name, name)
	}
	if f.Upstream.Verify != "" {
		fmt.Fprintf(out, "any other server must be %s\n", f.Upstream.Verify)
	}
	return nil
}

// VerifyKeys says whether files would be taken in place of those of some keys; an empty path
// stands for the file's own. The error is the rule that they break.
func (f *File) VerifyKeys(name string, instead keyroom.Paths) error {
	at := slices.IndexFunc(f.Keys, func(k Keys) bool { return k.Name == name })
	if at < 0 {
		return fmt.Errorf("%q is not the name of a [[keys]] of this file", name)
	}
	k := f.Keys[at]
	k.CertFile, k.KeyFile = cmp.Or(instead.Cert, k.CertFile), cmp.Or(instead.Key, k.KeyFile)
	k.RootsFile, k.RevokedFile = cmp.Or(instead.Roots, k.RootsFile), cmp.Or(instead.Revoked, k.RevokedFile)
	_, err := keyroom.Open(k.options(f.serves(name), slog.New(slog.DiscardHandler)))
	return err
}

// left is a time as operators read it.
func left(d time.Duration) string {
	if d < 48*time.Hour {
		return d.Round(time.Minute).String()
	}
	return fmt.Sprintf("%d days", d/(24*time.Hour))
}

func kindOf(c *x509.Certificate) string {
	switch key := c.PublicKey.(type) {
	case *rsa.PublicKey:
		return fmt.Sprintf("RSA %d", key.N.BitLen())
	case *ecdsa.PublicKey:
		return "ECDSA " + key.Curve.Params().Name
	case ed25519.PublicKey:
		return "Ed25519"
	}
	return c.PublicKeyAlgorithm.String()
}
