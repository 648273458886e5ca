package http3front

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/standin/udprelay"
	"pinedale/internal/standin/wait"
)

// A draining front answers the requests that it has accepted and accepts no more: it sends GOAWAY, and
// H3_REQUEST_REJECTED for later requests.
func TestDrainAnswersAcceptedRequestsOnly(t *testing.T) {
	h := start(t, 300*time.Millisecond, nil)
	c := h.newClient()
	response := make(chan int)
	go func() {
		code, _ := h.roundTrip(c, h.newRequest("POST", "pay", "body"))
		response <- code
	}()
	wait.Until(t, "the request at its server", func() bool { return h.fleet.Counts().Executed == 1 })
	h.stop()
	wait.Until(t, "draining", h.server.draining.Load)
	if code := <-response; code != 200 {
		t.Errorf("the request in flight: status %d, want 200", code)
	}
	soon, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if code, _ := h.roundTrip(h.newClient(), h.newRequest("GET", "read", "").WithContext(soon)); code != 0 {
		t.Errorf("a request while draining: status %d, want none", code)
	}
	if err := <-h.served; err != nil {
		t.Errorf("Serve returned %v", err)
	}
	h.served <- nil // for the cleanup
}

// restart kills the front and starts one with another name at the same address.
func (h *harness) restart(name string) {
	h.t.Helper()
	h.relay.SetBlocked(udprelay.ToClient, true) // as after a kill: no CONNECTION_CLOSE arrives
	h.stop()
	if err := <-h.served; err != nil {
		h.t.Fatal(err)
	}
	if err := h.relay.Rebind(); err != nil { // datagrams in flight are lost
		h.t.Fatal(err)
	}
	sameSocket, err := net.ListenPacket("udp", h.directAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	options := h.options
	options.Name = name
	h.serve(New(h.engine, h.upstream, options), sameSocket)
	h.relay.SetBlocked(udprelay.ToClient, false)
}

// A front that is killed and restarted resets the connections of the earlier process, by a key that survives the
// restart: clients need not wait for their idle timeout. Another instance's key ends none of them.
func TestRestartedInstanceResetsItsConnections(t *testing.T) {
	h := start(t, 0, func(o *Options) { o.Name = "till-1" })
	address, err := net.ResolveUDPAddr("udp", h.relay.Address)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	defer socket.Close()
	defer transport.Close()
	conn, err := transport.Dial(context.Background(), address, http3.ConfigureTLSConfig(h.keyPair.Client),
		&quic.Config{MaxIdleTimeout: time.Minute, KeepAlivePeriod: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	client := (&http3.Transport{}).NewClientConn(conn)
	out, err := client.RoundTrip(h.newRequest("GET", "read", ""))
	if err != nil || out.StatusCode != 200 {
		t.Fatalf("first request: response %v, %v, want status 200", out, err)
	}
	out.Body.Close()
	h.restart("till-2")
	// A reset responds to larger packets only (RFC 9000, section 10.3.3): to a request, not to a keep-alive.
	var pending sync.WaitGroup
	sendRequest := func() {
		request := h.newRequest("GET", "read", "")
		pending.Go(func() {
			if out, err := client.RoundTrip(request); err == nil {
				out.Body.Close()
				t.Error("a request succeeded on a connection that the restarted instance does not know")
			}
		})
	}
	_, before := h.relay.DatagramCounts()
	sendRequest()
	wait.Until(t, "another instance's resets", func() bool {
		_, sent := h.relay.DatagramCounts()
		return sent > before+1
	})
	if conn.Context().Err() != nil {
		t.Fatalf("another instance has ended the connection: %v", context.Cause(conn.Context()))
	}
	h.restart("till-1")
	sendRequest()
	wait.Until(t, "the connection's end", func() bool { return conn.Context().Err() != nil })
	if reset := (*quic.StatelessResetError)(nil); !errors.As(context.Cause(conn.Context()), &reset) {
		t.Errorf("the connection was ended by %v, want a stateless reset", context.Cause(conn.Context()))
	}
	pending.Wait()
}
