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

// ticketKeyLifetime is how long one key encrypts session tickets. Whoever obtains a key can decrypt the resumed
// sessions of a day at most. crypto/tls rotates its own keys at the same interval.
const ticketKeyLifetime = 24 * time.Hour

var (
	// ErrNoRoots is the error of a client configuration without trusted roots.
	ErrNoRoots = errors.New("no roots are named, and a peer cannot be verified without")
	// ErrNoPrivateKey is the error of a derived secret without a private key.
	ErrNoPrivateKey = errors.New("no private key is there")
)

// Options configure a Store.
type Options struct {
	Paths           Paths
	Want            validate.Requirements
	ReplacementTime time.Duration // period over which connections are replaced after a change
	MinTLSVersion   uint16        // minimum TLS version, tls.VersionTLS13 if 0
	Log             *slog.Logger
	Now             func() time.Time // the clock, time.Now if nil
}

// snapshot is the material in use with what is derived from it. It is immutable.
type snapshot struct {
	material     *validate.Material
	generation   int
	server       *tls.Config
	certificates []tls.Certificate // the own certificate, if there is one
}

// Store holds the certificates, keys and trust of one identity. It is safe for concurrent use. Create one with
// Open.
type Store struct {
	options Options
	current atomic.Pointer[snapshot]

	mu               sync.Mutex // guards the fields below
	rotation         *validate.Rotation
	recheckAt        time.Time // when unchanged files are to be checked again, zero for no such time
	accepted         int       // counters of Look
	rejected         int
	ticketKeyCreated time.Time
}

// Open reads the files. Its error is a *validate.Fault if they may not serve.
func Open(options Options) (*Store, error) {
	if options.MinTLSVersion == 0 {
		options.MinTLSVersion = tls.VersionTLS13
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	r := &Store{options: options, rotation: validate.NewRotation(options.Want, options.ReplacementTime)}
	if decision := r.Reload(); decision.Action != validate.Accepted {
		return nil, decision.Fault
	}
	return r, nil
}

// Reload reads the files and accepts them if they may serve. It also renews the session ticket key when that is due.
func (r *Store) Reload() validate.Decision {
	files := r.options.Paths.readAll()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	decision := r.rotation.Offer(now, files)
	r.recheckAt = decision.RecheckAt
	switch decision.Action {
	case validate.Accepted:
		r.accepted++
		r.publish()
	case validate.Rejected:
		r.rejected++
	}
	if r.current.Load() != nil && now.Sub(r.ticketKeyCreated) > ticketKeyLifetime {
		r.publish()
	}
	if decision.Report {
		r.logDecision(now, decision)
	}
	return decision
}

// publish makes the accepted material current, with a new session ticket key. r.mu must be held.
func (r *Store) publish() {
	material, generation := r.rotation.Serving()
	next := &snapshot{material: material, generation: generation}
	if leaf := material.Leaf(); leaf != nil {
		certificate := tls.Certificate{PrivateKey: material.Key, Leaf: leaf}
		for _, cert := range material.Certs {
			certificate.Certificate = append(certificate.Certificate, cert.Raw)
		}
		next.certificates = []tls.Certificate{certificate}
	}
	next.server = r.serverConfig(material, next.certificates)
	r.ticketKeyCreated = r.options.Now()
	r.current.Store(next)
}

// logDecision logs a decision that operators have not been informed of. r.mu must be held.
func (r *Store) logDecision(now time.Time, decision validate.Decision) {
	log := r.options.Log.With("cert", r.options.Paths.Cert, "roots", r.options.Paths.Roots)
	if decision.Action != validate.Accepted {
		fault := decision.Fault
		log.Error("certificate files rejected", "rule", fault.Rule.String(), "file", fault.File, "reason", fault.Reason)
		return
	}
	material, generation := r.rotation.Serving()
	attributes := []any{"generation", generation}
	if leaf := material.Leaf(); leaf != nil {
		attributes = append(attributes,
			"names", validate.NamesOf(leaf),
			"issuer", leaf.Issuer.String(),
			"not_after", leaf.NotAfter.UTC(),
			"remaining", r.rotation.Remaining(now).Round(time.Minute))
	}
	log.Info("certificate files accepted", attributes...)
}

// Secret derives a key for another purpose from the private key in use (HKDF, RFC 5869). It is the same after a
// restart as long as the private key is.
func (r *Store) Secret(purpose string) (secret [32]byte, err error) {
	material := r.current.Load().material
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

// LocalCert returns the certificate that is presented to peers, nil for none.
func (r *Store) LocalCert() *x509.Certificate { return r.current.Load().material.Leaf() }

// ReplacementTime returns the period over which connections are replaced after a change.
func (r *Store) ReplacementTime() time.Duration { return r.options.ReplacementTime }

// Generation returns the generation of the material in use, from 1.
func (r *Store) Generation() int { return r.current.Load().generation }

// Retirement returns until when a connection may carry new requests.
func (r *Store) Retirement(conn validate.Conn) validate.Retirement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rotation.Retirement(r.options.Now(), conn)
}

// Counters count the results of Reload since the start.
type Counters struct {
	Accepted  int           // files accepted
	Rejected  int           // files rejected, the previous material kept
	Remaining time.Duration // until the certificate in use expires; 0 without one
}

// Counters returns the present counters.
func (r *Store) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	counters := Counters{Accepted: r.accepted, Rejected: r.rejected}
	if material, _ := r.rotation.Serving(); material.Leaf() != nil {
		counters.Remaining = r.rotation.Remaining(r.options.Now())
	}
	return counters
}

// newTicketKey returns a random session ticket key.
func newTicketKey() (key [32]byte) {
	_, _ = rand.Read(key[:]) // never returns an error
	return key
}
