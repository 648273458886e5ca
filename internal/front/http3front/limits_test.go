package http3front

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/balancer"
	"pinedale/internal/standin/wait"
)

// Connections beyond the limit are rejected before their handshake, and in a flood of new ones addresses must be
// verified.
func TestConnectionLimitAndAddressVerification(t *testing.T) {
	h := start(t, 0, func(o *Options) { o.Connections = 3 })
	for n := range 5 {
		request := h.newRequest("GET", "read", "")
		request.URL.Host = h.directAddress // the relay serves one client at a time
		code, text := h.roundTrip(h.newClient(), request)
		if want := map[bool]int{true: 200, false: 0}[n < 3]; code != want {
			t.Errorf("connection %d: status %d %s, want %d", n, code, text, want)
		}
	}
	if n := h.server.Connections(); n != 3 {
		t.Errorf("%d connections are open, want 3", n)
	}
	if h.server.Verified() > 0 {
		t.Error("addresses were verified below the rate limit")
	}
	// A server without clients: datagrams of a rejected client may still arrive at the other one.
	flooded := New(h.engine, h.upstream, h.options)
	const limit = maxUnverifiedPerSecond
	for second, connections := range []int{limit + 50, limit, limit + 1} {
		verified := 0
		for range connections {
			if flooded.aboveUnverifiedRate(int64(second + 1)) {
				verified++
			}
		}
		if verified != connections-limit {
			t.Errorf("%d new connections in a second: %d verified, want %d", connections, verified, connections-limit)
		}
	}
	if n := flooded.Verified(); n != 51 {
		t.Errorf("%d verified connections are counted, want 51", n)
	}
}

// A client that opens streams and resets them at once leaves nothing behind, and others are served meanwhile.
func TestResetFloodLeavesNothingBehind(t *testing.T) {
	h := start(t, 50*time.Millisecond, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, h.directAddress, http3.ConfigureTLSConfig(h.keyPair.Client), nil)
	if err != nil {
		t.Fatal(err)
	}
	flooding := (&http3.Transport{}).NewClientConn(conn)
	other := h.newClient()
	for n := range 500 {
		stream, err := flooding.OpenRequestStream(ctx)
		if err != nil {
			t.Fatal(n, err)
		}
		if err := stream.SendRequestHeader(h.newRequest("GET", "read", "")); err != nil {
			t.Fatal(n, err)
		}
		stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		if n%100 == 0 {
			if code, text := h.roundTrip(other, h.newRequest("GET", "read", "")); code != 200 {
				t.Errorf("request of another client: status %d %s, want 200", code, text)
			}
		}
	}
	wait.Until(t, "no request in flight", func() bool {
		n := 0
		h.engine.Call(func(balancer.Micros) { n, _ = h.engine.Counts() })
		return n == 0
	})
	if err := conn.CloseWithError(0, ""); err != nil {
		t.Fatal(err)
	}
	if err := conn.Context().Err(); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
