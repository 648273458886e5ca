package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/certstore/validate"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/attempt"
)

const (
	// logInterval is the shortest time between two log events of the same failure of the same
	// server, so that a fleet with an expired certificate does not fill the disk.
	logInterval = time.Minute
	// maxLoggedFailures bounds the failures whose last log event is recorded.
	maxLoggedFailures = 1024
)

// clientHandshake is a handshake in progress.
type clientHandshake struct {
	client     *Client
	target     *engine.Target
	names      *Names
	name       string // that the target's certificate must be for
	generation int    // generation of the keys and roots in use
	config     *tls.Config
	presented  []*x509.Certificate // by the target
}

// newHandshake prepares a handshake with a target for a protocol (ALPN, RFC 7301).
func (c *Client) newHandshake(t *engine.Target, protocol string) (*clientHandshake, error) {
	h := &clientHandshake{client: c, target: t, generation: c.options.KeyStore.Generation(), names: c.names.Load()}
	var err error
	if h.name, err = h.names.CertificateName(t.Name); err != nil {
		return nil, h.fail(err)
	}
	if h.config, err = c.options.KeyStore.Client(h.name); err != nil {
		return nil, h.fail(err)
	}
	h.config.NextProtos = []string{protocol}
	h.config.ClientSessionCache = c.sessions.cacheFor(t, protocol, h.generation)
	verify := h.config.VerifyConnection
	h.config.VerifyConnection = func(state tls.ConnectionState) error {
		h.presented = state.PeerCertificates
		return verify(state)
	}
	return h, nil
}

// fail counts and logs the failure of a handshake, and returns err. It invalidates the target's
// cached sessions, one of which may have been resumed, so that the next handshake is a full one.
func (h *clientHandshake) fail(err error) error {
	h.client.sessions.invalidate(h.target)
	reason := failureReason(err)
	if h.client.countFailure(h.target.Address, reason) {
		h.logFailure(reason, err)
	}
	return err
}

// countFailure counts a failure, and reports whether it must be logged.
func (c *Client) countFailure(address, reason string) bool {
	now := c.options.Now()
	key := address + " " + reason
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Failed[reason]++
	last, known := c.loggedAt[key]
	if known && now.Sub(last) < logInterval && !now.Before(last) {
		return false
	}
	if len(c.loggedAt) >= maxLoggedFailures {
		clear(c.loggedAt)
	}
	c.loggedAt[key] = now
	return true
}

// logFailure logs which server was expected, what it presented, and why that was rejected.
func (h *clientHandshake) logFailure(reason string, err error) {
	args := []any{
		"server", h.target.Name,
		"address", h.target.Address,
		"expected", h.name,
		"reason", reason,
		"err", err,
	}
	if len(h.presented) > 0 {
		leaf := h.presented[0]
		args = append(args, "presented", validate.NamesOf(leaf), "issuer", leaf.Issuer.String())
	}
	h.client.options.Log.Error("tls handshake failed", args...)
}

// succeed counts a completed handshake, and returns the lifetime of its connection.
func (h *clientHandshake) succeed(state tls.ConnectionState, keys *certstore.Lifetime) lifetime {
	c := h.client
	c.mu.Lock()
	if state.DidResume {
		c.counters.Resumed++
	} else {
		c.counters.Full++
	}
	c.mu.Unlock()
	return lifetime{keys: keys, client: c, server: h.target.Name, name: h.name, names: h.names}
}

// Secure performs a handshake over raw. It closes raw if the handshake fails: no part of a request
// has been sent then.
func (c *Client) Secure(ctx context.Context, t *engine.Target, raw net.Conn) (attempt.Session, error) {
	h, err := c.newHandshake(t, protocolHTTP1)
	if err != nil {
		raw.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	encrypted := c.options.KeyStore.Dial(raw, h.config, h.generation)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, h.fail(err)
	}
	return &conn{encrypted, h.succeed(encrypted.ConnectionState(), encrypted.Lifetime())}, nil
}

// QUIC returns the TLS configuration of one handshake over QUIC, and a function that must be
// called with the handshake's result. After a success that function returns another one, which
// reports whether the connection may carry new requests at an instant and must not be called
// concurrently; after an error it returns nil.
func (c *Client) QUIC(t *engine.Target) (
	config *tls.Config, end func(tls.ConnectionState, error) (usable func(now time.Time) bool), err error) {
	h, err := c.newHandshake(t, protocolHTTP3)
	if err != nil {
		return nil, nil, err
	}
	return h.config, h.endQUIC, nil
}

// endQUIC records the result of a handshake over QUIC. See Client.QUIC.
func (h *clientHandshake) endQUIC(state tls.ConnectionState, err error) (usable func(now time.Time) bool) {
	if err != nil {
		_ = h.fail(err) // the caller already has the error
		return nil
	}
	keys := h.client.options.KeyStore.Lifetime(state, x509.ExtKeyUsageServerAuth, h.generation)
	connLifetime := h.succeed(state, keys)
	return connLifetime.isUsable
}

// Reasons why a handshake failed, as stated in counters and log events. For a rejected certificate
// the violated rule is stated instead.
const (
	reasonTimeout   = "silent"
	reasonCancelled = "called off"
	reasonRejected  = "refused"
	reasonNotTLS    = "not TLS"
	reasonBroken    = "broken"
	reasonOther     = "other"
)

// failureReason returns why a handshake has failed, for counters and log events.
//
//	a rule of package validate  the server's certificate was rejected
//	silent                      the handshake did not complete within its timeout
//	called off                  the attempt was cancelled
//	refused                     the server has sent an alert: it may require a client certificate
//	not TLS                     the server uses another protocol
//	broken                      the connection ended
//	other                       anything else, such as no common version or protocol
func failureReason(err error) string {
	var fault *validate.Fault
	var remote *net.OpError
	var record tls.RecordHeaderError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &fault):
		return fault.Rule.String()
	case errors.Is(err, context.Canceled):
		return reasonCancelled
	case errors.As(err, &timeout) && timeout.Timeout():
		return reasonTimeout
	case errors.As(err, &record):
		return reasonNotTLS
	case errors.As(err, &remote) && remote.Op == "remote error":
		return reasonRejected
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &remote):
		return reasonBroken
	}
	return reasonOther
}
