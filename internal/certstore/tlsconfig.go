package certstore

import (
	"crypto/tls"
	"crypto/x509"
	"strings"
	"sync/atomic"

	"pinedale/internal/certstore/validate"
)

// serverConfig returns the server configuration of one snapshot. Its session tickets are valid only for this snapshot,
// so that a resumed session was always verified with the current trust and identity. The ticket key is set explicitly
// because libraries clone the configuration, and each clone would otherwise generate its own key.
func (s *Store) serverConfig(material *validate.Material, certificates []tls.Certificate) *tls.Config {
	config := &tls.Config{MinVersion: s.options.MinTLSVersion, Certificates: certificates}
	config.SetSessionTicketKeys([][32]byte{newTicketKey()})
	if len(material.Roots) > 0 {
		config.ClientCAs = material.Pool()
		config.ClientAuth = tls.RequireAnyClientCert // verifyPeer verifies it, with the clock of the Store
		config.VerifyConnection = func(state tls.ConnectionState) error {
			return s.verifyPeer(state, x509.ExtKeyUsageClientAuth)
		}
	}
	return config
}

// Server returns a server configuration for the given protocols (ALPN, RFC 7301). Each connection uses the material
// that is current when it is accepted. Clients must present a certificate if there are trusted roots.
func (s *Store) Server(protocols ...string) *tls.Config {
	cache := &serverConfigCache{store: s, protocols: protocols}
	return &tls.Config{
		MinVersion:         s.options.MinTLSVersion,
		NextProtos:         protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return cache.get(), nil },
	}
}

// serverConfigCache holds the server configuration of the current snapshot for given protocols. It clones the
// configuration once per snapshot instead of once per connection.
type serverConfigCache struct {
	store     *Store
	protocols []string
	latest    atomic.Pointer[protocolConfig]
}

// protocolConfig is the server configuration of a snapshot with the protocols of a serverConfigCache.
type protocolConfig struct {
	snapshot *snapshot
	config   *tls.Config
}

// get returns the configuration of the current snapshot.
func (c *serverConfigCache) get() *tls.Config {
	current := c.store.current.Load()
	if latest := c.latest.Load(); latest != nil && latest.snapshot == current {
		return latest.config
	}
	config := current.server.Clone()
	config.NextProtos = c.protocols
	c.latest.Store(&protocolConfig{snapshot: current, config: config})
	return config
}

// Client returns a client configuration for one server. The server is verified by the configured name, regardless of
// the names that it presents. Without trusted roots the error is ErrNoRoots, because the system's roots are not used
// for the servers of a fleet. If a handshake fails because of a certificate, its error is a *validate.Fault.
func (s *Store) Client(name string) (*tls.Config, error) {
	if len(s.current.Load().material.Roots) == 0 {
		return nil, ErrNoRoots
	}
	return &tls.Config{
		MinVersion: s.options.MinTLSVersion,
		ServerName: serverName(name),
		Time:       s.options.Now,
		// The standard verification supports neither SPIFFE IDs nor roots that change. VerifyConnection takes
		// its place; it is also called when a session is resumed.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verifyPeer(state, x509.ExtKeyUsageServerAuth, name)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if certificates := s.current.Load().certificates; len(certificates) > 0 {
				return &certificates[0], nil
			}
			return &tls.Certificate{}, nil // the server decides whether it requires one
		},
	}, nil
}

// serverName returns the name for the server name indication (RFC 6066, section 3), "" for a SPIFFE ID, which is not a
// host name.
func serverName(name string) string {
	if strings.HasPrefix(name, "spiffe://") {
		return ""
	}
	return name
}

// verifyPeer verifies the chain that a peer has presented with the current roots and revocation lists.
func (s *Store) verifyPeer(state tls.ConnectionState, usage x509.ExtKeyUsage, names ...string) error {
	requirements := s.rotation.PeerRequirements(usage) // reads constants only and needs no lock
	requirements.Names = names
	material := s.current.Load().material
	if fault := material.VerifyPeer(s.options.Now(), state.PeerCertificates, requirements); fault != nil {
		return fault
	}
	return nil
}
