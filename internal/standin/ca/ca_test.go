package ca

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// verify verifies a pair's certificate for a name by the chain that it presents.
func verify(p *Pair, root *Authority, name string, now time.Time) error {
	roots, intermediates := x509.NewCertPool(), x509.NewCertPool()
	roots.AddCert(root.Cert)
	intermediates.AppendCertsFromPEM(p.Cert)
	_, err := p.Leaf.Verify(x509.VerifyOptions{
		DNSName:       name,
		Roots:         roots,
		Intermediates: intermediates,
		CurrentTime:   now,
	})
	return err
}

func TestCertificateIsValidAsSpecified(t *testing.T) {
	root := New(t, "root")
	intermediate := root.NewIntermediate("intermediate")
	names := []string{"soko.example.org", "127.0.0.1"}
	noon := Epoch.Add(12 * time.Hour)
	for name, test := range map[string]struct {
		issuer  *Authority
		spec    Spec
		dnsName string
		now     time.Time
		want    bool
	}{
		"of the root":         {root, Spec{Names: names}, "soko.example.org", noon, true},
		"of the intermediate": {intermediate, Spec{Names: names}, "soko.example.org", noon, true},
		"for an address":      {root, Spec{Names: names}, "127.0.0.1", noon, true},
		"for another name":    {root, Spec{Names: names}, "example.org", noon, false},
		"after its day":       {root, Spec{Names: names}, "soko.example.org", noon.AddDate(0, 0, 1), false},
		"before it is valid":  {root, Spec{Names: names, NotBefore: noon}, "soko.example.org", Epoch, false},
		"without an intermediate": {
			intermediate, Spec{Names: names, OmitIntermediate: true},
			"soko.example.org", noon, false,
		},
		"for clients only": {
			root, Spec{Names: names, ExtKeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}},
			"soko.example.org", noon, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			pair := test.issuer.Issue(test.spec)
			if err := verify(pair, root, test.dnsName, test.now); (err == nil) != test.want {
				t.Errorf("verification error %v, want a valid certificate: %v", err, test.want)
			}
			if _, err := tls.X509KeyPair(pair.Cert, pair.Key); err != nil {
				t.Errorf("the key does not belong to the certificate: %v", err)
			}
		})
	}
}

func TestNamesOfURIsAreURIs(t *testing.T) {
	leaf := New(t, "root").Issue(Spec{Names: []string{"spiffe://soko/s-1"}}).Leaf
	if len(leaf.URIs) != 1 || leaf.URIs[0].String() != "spiffe://soko/s-1" || len(leaf.DNSNames) != 0 {
		t.Errorf("URIs %v, DNS names %v; want one URI and no DNS name", leaf.URIs, leaf.DNSNames)
	}
}

func TestRevocationListNamesRevokedCertificates(t *testing.T) {
	root := New(t, "root")
	revoked, valid := root.Issue(Spec{}).Leaf, root.Issue(Spec{}).Leaf
	block, rest := pem.Decode(root.RevocationList(revoked))
	if block == nil || len(rest) > 0 {
		t.Fatalf("PEM block %v, followed by %d bytes; want one block", block, len(rest))
	}
	list, err := x509.ParseRevocationList(block.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	if err := list.CheckSignatureFrom(root.Cert); err != nil {
		t.Errorf("signature: %v", err)
	}
	entries := list.RevokedCertificateEntries
	if len(entries) != 1 || entries[0].SerialNumber.Cmp(revoked.SerialNumber) != 0 {
		t.Errorf("list entries %v, want that of the revoked certificate", entries)
	}
	if revoked.SerialNumber.Cmp(valid.SerialNumber) == 0 {
		t.Error("two certificates have the same serial number")
	}
}

func TestFolderFilesAreReplaced(t *testing.T) {
	folder := NewFolder(t)
	root := New(t, "root")
	first, second := root.Issue(Spec{}), root.Issue(Spec{})
	folder.WritePair(first)
	folder.WritePair(second)
	if _, err := tls.LoadX509KeyPair(folder.Cert, folder.Key); err != nil {
		t.Errorf("loading the second pair: %v", err)
	}
	if text, err := os.ReadFile(folder.Cert); err != nil || string(text) != string(second.Cert) {
		t.Errorf("the certificate is not the second one: %v", err)
	}
	folder.WriteFile(folder.Roots, root.PEM(), root.PEM())
	text, err := os.ReadFile(folder.Roots)
	if err != nil || strings.Count(string(text), "BEGIN CERTIFICATE") != 2 {
		t.Errorf("file of roots %q, %v; want two certificates", text, err)
	}
	temporary, err := filepath.Glob(filepath.Join(filepath.Dir(folder.Cert), "*.new"))
	if err != nil || len(temporary) > 0 {
		t.Errorf("temporary files %q, %v; want none", temporary, err)
	}
}

func TestPanicOnFatalPanicsWithError(t *testing.T) {
	defer func() {
		if err, ok := recover().(error); !ok || err.Error() != "no key" {
			t.Errorf("recovered %v, want an error with the text of Fatal", err)
		}
	}()
	PanicOnFatal{}.Fatal("no key")
}
