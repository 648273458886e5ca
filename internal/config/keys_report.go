package config

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

	"pinedale/internal/certstore"
	"pinedale/internal/certstore/validate"
)

// ShowKeys writes what the files of each [[keys]] entry contain, what uses the entry, and for which name each server's
// certificate must be valid. It never writes a private key.
func (f *File) ShowKeys(out io.Writer, now time.Time) error {
	for i := range f.Keys {
		if err := f.showKeysEntry(out, &f.Keys[i], now); err != nil {
			return err
		}
	}
	return f.showServerNames(out)
}

// showKeysEntry writes what the files of one [[keys]] entry contain.
func (f *File) showKeysEntry(out io.Writer, keys *Keys, now time.Time) error {
	material, err := certstore.Read(keys.paths())
	if err != nil {
		return fmt.Errorf("keys %q: %w", keys.Name, err)
	}
	var users []string
	for _, user := range f.KeyUsers() {
		if user.Entry == keys.Name {
			users = append(users, strings.TrimSuffix(user.Key, ".keys"))
		}
	}
	fmt.Fprintf(out, "keys %q, used by %s\n", keys.Name, cmp.Or(strings.Join(users, ", "), "nothing"))
	validity := func(cert *x509.Certificate) string {
		return fmt.Sprintf("until %s, %s left",
			cert.NotAfter.UTC().Format(time.RFC3339), formatRemaining(cert.NotAfter.Sub(now)))
	}
	for i, cert := range material.Certs {
		role := "shows"
		if i > 0 {
			role = "shows intermediate"
		}
		fmt.Fprintf(out, "  %s %s, %s, issued by %s, serial number %s, %s\n",
			role, validate.NamesOf(cert), keyType(cert), cert.Issuer, cert.SerialNumber, validity(cert))
	}
	for _, root := range material.Roots {
		fmt.Fprintf(out, "  trusts %s, %s, %s\n", root.Subject, keyType(root), validity(root))
	}
	for _, list := range material.RevocationLists {
		fmt.Fprintf(out, "  revokes %d of %s, as of %s\n",
			len(list.RevokedCertificateEntries), list.Issuer, list.ThisUpdate.UTC().Format(time.RFC3339))
	}
	return nil
}

// showServerNames writes the names that servers' certificates must be valid for.
func (f *File) showServerNames(out io.Writer) error {
	if f.Upstream.Keys == "" {
		fmt.Fprintln(out, "connections to servers are plain text")
		return nil
	}
	names := f.VerifyNames()
	for _, s := range f.Servers {
		name, err := names.CertificateName(s.Name)
		if err != nil {
			return err // not expected: the file has passed its checks
		}
		fmt.Fprintf(out, "server %q is verified as %s\n", s.Name, name)
	}
	if f.Upstream.VerifyPattern != "" {
		fmt.Fprintf(out, "any other server is verified as %s\n", f.Upstream.VerifyPattern)
	}
	return nil
}

// VerifyKeys checks whether files would be accepted in place of those of a [[keys]] entry; an empty path stands for
// the entry's own file. The error is a *validate.Fault if they would not be.
func (f *File) VerifyKeys(name string, replacement certstore.Paths) error {
	index := slices.IndexFunc(f.Keys, func(k Keys) bool { return k.Name == name })
	if index < 0 {
		return fmt.Errorf("%q is not the name of a [[keys]] entry of the file", name)
	}
	keys := f.Keys[index]
	keys.CertFile = cmp.Or(replacement.Cert, keys.CertFile)
	keys.KeyFile = cmp.Or(replacement.Key, keys.KeyFile)
	keys.RootsFile = cmp.Or(replacement.Roots, keys.RootsFile)
	keys.RevokedFile = cmp.Or(replacement.Revoked, keys.RevokedFile)
	_, err := certstore.Open(keys.StoreOptions(f.usedByFront(name), slog.New(slog.DiscardHandler)))
	return err
}

// formatRemaining formats a remaining validity, as days if it is at least two days.
func formatRemaining(remaining time.Duration) string {
	const day = 24 * time.Hour
	if remaining < 2*day {
		return remaining.Round(time.Minute).String()
	}
	return fmt.Sprintf("%d days", remaining/day)
}

// keyType names the type and size of a certificate's key.
func keyType(cert *x509.Certificate) string {
	switch key := cert.PublicKey.(type) {
	case *rsa.PublicKey:
		return fmt.Sprintf("RSA %d", key.N.BitLen())
	case *ecdsa.PublicKey:
		return "ECDSA " + key.Curve.Params().Name
	case ed25519.PublicKey:
		return "Ed25519"
	}
	return cert.PublicKeyAlgorithm.String()
}
