// Package certstore loads certificates, private keys, trusted roots and revocation lists from files, and replaces
// them in service when the files change. It provides TLS configurations that always use the current material.
//
// A Room watches the files of one identity. Room.Run owns the watching; Room.Look reads the files once. Package
// judge decides whether the files may serve: they are accepted completely or not at all, and the last accepted
// material keeps serving otherwise. Nothing is stored: after a restart the files are read again.
//
// Connections that were established with earlier material, or with a peer that has since been revoked, are
// ended by their owners, which ask Life.At.
package certstore
