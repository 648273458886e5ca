// Package udprelay is a stand-in for the path between QUIC peers: it passes datagrams on
// loopback, and drops, doubles, delays and holds them back as it is scripted to. It can
// change the client's address as a rebinding NAT does, and go deaf in one direction.
package udprelay

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Script says what happens to datagrams. The shares are drawn from the seed.
type Script struct {
	Loss      float64       // share that is dropped, each way
	Duplicate float64       // share that is passed twice
	Reorder   float64       // share that is held until the next one has passed
	Delay     time.Duration // each way
	Seed      uint64
}

// Relay passes datagrams between one client at a time and a server.
type Relay struct {
	Address string // that clients send to

	server *net.UDPAddr
	front  *net.UDPConn
	done   sync.WaitGroup

	mu     sync.Mutex
	script Script
	rng    *rand.Rand
	client *net.UDPAddr // that sent last
	back   *net.UDPConn // towards the server; its address is the client's, as the server sees it
	ports  int          // addresses that the server has seen
	deaf   [2]bool      // towards the server, and towards the client
	held   [2][]byte
	passed [2]int
	closed bool
}

// Directions of datagrams.
const (
	ToServer = iota
	ToClient
)

// maxDatagramBytes is more than any datagram of QUIC's on loopback.
const maxDatagramBytes = 1 << 16

// Start returns a relay to a server at host:port.
func Start(server string, script Script) (*Relay, error) {
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: front.LocalAddr().String(), server: to, front: front, script: script, rng: rand.New(rand.NewPCG(script.Seed, 1))}
	if err := r.Rebind(); err != nil {
		front.Close()
		return nil, err
	}
	r.done.Go(r.forth)
	return r, nil
}

// Rebind gives the client another address, as the server sees it. What is on its way to
// the old one is lost.
func (r *Relay) Rebind() error {
	back, err := net.DialUDP("udp", nil, r.server)
	if err != nil {
		return err
	}
	r.mu.Lock()
	old := r.back
	r.back = back
	r.ports++
	r.mu.Unlock()
	if old != nil {
		old.Close()
	}
	r.done.Go(func() { r.backward(back) })
	return nil
}

// Addresses counts those that the server has seen the client at.
func (r *Relay) ClientAddressCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ports
}

// Set changes the script.
func (r *Relay) SetScript(script Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = script
}

// Deafen drops all datagrams of a direction, or passes them again.
func (r *Relay) SetBlocked(direction int, deaf bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deaf[direction] = deaf
}

// Passed counts the datagrams that came in each direction.
func (r *Relay) DatagramCounts() (toServer, toClient int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed[ToServer], r.passed[ToClient]
}

// Close ends the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	back := r.back
	r.mu.Unlock()
	r.front.Close()
	back.Close()
	r.done.Wait()
}

// forth passes what clients send.
func (r *Relay) forth() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.client = from
		r.mu.Unlock()
		r.pass(ToServer, nil, buffer[:n])
	}
}

// backward passes what the server sends to one of the client's addresses.
func (r *Relay) backward(back *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := back.Read(buffer)
		if err != nil {
			// A server that is gone answers with "port unreachable", which ends nothing.
			r.mu.Lock()
			stale := r.closed || r.back != back
			r.mu.Unlock()
			if stale {
				return
			}
			continue
		}
		r.pass(ToClient, back, buffer[:n])
	}
}

// pass has a datagram fare as the script says. One that came to an address of before is lost,
// also if it was read already.
func (r *Relay) pass(direction int, to *net.UDPConn, data []byte) {
	r.mu.Lock()
	if to != nil && to != r.back {
		r.mu.Unlock()
		return
	}
	r.passed[direction]++
	s := r.script
	var out [][]byte
	switch {
	case r.deaf[direction] || r.rng.Float64() < s.Loss:
	case r.held[direction] == nil && r.rng.Float64() < s.Reorder:
		r.held[direction] = append([]byte{}, data...)
	default:
		out = append(out, append([]byte{}, data...))
		if r.rng.Float64() < s.Duplicate {
			out = append(out, out[0])
		}
		if late := r.held[direction]; late != nil {
			out, r.held[direction] = append(out, late), nil
		}
	}
	r.mu.Unlock()
	for _, d := range out {
		if s.Delay > 0 {
			time.AfterFunc(s.Delay, func() { r.write(direction, d) })
		} else {
			r.write(direction, d)
		}
	}
}

// write passes a datagram on. One that cannot be sent is lost, as on any network.
func (r *Relay) write(direction int, data []byte) {
	r.mu.Lock()
	client, back, closed := r.client, r.back, r.closed
	r.mu.Unlock()
	switch {
	case closed:
	case direction == ToServer:
		_, _ = back.Write(data)
	case client != nil:
		_, _ = r.front.WriteToUDP(data, client)
	}
}
