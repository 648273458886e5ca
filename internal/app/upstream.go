package app

import (
	"log/slog"
	"time"

	"pinedale/internal/config"
	"pinedale/internal/engine"
	"pinedale/internal/upstream/byprotocol"
	"pinedale/internal/upstream/handshake"
	"pinedale/internal/upstream/http3upstream"
	"pinedale/internal/upstream/httpupstream"
	"pinedale/internal/upstream/secure"
)

// minInstanceHandshakes is the handshakes a second that an instance may have with one server, however many instances
// share the budget: with fewer it could not replace broken connections.
const minInstanceHandshakes = 1

// handshakeBudget returns this instance's quota of the handshakes that a server may have.
func handshakeBudget(f *config.File) handshake.Config {
	u := &f.Upstream
	all := handshake.Config{
		PerServer:          u.HandshakesPerServer,
		All:                u.HandshakesTotal,
		Burst:              u.HandshakeBurst,
		InitialWarmupRatio: f.Fleet.SlowStartRatio,
		WarmWithin:         time.Duration(f.Fleet.SlowStartTime),
	}
	return all.Share(f.Fleet.Instances, minInstanceHandshakes)
}

// newSecureClient returns what performs the upstream's TLS handshakes, nil for plain text.
func newSecureClient(f *config.File, open stores, log *slog.Logger) (*secure.Client, error) {
	if f.Upstream.Keys == "" {
		return nil, nil
	}
	return secure.New(secure.Options{
		KeyStore: open[f.Upstream.Keys],
		Names:    f.VerifyNames(),
		Budget:   handshakeBudget(f),
		Sessions: f.Upstream.MaxSessions,
		Timeout:  time.Duration(f.Upstream.HandshakeTimeout),
		Log:      log,
	})
}

// newUpstream returns what sends requests to servers, and the function that closes it. security is nil for plain text.
func newUpstream(f *config.File, security *secure.Client) (engine.Upstream, func() error, error) {
	options := httpupstream.Options{
		DialTimeout: time.Duration(f.Limits.DialTimeout),
		Idle:        time.Duration(f.Limits.IdleTimeout),
		Connections: f.Limits.UpstreamConnections,
		Fields:      f.Fleet.LoadFields,
	}
	if security != nil {
		options.Secure = security
	}
	if !f.Upstream.HTTP3 {
		return httpupstream.New(options), func() error { return nil }, nil
	}
	byProtocol, err := byprotocol.New(options, http3upstream.Options{
		Secure:      security,
		DialTimeout: time.Duration(f.Upstream.HandshakeTimeout),
		Idle:        options.Idle,
		Connections: options.Connections,
		Fields:      options.Fields,
	})
	if err != nil {
		return nil, nil, err
	}
	return byProtocol, byProtocol.Close, nil
}
