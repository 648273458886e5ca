package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const (
	receiveTimeout = 20 * time.Second      // for data that must arrive
	noDataTimeout  = 50 * time.Millisecond // for data that must not arrive
)

// testTarget is a target that accepts TCP connections and receives datagrams at one address.
type testTarget struct {
	address  string
	listener net.Listener
	socket   net.PacketConn
}

// newTestTarget starts a target, which ends with the test.
func newTestTarget(t *testing.T) *testTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	socket, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return &testTarget{
		address:  listener.Addr().String(),
		listener: listener,
		socket:   socket,
	}
}

// receive returns the next datagram that arrives at the target.
func (target *testTarget) receive(t *testing.T) string {
	t.Helper()
	if err := target.socket.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 100)
	count, _, err := target.socket.ReadFrom(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:count])
}

// testRelay is a relay to a target.
type testRelay struct {
	*Relay
	target *testTarget
}

// newTestRelay starts a relay to a new target. Both are closed at the end of the test, which then fails if goroutines
// remain.
func newTestRelay(t *testing.T) *testRelay {
	t.Helper()
	ignored := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignored) })
	target := newTestTarget(t)
	relay, err := Start(target.address, NewPath(1), NewPath(2))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return &testRelay{Relay: relay, target: target}
}

// dial opens a connection to the relay, which is closed at the end of the test.
func (r *testRelay) dial(t *testing.T, network string) net.Conn {
	t.Helper()
	connection, err := net.Dial(network, r.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	return connection
}

// connect opens a TCP connection through the relay and returns its ends at the client and at the target.
func (r *testRelay) connect(t *testing.T, target *testTarget) (client, server net.Conn) {
	t.Helper()
	client = r.dial(t, "tcp")
	server, err := target.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client, server
}

func send(t *testing.T, to io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads count bytes. It fails if they do not arrive within the timeout.
func receive(t *testing.T, from net.Conn, count int, timeout time.Duration) (string, error) {
	t.Helper()
	if err := from.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, count)
	count, err := io.ReadFull(from, buffer)
	return string(buffer[:count]), err
}

// requireReceived fails the test unless a text arrives.
func requireReceived(t *testing.T, from net.Conn, want string) {
	t.Helper()
	if got, err := receive(t, from, len(want), receiveTimeout); err != nil || got != want {
		t.Fatalf("received %q, %v, want %q", got, err, want)
	}
}

func TestSetTargetAffectsNewConnectionsAndDatagramsOnly(t *testing.T) {
	relay := newTestRelay(t)
	second := newTestTarget(t)
	datagrams := relay.dial(t, "udp")

	oldClient, oldServer := relay.connect(t, relay.target)
	send(t, oldClient, "before")
	requireReceived(t, oldServer, "before")
	send(t, datagrams, "one")
	if got := relay.target.receive(t); got != "one" {
		t.Fatalf("the first target received %q, want %q", got, "one")
	}

	if err := relay.SetTarget(second.address); err != nil {
		t.Fatal(err)
	}
	newClient, newServer := relay.connect(t, second)
	send(t, newClient, "to the other")
	requireReceived(t, newServer, "to the other")
	send(t, oldClient, "still here")
	requireReceived(t, oldServer, "still here")
	send(t, datagrams, "two")
	if got := second.receive(t); got != "two" {
		t.Fatalf("the second target received %q, want %q", got, "two")
	}

	if err := relay.SetTarget("nowhere"); err == nil {
		t.Error("SetTarget accepted an address without a port")
	}
}

func TestPartitionStallsStreamInOneDirectionWithoutLoss(t *testing.T) {
	relay := newTestRelay(t)
	client, server := relay.connect(t, relay.target)

	relay.outbound.SetConditions(Conditions{Partitioned: true, Loss: 1, Corrupt: 1})
	send(t, client, "question")
	send(t, server, "other way")
	requireReceived(t, client, "other way")
	if got, err := receive(t, server, 1, noDataTimeout); err == nil {
		t.Fatalf("received %q through a partition", got)
	}

	relay.outbound.SetConditions(Conditions{})
	requireReceived(t, server, "question")
}

func TestResetConnectionsResetsDespitePartition(t *testing.T) {
	relay := newTestRelay(t)
	client, _ := relay.connect(t, relay.target)
	relay.inbound.SetConditions(Conditions{Partitioned: true})
	relay.ResetConnections()
	if _, err := receive(t, client, 1, receiveTimeout); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

func TestConditionsOfDatagrams(t *testing.T) {
	relay := newTestRelay(t)
	client := relay.dial(t, "udp")
	// sendAndWait returns once the relay has received the datagram, so that later conditions do not apply to it.
	sendAndWait := func(text string) {
		t.Helper()
		before := relay.outbound.Counts().Received
		send(t, client, text)
		for relay.outbound.Counts().Received == before {
			time.Sleep(time.Millisecond)
		}
	}

	relay.outbound.SetConditions(Conditions{Loss: 1})
	sendAndWait("lost")
	relay.outbound.SetConditions(Conditions{Partitioned: true})
	sendAndWait("partitioned")
	relay.outbound.SetConditions(Conditions{Duplicate: 1})
	sendAndWait("a")
	if got := relay.target.receive(t) + relay.target.receive(t); got != "aa" {
		t.Errorf("received %q with duplication, want %q", got, "aa")
	}
	relay.outbound.SetConditions(Conditions{Reorder: 1})
	sendAndWait("b")
	relay.outbound.SetConditions(Conditions{})
	sendAndWait("c")
	if got := relay.target.receive(t) + relay.target.receive(t); got != "cb" {
		t.Errorf("received %q with reordering, want %q", got, "cb")
	}
	relay.outbound.SetConditions(Conditions{Corrupt: 1})
	sendAndWait("changed")
	if got := relay.target.receive(t); got == "changed" || len(got) != len("changed") {
		t.Errorf("received %q with corruption, want a changed text of the same length", got)
	}
	relay.outbound.SetConditions(Conditions{Delay: time.Millisecond})
	sendAndWait("late")
	if got := relay.target.receive(t); got != "late" {
		t.Errorf("received %q with a delay, want %q", got, "late")
	}
	if dropped := relay.outbound.Counts().Dropped; dropped != 2 {
		t.Errorf("%d datagrams counted as dropped, want 2", dropped)
	}
}

func TestFatesFollowSeed(t *testing.T) {
	drawFates := func(seed uint64) string {
		path := NewPath(seed)
		path.SetConditions(Conditions{Loss: 0.3, Duplicate: 0.3, Reorder: 0.3, Corrupt: 0.3})
		var fates strings.Builder
		for range 100 {
			fmt.Fprintf(&fates, "%+v\n", path.drawFate())
		}
		return fates.String()
	}
	first, second, other := drawFates(1), drawFates(1), drawFates(2)
	if first != second {
		t.Error("the same seed gave different fates")
	}
	if first == other {
		t.Error("different seeds gave the same fates")
	}
}
