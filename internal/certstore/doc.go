// Package certstore loads certificates, private keys, trusted roots and revocation lists from files, and replaces
// them in service when the files change. It provides TLS configurations that always use the current material.
//
// A Store watches the files of one identity. Store.Run owns the watching; Store.Reload reads the files once. Package
// validate decides whether the files may serve: they are accepted completely or not at all, and the last accepted
// material keeps serving otherwise. Nothing is stored: after a restart the files are read again.
//
// Connections that were established with earlier material, or with a peer that has since been revoked, are
// ended by their owners, which ask Lifetime.At.
package certstore
