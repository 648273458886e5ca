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

// minInstanceHandshakes is the least number of handshakes a second that an instance may have with one server, however
// many instances share the budget: with fewer it could not replace broken connections.
const minInstanceHandshakes = 1

// handshakeBudget returns this instance's share of the handshakes that all instances may have with a server.
func handshakeBudget(file *config.File) handshake.Config {
	upstream := &file.Upstream
	total := handshake.Config{
		PerServer:          upstream.HandshakesPerServer,
		All:                upstream.HandshakesTotal,
		Burst:              upstream.HandshakeBurst,
		InitialWarmupRatio: file.Fleet.SlowStartRatio,
		WarmWithin:         time.Duration(file.Fleet.SlowStartTime),
	}
	return total.Share(file.Fleet.Instances, minInstanceHandshakes)
}

// newSecureClient returns the client that performs the upstream's TLS handshakes, nil for plain text.
func newSecureClient(file *config.File, open stores, log *slog.Logger) (*secure.Client, error) {
	if file.Upstream.Keys == "" {
		return nil, nil
	}
	return secure.New(secure.Options{
		KeyStore: open[file.Upstream.Keys],
		Names:    file.VerifyNames(),
		Budget:   handshakeBudget(file),
		Sessions: file.Upstream.MaxSessions,
		Timeout:  time.Duration(file.Upstream.HandshakeTimeout),
		Log:      log,
	})
}

// newUpstream returns the upstream, which sends requests to servers, and the function that closes it. tlsClient is nil
// for plain text.
func newUpstream(file *config.File, tlsClient *secure.Client) (engine.Upstream, func() error, error) {
	options := httpupstream.Options{
		DialTimeout: time.Duration(file.Limits.DialTimeout),
		Idle:        time.Duration(file.Limits.IdleTimeout),
		Connections: file.Limits.UpstreamConnections,
		Fields:      file.Fleet.LoadFields,
	}
	if tlsClient != nil {
		options.Secure = tlsClient
	}
	if !file.Upstream.HTTP3 {
		return httpupstream.New(options), func() error { return nil }, nil
	}
	byProtocol, err := byprotocol.New(options, http3upstream.Options{
		Secure:      tlsClient,
		DialTimeout: time.Duration(file.Upstream.HandshakeTimeout),
		Idle:        options.Idle,
		Connections: options.Connections,
		Fields:      options.Fields,
	})
	if err != nil {
		return nil, nil, err
	}
	return byProtocol, byProtocol.Close, nil
}
