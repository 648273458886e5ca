package certstore

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
	"sync/atomic"

	"pinedale/internal/certstore/validate"
)

// serverConfig returns the server configuration of one snapshot. Its session tickets are valid for this snapshot
// only, so a resumed session was always verified under the present trust and identity. The ticket key is set
// explicitly because libraries clone the configuration, and each clone would generate its own.
func (r *Store) serverConfig(material *validate.Material, certificates []tls.Certificate) *tls.Config {
	config := &tls.Config{MinVersion: r.options.MinTLSVersion, Certificates: certificates}
	config.SetSessionTicketKeys([][32]byte{newTicketKey()})
	if len(material.Roots) > 0 {
		config.ClientCAs = material.Pool()
		config.ClientAuth = tls.RequireAnyClientCert // verifyPeer verifies it, by the clock of the Room
		config.VerifyConnection = func(state tls.ConnectionState) error {
			return r.verifyPeer(state, x509.ExtKeyUsageClientAuth)
		}
	}
	return config
}

// Server returns a server configuration for some protocols (ALPN, RFC 7301). Each connection uses the material
// that is current when it is accepted. Clients must present a certificate if there are trusted roots.
func (r *Store) Server(protocols ...string) *tls.Config {
	// The configuration is cloned once per snapshot, not per connection.
	type clone struct {
		source *snapshot
		config *tls.Config
	}
	var cached atomic.Pointer[clone]
	configForClient := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := r.current.Load()
		if last := cached.Load(); last != nil && last.source == current {
			return last.config, nil
		}
		next := &clone{current, current.server.Clone()}
		next.config.NextProtos = protocols
		cached.Store(next)
		return next.config, nil
	}
	return &tls.Config{MinVersion: r.options.MinTLSVersion, NextProtos: protocols, GetConfigForClient: configForClient}
}

// Client returns a client configuration for one server, which is verified by the name under which it is
// configured here, not by what it presents. The error is ErrNoRoots without trusted roots: the system's roots
// are not used for the servers of a fleet. If a handshake fails because of a certificate, its error is a
// *validate.Fault.
func (r *Store) Client(name string) (*tls.Config, error) {
	if len(r.current.Load().material.Roots) == 0 {
		return nil, ErrNoRoots
	}
	return &tls.Config{
		MinVersion: r.options.MinTLSVersion,
		ServerName: serverName(name),
		Time:       r.options.Now,
		// The standard verification supports neither SPIFFE IDs nor roots that change. VerifyConnection takes
		// its place; it is also called when a session is resumed.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return r.verifyPeer(state, x509.ExtKeyUsageServerAuth, name)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if certificates := r.current.Load().certificates; len(certificates) > 0 {
				return &certificates[0], nil
			}
			return &tls.Certificate{}, nil // the server decides whether it requires one
		},
	}, nil
}

// serverName returns the name for the server name indication (RFC 6066, section 3): a SPIFFE ID is not a host
// name and is not sent.
func serverName(name string) string {
	if strings.HasPrefix(name, "spiffe://") {
		return ""
	}
	return name
}

// verifyPeer verifies the chain that a peer has presented against the present roots and revocation lists.
func (r *Store) verifyPeer(state tls.ConnectionState, usage x509.ExtKeyUsage, names ...string) error {
	requirements := r.rotation.PeerRequirements(usage) // constant: needs no lock
	requirements.Names = names
	material := r.current.Load().material
	if fault := material.VerifyPeer(r.options.Now(), state.PeerCertificates, requirements); fault != nil {
		return fault
	}
	return nil
}
