// Package udprelay provides a lossy network path on loopback between a QUIC client and its server: it forwards
// datagrams, and drops, duplicates, delays and reorders them according to a script. It can change the client's address
// as a rebinding NAT does, and block one direction.
package udprelay

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Script says what happens to datagrams in both directions. Ratios are from 0 to 1; the seed that the relay was started
// with determines the affected datagrams.
type Script struct {
	Loss      float64       // ratio of datagrams that are dropped
	Duplicate float64       // ratio that is forwarded twice
	Reorder   float64       // ratio that is held until the next one has been forwarded
	Delay     time.Duration // one way
	Seed      uint64
}

// Direction is the direction in which a datagram is forwarded.
type Direction int

// Values of [Direction].
const (
	ToServer Direction = iota
	ToClient
	directionCount
)

// maxDatagramBytes exceeds the size of any QUIC datagram on loopback.
const maxDatagramBytes = 1 << 16

// Relay forwards datagrams between a server and one client at a time.
type Relay struct {
	Address string // host:port, to which clients send

	server     *net.UDPAddr
	clientSide *net.UDPConn
	forwarding sync.WaitGroup

	mu           sync.Mutex
	script       Script
	random       *rand.Rand
	client       *net.UDPAddr // that the last datagram of a client came from
	serverSide   *net.UDPConn // its local address is the client's, as the server sees it
	addressCount int          // number of addresses that serverSide has had
	directions   [directionCount]directionState
	closed       bool
}

// directionState is the state of one direction.
type directionState struct {
	blocked   bool
	held      []byte // a datagram to be forwarded after the next one
	datagrams int    // received so far
}

// Start starts a relay to a server at host:port.
func Start(server string, script Script) (*Relay, error) {
	serverAddress, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, err
	}
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Relay{
		Address:    clientSide.LocalAddr().String(),
		server:     serverAddress,
		clientSide: clientSide,
		script:     script,
		random:     rand.New(rand.NewPCG(script.Seed, 1)),
	}
	if err := r.Rebind(); err != nil {
		clientSide.Close()
		return nil, err
	}
	r.forwarding.Go(r.forwardToServer)
	return r, nil
}

// Rebind gives the client another address, as the server sees it. Datagrams in flight to the old address are lost.
func (r *Relay) Rebind() error {
	serverSide, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return err
	}
	r.mu.Lock()
	old := r.serverSide
	r.serverSide = serverSide
	r.addressCount++
	r.mu.Unlock()
	if old != nil {
		old.Close()
	}
	r.forwarding.Go(func() { r.forwardToClient(serverSide) })
	return nil
}

// ClientAddressCount returns the number of addresses that the client has had, as the server sees it.
func (r *Relay) ClientAddressCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addressCount
}

// SetScript replaces the script. The seed of the new script is ignored.
func (r *Relay) SetScript(script Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = script
}

// SetBlocked sets whether all datagrams of a direction are dropped.
func (r *Relay) SetBlocked(direction Direction, blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directions[direction].blocked = blocked
}

// DatagramCounts returns the numbers of datagrams received so far in each direction.
func (r *Relay) DatagramCounts() (toServer, toClient int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directions[ToServer].datagrams, r.directions[ToClient].datagrams
}

// Close ends the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	serverSide := r.serverSide
	r.mu.Unlock()
	r.clientSide.Close()
	serverSide.Close()
	r.forwarding.Wait()
}

// forwardToServer forwards what clients send, until the relay is closed.
func (r *Relay) forwardToServer() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, client, err := r.clientSide.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.client = client
		r.mu.Unlock()
		r.forward(ToServer, nil, buffer[:n])
	}
}

// forwardToClient forwards what the server sends to one of the client's addresses, until that is replaced or the relay
// is closed.
func (r *Relay) forwardToClient(serverSide *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := serverSide.Read(buffer)
		if err == nil {
			r.forward(ToClient, serverSide, buffer[:n])
			continue
		}
		// While the server is down, reads fail with "port unreachable", and the relay continues.
		r.mu.Lock()
		ended := r.closed || r.serverSide != serverSide
		r.mu.Unlock()
		if ended {
			return
		}
	}
}

// forward applies the script to a datagram, and forwards it and any that it releases. For a datagram of the server,
// from is the socket that received it, else nil. A datagram sent to an earlier address of the client is lost.
func (r *Relay) forward(direction Direction, from *net.UDPConn, datagram []byte) {
	r.mu.Lock()
	if from != nil && from != r.serverSide {
		r.mu.Unlock()
		return
	}
	released := r.applyScript(direction, datagram)
	delay := r.script.Delay
	r.mu.Unlock()
	for _, d := range released {
		if delay > 0 {
			time.AfterFunc(delay, func() { r.write(direction, d) }) // does nothing once the relay is closed
		} else {
			r.write(direction, d)
		}
	}
}

// applyScript returns the datagrams to forward after one is received, as copies. The caller holds the lock.
func (r *Relay) applyScript(direction Direction, datagram []byte) [][]byte {
	state := &r.directions[direction]
	state.datagrams++
	if state.blocked || r.random.Float64() < r.script.Loss {
		return nil
	}
	datagram = bytes.Clone(datagram)
	if state.held == nil && r.random.Float64() < r.script.Reorder {
		state.held = datagram
		return nil
	}
	released := [][]byte{datagram}
	if r.random.Float64() < r.script.Duplicate {
		released = append(released, datagram)
	}
	if state.held != nil {
		released = append(released, state.held)
		state.held = nil
	}
	return released
}

// write sends a datagram. One that cannot be sent is lost, as on any network.
func (r *Relay) write(direction Direction, datagram []byte) {
	r.mu.Lock()
	client, serverSide, closed := r.client, r.serverSide, r.closed
	r.mu.Unlock()
	switch {
	case closed:
	case direction == ToServer:
		_, _ = serverSide.Write(datagram)
	case client != nil:
		_, _ = r.clientSide.WriteToUDP(datagram, client)
	}
}
