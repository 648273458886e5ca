package certstore

import (
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/certstore/validate"
)

// ticketKeyLifetime is how long one key encrypts session tickets. A key that is disclosed exposes the resumed sessions
// of at most one day. crypto/tls rotates its own keys at the same interval.
const ticketKeyLifetime = 24 * time.Hour

var (
	// ErrNoRoots is returned for a client configuration without trusted roots.
	ErrNoRoots = errors.New("no trusted roots are configured for the verification of peers")
	// ErrNoPrivateKey is returned if a secret cannot be derived because there is no private key.
	ErrNoPrivateKey = errors.New("no private key is configured")
)

// Options configure a Store.
type Options struct {
	Paths            Paths
	CertRequirements validate.Requirements
	ReplacementTime  time.Duration // period over which connections are replaced after a change
	MinTLSVersion    uint16        // tls.VersionTLS13 if 0
	Log              *slog.Logger
	Now              func() time.Time // clock, time.Now if nil
}

// snapshot is the material in use with the values that are derived from it. It is immutable.
type snapshot struct {
	material     *validate.Material
	generation   int
	server       *tls.Config
	certificates []tls.Certificate // the certificate to present, at most one
}

// Store holds the certificates, keys and trust of one identity. It is safe for concurrent use.
type Store struct {
	options Options
	current atomic.Pointer[snapshot]

	mu               sync.Mutex // guards the fields below
	rotation         *validate.Rotation
	recheckAt        time.Time // when unchanged files must be checked again, zero for never
	accepted         int       // see Counters
	rejected         int       // see Counters
	ticketKeyCreated time.Time
}

// Open reads the files. Its error is a *validate.Fault if they are not accepted.
func Open(options Options) (*Store, error) {
	if options.MinTLSVersion == 0 {
		options.MinTLSVersion = tls.VersionTLS13
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Store{
		options:  options,
		rotation: validate.NewRotation(options.CertRequirements, options.ReplacementTime),
	}
	if decision := s.Reload(); decision.Action != validate.Accepted {
		return nil, decision.Fault
	}
	return s, nil
}

// Reload reads the files and decides whether to use them. It also renews the session ticket key if that is due.
func (s *Store) Reload() validate.Decision {
	files := s.options.Paths.readAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	decision := s.rotation.Offer(now, files)
	s.recheckAt = decision.RecheckAt
	switch decision.Action {
	case validate.Accepted:
		s.accepted++
		s.publish()
	case validate.Rejected:
		s.rejected++
	}
	ticketKeyDue := now.Sub(s.ticketKeyCreated) > ticketKeyLifetime
	if s.current.Load() != nil && ticketKeyDue {
		s.publish()
	}
	if decision.Report {
		s.logDecision(now, decision)
	}
	return decision
}

// publish makes the accepted material current, with a new session ticket key. s.mu must be held.
func (s *Store) publish() {
	material, generation := s.rotation.Serving()
	certificates := presentedCertificates(material)
	s.ticketKeyCreated = s.options.Now()
	s.current.Store(&snapshot{
		material:     material,
		generation:   generation,
		server:       s.serverConfig(material, certificates),
		certificates: certificates,
	})
}

// presentedCertificates returns the certificate to present to peers, with its chain and private key. The result is
// empty if there is none.
func presentedCertificates(material *validate.Material) []tls.Certificate {
	leaf := material.Leaf()
	if leaf == nil {
		return nil
	}
	certificate := tls.Certificate{PrivateKey: material.Key, Leaf: leaf}
	for _, cert := range material.Certs {
		certificate.Certificate = append(certificate.Certificate, cert.Raw)
	}
	return []tls.Certificate{certificate}
}

// logDecision logs a decision. s.mu must be held.
func (s *Store) logDecision(now time.Time, decision validate.Decision) {
	log := s.options.Log.With("cert", s.options.Paths.Cert, "roots", s.options.Paths.Roots)
	if decision.Action != validate.Accepted {
		fault := decision.Fault
		log.Error(
			"certificate files rejected",
			"rule", fault.Rule.String(),
			"file", fault.File,
			"reason", fault.Reason,
		)
		return
	}
	material, generation := s.rotation.Serving()
	attributes := []any{"generation", generation}
	if leaf := material.Leaf(); leaf != nil {
		attributes = append(attributes,
			"names", validate.NamesOf(leaf),
			"issuer", leaf.Issuer.String(),
			"not_after", leaf.NotAfter.UTC(),
			"remaining", s.rotation.Remaining(now).Round(time.Minute),
		)
	}
	log.Info("certificate files accepted", attributes...)
}

// Secret derives a key for another purpose from the private key in use (HKDF, RFC 5869). The result depends only on the
// private key and the purpose, and remains the same after a restart.
func (s *Store) Secret(purpose string) (secret [32]byte, err error) {
	material := s.current.Load().material
	if material.Key == nil {
		return secret, ErrNoPrivateKey
	}
	der, err := x509.MarshalPKCS8PrivateKey(material.Key)
	if err != nil {
		return secret, err
	}
	derived, err := hkdf.Key(sha256.New, der, nil, purpose, len(secret))
	copy(secret[:], derived)
	return secret, err
}

// LocalCert returns the certificate to present to peers, nil for none.
func (s *Store) LocalCert() *x509.Certificate { return s.current.Load().material.Leaf() }

// ReplacementTime returns the period over which connections are replaced after a change.
func (s *Store) ReplacementTime() time.Duration { return s.options.ReplacementTime }

// Generation returns the generation of the material in use, from 1.
func (s *Store) Generation() int { return s.current.Load().generation }

// Retirement returns the time after which a connection must carry no new requests.
func (s *Store) Retirement(conn validate.Conn) validate.Retirement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rotation.Retirement(s.options.Now(), conn)
}

// Counters count the results of Reload since the start.
type Counters struct {
	Accepted  int           // number of times that files were accepted
	Rejected  int           // number of times that files were rejected
	Remaining time.Duration // remaining validity of the certificate in use, 0 without one
}

// Counters returns the current counters.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := Counters{Accepted: s.accepted, Rejected: s.rejected}
	if material, _ := s.rotation.Serving(); material.Leaf() != nil {
		counters.Remaining = s.rotation.Remaining(s.options.Now())
	}
	return counters
}

// newTicketKey returns a random session ticket key.
func newTicketKey() (key [32]byte) {
	_, _ = rand.Read(key[:]) // rand.Read never returns an error
	return key
}
