package certstore

import (
	"encoding/hex"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"pinedale/internal/certstore/validate"
	"pinedale/internal/standin/ca"
)

// A folder in the form that operators use is read in the same way as by earlier builds: a chain, a key in SEC 1 form,
// two roots and a revocation list, each with a comment before its blocks. The secret that HTTP/3 derives from the key
// must not change, so that clients still recognize stateless resets after an upgrade.
func TestGoldenFolderIsRead(t *testing.T) {
	folder := ca.FolderAt(t, filepath.Join("testdata", "folder"))
	store, err := Open(Options{
		Paths:            Paths{Cert: folder.Cert, Key: folder.Key, Roots: folder.Roots, Revoked: folder.Revoked},
		CertRequirements: validate.Requirements{Names: []string{testName}, Server: true, MinRSABits: 2048},
		Log:              slog.New(slog.DiscardHandler),
		Now:              testClock,
	})
	if err != nil {
		t.Fatal(err)
	}
	leaf := store.LocalCert()
	if got := validate.NamesOf(leaf); got != "soko-3.example.org, 127.0.0.1, spiffe://soko/pay" {
		t.Errorf("names %q", got)
	}
	if got := leaf.SerialNumber.String(); got != "4" {
		t.Errorf("serial number %s, want 4", got)
	}
	if got := store.Counters(); got != (Counters{Accepted: 1, Remaining: 12 * time.Hour}) {
		t.Errorf("counters %+v, want one accepted and 12 h remaining", got)
	}
	secret, err := store.Secret("QUIC stateless reset, pinedale-1")
	if err != nil {
		t.Fatal(err)
	}
	const wantSecret = "2a3fca4e07ae8ff179dc865dd190d86e626ed4cf2f9ea9b3b5892d30525e9d73"
	if got := hex.EncodeToString(secret[:]); got != wantSecret {
		t.Errorf("secret %s, want %s", got, wantSecret)
	}
	material := store.current.Load().material
	if len(material.Certs) != 2 || len(material.Roots) != 2 || len(material.RevocationLists) != 1 {
		t.Fatalf("%d certificates, %d roots, %d revocation lists, want 2, 2 and 1", len(material.Certs), len(material.Roots),
			len(material.RevocationLists))
	}
	revoked := material.RevocationLists[0].RevokedCertificateEntries
	if len(revoked) != 1 || revoked[0].SerialNumber.String() != "5" {
		t.Errorf("revoked entries %+v, want one with serial number 5", revoked)
	}
}
