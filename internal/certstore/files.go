package certstore

import (
	"io"
	"os"

	"pinedale/internal/certstore/validate"
)

// Paths are the names of the PEM files, "" for none.
type Paths struct {
	Cert    string // the certificate, followed by its intermediates
	Key     string // the private key, not encrypted
	Roots   string // the certificates that peers are verified against
	Revoked string // revocation lists, each signed by one of the roots
}

// all returns the names of all files, "" for those that are not configured.
func (p *Paths) all() [4]string { return [...]string{p.Cert, p.Key, p.Roots, p.Revoked} }

// readAll reads all configured files.
func (p *Paths) readAll() validate.Files {
	return validate.Files{
		Cert:    readFile(p.Cert),
		Key:     readFile(p.Key),
		Roots:   readFile(p.Roots),
		Revoked: readFile(p.Revoked),
	}
}

// readFile reads at most one byte more than the permitted size, so that package validate can detect a file that is too
// large.
func readFile(path string) validate.File {
	if path == "" {
		return validate.File{}
	}
	file, err := os.Open(path)
	if err != nil {
		return validate.File{Configured: true, Err: err}
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, validate.MaxFileBytes+1))
	return validate.File{Configured: true, Data: data, Err: err}
}

// Read reads and parses files. It does not check whether they are accepted.
func Read(paths Paths) (*validate.Material, error) {
	material, fault := validate.Parse(paths.readAll())
	if fault != nil {
		return nil, fault
	}
	return material, nil
}
