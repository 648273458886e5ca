package ca

import (
	"os"
	"path/filepath"
	"testing"
)

// Folder is an operator's, with the files of one identity and its trust.
type Folder struct {
	t                         TB
	Cert, Key, Roots, Revoked string // paths
}

// NewFolder makes one in which nothing lies yet, for as long as a test.
func NewFolder(t testing.TB) *Folder { return FolderAt(t, t.TempDir()) }

// FolderAt uses a folder that is there.
func FolderAt(t TB, at string) *Folder {
	in := func(name string) string { return filepath.Join(at, name+".pem") }
	return &Folder{t, in("cert"), in("key"), in("roots"), in("revoked")}
}

// Put writes a file beside its place and renames it there.
func (f *Folder) WriteFile(path string, data ...[]byte) {
	f.t.Helper()
	var all []byte
	for _, part := range data {
		all = append(all, part...)
	}
	if err := os.WriteFile(path+".new", all, 0o600); err != nil {
		f.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		f.t.Fatal(err)
	}
}

// Pair puts a certificate and its key.
func (f *Folder) WritePair(p *Pair) {
	f.t.Helper()
	f.WriteFile(f.Cert, p.Cert)
	f.WriteFile(f.Key, p.Key)
}
