package site

import (
	"log/slog"
	"time"

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

// verifyNames returns the names by which servers are verified.
func (f *File) verifyNames() *secure.Names {
	names := &secure.Names{Pattern: f.Upstream.VerifyPattern, ByServer: map[string]string{}}
	for _, s := range f.Servers {
		if s.VerifyName != "" {
			names.ByServer[s.Name] = s.VerifyName
		}
	}
	return names
}

// handshakeBudget returns this instance's quota of the handshakes that a server may have.
func (f *File) handshakeBudget() handshake.Config {
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

// secureClient returns what performs the upstream's TLS handshakes, nil for plain text.
func (f *File) secureClient(open stores, log *slog.Logger) (*secure.Client, error) {
	if f.Upstream.Keys == "" {
		return nil, nil
	}
	return secure.New(secure.Options{
		KeyStore: open[f.Upstream.Keys],
		Names:    f.verifyNames(),
		Budget:   f.handshakeBudget(),
		Sessions: f.Upstream.MaxSessions,
		Timeout:  time.Duration(f.Upstream.HandshakeTimeout),
		Log:      log,
	})
}

// upstream returns what sends requests to servers, and the function that closes it. security is nil for plain text.
func (f *File) upstream(security *secure.Client) (engine.Upstream, func() error, error) {
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
