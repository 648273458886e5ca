package tlscost

import (
	"crypto"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"os"
	"path/filepath"
	"time"

	"pinedale/internal/standin/ca"
)

// newKeyFunc makes the key of a certificate. If it is nil, the key is an ECDSA key on P-256.
type newKeyFunc func() (crypto.Signer, error)

const rsaKeyBits = 2048

func newRSAKey() (crypto.Signer, error) { return rsa.GenerateKey(rand.Reader, rsaKeyBits) }

// identity is the folder with the certificate, the key and the roots of one side.
type identity struct {
	dir   string
	files *ca.Folder
}

// writeIdentities writes the certificates, keys and roots of a server and a client into folders below dir. An
// intermediate authority issues both certificates.
func writeIdentities(dir string, newKey newKeyFunc) (server, client *identity, err error) {
	root := ca.New(ca.PanicOnFatal{}, "root")
	issuer := root.NewIntermediate("between")
	if server, err = writeIdentity(dir, serverName, root, issuer, newKey); err != nil {
		return nil, nil, err
	}
	client, err = writeIdentity(dir, "pinedale.example.org", root, issuer, newKey)
	return server, client, err
}

func writeIdentity(dir, name string, root, issuer *ca.Authority, newKey newKeyFunc) (*identity, error) {
	side := &identity{dir: filepath.Join(dir, name)}
	if err := os.MkdirAll(side.dir, 0o700); err != nil {
		return nil, err
	}
	spec := ca.Spec{
		Names:     []string{name, "127.0.0.1"},
		NotBefore: time.Now().Add(-time.Hour),
		NotAfter:  time.Now().Add(24 * time.Hour),
	}
	if newKey != nil {
		key, err := newKey()
		if err != nil {
			return nil, err
		}
		spec.Key = key
	}
	side.files = ca.FolderAt(ca.PanicOnFatal{}, side.dir)
	side.files.WritePair(issuer.Issue(spec))
	side.files.WriteFile(side.files.Roots, root.PEM())
	return side, nil
}

// readRoots returns the roots of a folder.
func readRoots(files *ca.Folder) (*x509.CertPool, error) {
	text, err := os.ReadFile(files.Roots)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(text)
	return roots, nil
}
