// Package certstore loads certificates, private keys, trusted roots and revocation lists, together called material,
// from files, and replaces them without a restart when the files change. It provides TLS configurations that always
// use the current material.
//
// A Store watches the files of one identity. Store.Run watches until its context ends; Store.Reload reads the files
// once. Package validate decides whether the files may be used: they are accepted completely or not at all, and if they
// are rejected, the last accepted material remains in use. A Store writes no files.
//
// Connections that were established with earlier material, or with a peer that has since been revoked, are closed by
// their owners, which call Lifetime.At or Conn.StateAt.
package certstore
