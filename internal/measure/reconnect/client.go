package reconnect

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/engine"
	"pinedale/internal/standin/ca"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/handshake"
	"pinedale/internal/upstream/secure"
)

const (
	// retryInterval is how long an instance waits after a failed attempt to connect, as clients do.
	retryInterval = 100 * time.Millisecond

	cachedSessions = 4096
)

// outcomes counts the attempts of all instances to connect.
type outcomes struct {
	mu                            sync.Mutex
	succeeded, rejected, timedOut int
}

// count counts an attempt to connect, unless it was interrupted by the end of ctx.
func (o *outcomes) count(ctx context.Context, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.succeeded++
	case errors.Is(err, attempt.ErrFull):
		o.rejected++
	case ctx.Err() == nil:
		o.timedOut++
	}
}

// instance is a sidecar instance that connects to the servers.
type instance struct {
	client *secure.Client
	counts *outcomes
}

func newInstance(files *ca.Folder, budget handshake.Config, counts *outcomes) (*instance, error) {
	log := slog.New(slog.DiscardHandler)
	certificates, err := certstore.Open(certstore.Options{Paths: certstore.Paths{Roots: files.Roots}, Log: log})
	if err != nil {
		return nil, err
	}
	client, err := secure.New(secure.Options{
		KeyStore: certificates,
		Names:    &secure.Names{Pattern: serverName},
		Budget:   budget,
		Sessions: cachedSessions,
		Timeout:  handshakeTimeout,
		Log:      log,
	})
	if err != nil {
		return nil, err
	}
	return &instance{client: client, counts: counts}, nil
}

// connectUntilDone attempts to connect until a connection was established, or ctx ends. It closes the connection at
// once, since file descriptors are limited.
func (i *instance) connectUntilDone(ctx context.Context, target *engine.Target) {
	for {
		conn, err := i.connect(ctx, target)
		i.counts.count(ctx, err)
		if err == nil {
			conn.Close()
			return
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// connect waits for the handshake budget and does a handshake.
func (i *instance) connect(ctx context.Context, target *engine.Target) (net.Conn, error) {
	if err := i.client.AwaitTurn(ctx, target); err != nil {
		return nil, err
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, err
	}
	return i.client.Secure(ctx, target, raw)
}
