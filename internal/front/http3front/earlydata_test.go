package http3front

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
)

// sendEarly opens a connection with the session ticket of an earlier one, and sends a request before the handshake
// is complete. closeConn must be called at the end.
func (h *harness) sendEarly(r *http.Request) (stream *http3.RequestStream, closeConn func()) {
	h.t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	address, err := net.ResolveUDPAddr("udp", h.relay.Address)
	if err != nil {
		h.t.Fatal(err)
	}
	conn, err := transport.DialEarly(context.Background(), address, http3.ConfigureTLSConfig(h.keyPair.Client),
		&quic.Config{MaxIdleTimeout: 10 * time.Second})
	if err != nil {
		h.t.Fatal(err)
	}
	client := (&http3.Transport{}).NewClientConn(conn)
	stream, err = client.OpenRequestStream(context.Background())
	if err == nil {
		err = stream.SendRequestHeader(r)
	}
	if err == nil {
		err = stream.Close()
	}
	if err != nil {
		h.t.Fatal(err)
	}
	return stream, func() {
		_ = conn.CloseWithError(0, "")
		transport.Close()
		socket.Close()
	}
}

// Early data may be a replay: idempotent requests in it are served, all others are rejected with 425 (RFC 8470)
// and do not run.
func TestEarlyDataServesIdempotentRequestsOnly(t *testing.T) {
	h := start(t, 0, func(o *Options) { o.AcceptEarlyData = true })
	first := h.newClient()
	if code, text := h.roundTrip(first, h.newRequest("GET", "read", "")); code != 200 {
		t.Fatal(code, text)
	}
	first.Close()
	before := h.fleet.Counts().Executed
	for _, test := range []struct {
		method, class string
		want          int
	}{{"POST", "pay", http.StatusTooEarly}, {"GET", "read", http.StatusOK}} {
		// The client receives nothing from the server, so its handshake does not complete.
		h.relay.SetBlocked(udprelay.ToClient, true)
		stream, closeConn := h.sendEarly(h.newRequest(test.method, test.class, ""))
		if test.want == 200 {
			wait.Until(t, "the idempotent request to run early", func() bool { return h.fleet.Counts().Executed == before+1 })
		}
		_, sent := h.relay.DatagramCounts()
		wait.Until(t, "the server to send datagrams that are lost", func() bool {
			_, n := h.relay.DatagramCounts()
			return n >= sent+2
		})
		h.relay.SetBlocked(udprelay.ToClient, false)
		out, err := stream.ReadResponse()
		if err != nil || out.StatusCode != test.want {
			t.Errorf("%s: response %v, %v, want status %d", test.class, out, err, test.want)
		}
		if err == nil {
			out.Body.Close()
		}
		closeConn()
	}
	if n := h.fleet.Counts().Executed; n != before+1 {
		t.Errorf("%d requests in early data ran, want only the idempotent one", n-before)
	}
}
