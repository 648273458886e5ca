package httpupstream

import (
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"pinedale/internal/engine"
)

// newTestUpstream returns an upstream that opens at most maxOpen connections.
func newTestUpstream(maxOpen int) *Upstream {
	return New(Options{
		DialTimeout: 2 * time.Second,
		Settle:      1,
		Idle:        5 * time.Second,
		Connections: maxOpen,
		Fields:      []string{"failed_ps", "pending"},
	})
}

// get returns a GET request with an idempotency key.
func get(path string) *engine.Message {
	return &engine.Message{
		Method: http.MethodGet,
		URL:    &url.URL{Path: path},
		Host:   "api",
		Header: http.Header{"X-Correlation-Id": {"1"}, "Idempotency-Key": {"k"}},
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
