package udprelay

import (
	"errors"
	"net"
	"os"
	"slices"
	"testing"
	"time"
)

// Timeouts for reading a datagram that must arrive, and one that must not.
const (
	arrivalTimeout = 10 * time.Second
	absenceTimeout = 100 * time.Millisecond
)

// path is a client, a relay and a server.
type path struct {
	t              *testing.T
	relay          *Relay
	client, server *net.UDPConn
}

func newPath(t *testing.T, script Script) *path {
	t.Helper()
	loopback := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	server, err := net.ListenUDP("udp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	relay, err := Start(server.LocalAddr().String(), script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	address, err := net.ResolveUDPAddr("udp", relay.Address)
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.DialUDP("udp", nil, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return &path{t: t, relay: relay, client: client, server: server}
}

// send sends datagrams from the client.
func (p *path) send(datagrams ...string) {
	p.t.Helper()
	for _, datagram := range datagrams {
		if _, err := p.client.Write([]byte(datagram)); err != nil {
			p.t.Fatal(err)
		}
	}
}

// receive returns the next n datagrams at the server, and the address that the last one came from.
func (p *path) receive(n int) (datagrams []string, from *net.UDPAddr) {
	p.t.Helper()
	if err := p.server.SetReadDeadline(time.Now().Add(arrivalTimeout)); err != nil {
		p.t.Fatal(err)
	}
	buffer := make([]byte, 100)
	for range n {
		length, client, err := p.server.ReadFromUDP(buffer)
		if err != nil {
			p.t.Fatal(err)
		}
		datagrams = append(datagrams, string(buffer[:length]))
		from = client
	}
	return datagrams, from
}

// expectNothing checks that no datagram arrives at a connection.
func (p *path) expectNothing(conn *net.UDPConn) {
	p.t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(absenceTimeout)); err != nil {
		p.t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 100)); !errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Errorf("read %d bytes, %v; want no datagram", n, err)
	}
}

func TestDatagramsAreForwardedBothWays(t *testing.T) {
	p := newPath(t, Script{})
	p.send("a", "b")
	got, client := p.receive(2)
	if !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("the server received %q, want a and b", got)
	}
	if _, err := p.server.WriteToUDP([]byte("c"), client); err != nil {
		t.Fatal(err)
	}
	if err := p.client.SetReadDeadline(time.Now().Add(arrivalTimeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 100)
	if n, err := p.client.Read(buffer); err != nil || string(buffer[:n]) != "c" {
		t.Errorf("the client received %q, error %v, want c", buffer[:n], err)
	}
	if toServer, toClient := p.relay.DatagramCounts(); toServer != 2 || toClient != 1 {
		t.Errorf("%d datagrams to the server and %d to the client, want 2 and 1", toServer, toClient)
	}
}

func TestScriptAppliesToDatagrams(t *testing.T) {
	for name, test := range map[string]struct {
		script Script
		want   []string // of "a", "b" and "c"
	}{
		"duplicate": {Script{Duplicate: 1}, []string{"a", "a", "b", "b", "c", "c"}},
		"reorder":   {Script{Reorder: 1}, []string{"b", "a"}}, // "c" is held
		"delay":     {Script{Delay: 20 * time.Millisecond}, []string{"a", "b", "c"}},
		"loss":      {Script{Loss: 1}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPath(t, test.script)
			began := time.Now()
			p.send("a", "b", "c")
			got, _ := p.receive(len(test.want))
			if test.script.Delay > 0 {
				slices.Sort(got) // timers that expire at the same time run in any order
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("the server received %q, want %q", got, test.want)
			}
			if took := time.Since(began); took < test.script.Delay {
				t.Errorf("the datagrams took %v, want at least %v", took, test.script.Delay)
			}
			p.expectNothing(p.server)
		})
	}
}

func TestBlockedDirectionForwardsNothing(t *testing.T) {
	p := newPath(t, Script{})
	p.send("a")
	_, client := p.receive(1)
	p.relay.SetBlocked(ToClient, true)
	if _, err := p.server.WriteToUDP([]byte("lost"), client); err != nil {
		t.Fatal(err)
	}
	p.expectNothing(p.client)
	p.relay.SetBlocked(ToClient, false)
	p.relay.SetBlocked(ToServer, true)
	p.send("lost")
	p.expectNothing(p.server)
	p.relay.SetBlocked(ToServer, false)
	p.send("b")
	if got, _ := p.receive(1); !slices.Equal(got, []string{"b"}) {
		t.Errorf("the server received %q after the block, want b", got)
	}
}

func TestRebindChangesClientAddress(t *testing.T) {
	p := newPath(t, Script{})
	p.send("a")
	_, before := p.receive(1)
	if err := p.relay.Rebind(); err != nil {
		t.Fatal(err)
	}
	p.send("b")
	_, after := p.receive(1)
	if before.Port == after.Port {
		t.Errorf("the client's port is still %d after a rebind", after.Port)
	}
	if n := p.relay.ClientAddressCount(); n != 2 {
		t.Errorf("the server has seen %d client addresses, want 2", n)
	}
	if _, err := p.server.WriteToUDP([]byte("lost"), before); err != nil {
		t.Fatal(err)
	}
	p.expectNothing(p.client)
}
