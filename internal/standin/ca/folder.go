package ca

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Folder is an operator's folder with the files of one identity and of the authorities that it trusts.
type Folder struct {
	// Paths of the files, which need not exist.
	Cert, Key, Roots, Revoked string

	t TB
}

// NewFolder returns an empty folder that is removed when the test ends.
func NewFolder(t testing.TB) *Folder {
	t.Helper()
	return FolderAt(t, t.TempDir())
}

// FolderAt returns the folder at dir, which must exist.
func FolderAt(t TB, dir string) *Folder {
	return &Folder{
		Cert:    filepath.Join(dir, "cert.pem"),
		Key:     filepath.Join(dir, "key.pem"),
		Roots:   filepath.Join(dir, "roots.pem"),
		Revoked: filepath.Join(dir, "revoked.pem"),
		t:       t,
	}
}

// WriteFile atomically replaces a file by the concatenated parts: a reader finds either the old file or the new one.
func (f *Folder) WriteFile(path string, parts ...[]byte) {
	f.t.Helper()
	temporary := path + ".new"
	if err := os.WriteFile(temporary, bytes.Join(parts, nil), 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Rename(temporary, path); err != nil {
		f.t.Fatal(err)
	}
}

// WritePair replaces the certificate, and then its key.
func (f *Folder) WritePair(p *Pair) {
	f.t.Helper()
	f.WriteFile(f.Cert, p.Cert)
	f.WriteFile(f.Key, p.Key)
}
