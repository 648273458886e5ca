package validate

import (
	"crypto"
	"crypto/sha256"
	"crypto/x509"
	"fmt"
	"hash"
)

// MaxFileBytes is the maximum size of each file, which is enough for more than a thousand root certificates.
const MaxFileBytes = 4 << 20

// File is the content of one file, or the error of reading it.
type File struct {
	Configured bool // the operator's configuration contains this file
	Data       []byte
	Err        error
}

// Files are the files of one identity and of the roots that it trusts.
type Files struct {
	Cert    File
	Key     File
	Roots   File
	Revoked File
}

// namedFile is a file with its name in faults.
type namedFile struct {
	name string
	file *File
}

// all returns the files in the order in which they are checked and hashed.
func (f *Files) all() [4]namedFile {
	return [...]namedFile{
		{certFile, &f.Cert},
		{keyFile, &f.Key},
		{rootsFile, &f.Roots},
		{revokedFile, &f.Revoked},
	}
}

// Material is the parsed content of a set of files. It is immutable except for its cache of verified chains, and safe
// for concurrent use.
type Material struct {
	Certs           []*x509.Certificate // the identity's chain, leaf first; empty if only roots are configured
	Key             crypto.Signer
	Roots           []*x509.Certificate
	RevocationLists []*x509.RevocationList

	revoked map[certID]bool
	digest  [sha256.Size]byte // of all files

	verified chainCache // of peers
}

// Equal reports whether both were parsed from the same bytes. It is false if either is nil.
func (m *Material) Equal(other *Material) bool {
	return m != nil && other != nil && m.digest == other.digest
}

// Leaf returns the identity's own certificate, nil if there is none.
func (m *Material) Leaf() *x509.Certificate {
	if len(m.Certs) == 0 {
		return nil
	}
	return m.Certs[0]
}

// Pool returns the trusted roots as a pool.
func (m *Material) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	for _, root := range m.Roots {
		pool.AddCert(root)
	}
	return pool
}

// Parse parses all configured files, or returns the first fault.
func Parse(files Files) (*Material, *Fault) {
	if fault := files.checkReadable(); fault != nil {
		return nil, fault
	}
	m := &Material{revoked: map[certID]bool{}, digest: files.digest()}
	if files.Cert.Configured {
		if fault := m.parseIdentity(files.Cert.Data, files.Key.Data); fault != nil {
			return nil, fault
		}
	}
	if files.Roots.Configured {
		var fault *Fault
		if m.Roots, fault = parseCertificates(rootsFile, files.Roots.Data); fault != nil {
			return nil, fault
		}
	}
	if files.Revoked.Configured {
		if fault := m.parseRevocationLists(files.Revoked.Data); fault != nil {
			return nil, fault
		}
	}
	return m, nil
}

// checkReadable checks that each configured file was read, is not empty and is not too large.
func (f *Files) checkReadable() *Fault {
	for _, entry := range f.all() {
		file := entry.file
		if !file.Configured {
			continue
		}
		reason := ""
		switch {
		case file.Err != nil:
			reason = file.Err.Error()
		case len(file.Data) == 0:
			reason = "file is empty"
		case len(file.Data) > MaxFileBytes:
			reason = fmt.Sprintf("file is larger than %d bytes", MaxFileBytes)
		}
		if reason != "" {
			return &Fault{Rule: Unreadable, File: entry.name, Reason: reason}
		}
	}
	return nil
}

// digest returns a hash of the contents of all files. Two sets with equal digests have the same material.
func (f *Files) digest() [sha256.Size]byte {
	return f.hash(func(hasher hash.Hash, file *File) {
		fmt.Fprintf(hasher, "%t %d\n", file.Configured, len(file.Data))
	})
}

// digestWithErrors returns a hash of the contents of all files and of the errors of reading them.
func (f *Files) digestWithErrors() [sha256.Size]byte {
	return f.hash(func(hasher hash.Hash, file *File) {
		fmt.Fprintf(hasher, "%t %v %d\n", file.Configured, file.Err, len(file.Data))
	})
}

// hash returns a hash of the contents of all files. writeHeader is called before the content of each file.
func (f *Files) hash(writeHeader func(hash.Hash, *File)) (digest [sha256.Size]byte) {
	hasher := sha256.New()
	for _, entry := range f.all() {
		writeHeader(hasher, entry.file)
		hasher.Write(entry.file.Data)
	}
	hasher.Sum(digest[:0])
	return digest
}
