// Package relay simulates the network between the processes of a fault test. Each path from one process to another
// passes a relay on loopback, which forwards TCP connections and UDP datagrams. It can delay and hold back both, and
// lose, duplicate, reorder or corrupt datagrams.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// Relay forwards TCP connections and UDP datagrams from its address to a target.
type Relay struct {
	Address string // host:port, for TCP and UDP

	outbound *Path // to the target
	inbound  *Path // from the target
	listener net.Listener
	socket   *net.UDPConn
	tasks    sync.WaitGroup  // all goroutines of the relay
	ctx      context.Context // cancelled when the relay is closed
	cancel   context.CancelFunc

	mu          sync.Mutex
	closed      bool
	target      target
	connections map[*net.TCPConn]bool // established connections, to and from the target
}

// target is the address that a relay forwards to.
type target struct {
	stream    string // host:port
	datagrams *net.UDPAddr
}

// Start starts a relay that forwards to the target, which is host:port. Data to the target takes the outbound path,
// and data from it the inbound path. Datagrams are forwarded only to the target: datagrams in the opposite direction
// take another relay.
func Start(target string, outbound, inbound *Path) (*Relay, error) {
	listener, socket, err := listen()
	if err != nil {
		return nil, err
	}
	relay := &Relay{
		Address:     listener.Addr().String(),
		outbound:    outbound,
		inbound:     inbound,
		listener:    listener,
		socket:      socket,
		connections: map[*net.TCPConn]bool{},
	}
	relay.ctx, relay.cancel = context.WithCancel(context.Background())
	if err := relay.SetTarget(target); err != nil {
		relay.cancel()
		listener.Close()
		socket.Close()
		return nil, err
	}
	relay.tasks.Go(relay.acceptConnections)
	relay.tasks.Go(relay.forwardDatagrams)
	return relay, nil
}

// maxListenAttempts bounds the attempts to find a port that is free for both TCP and UDP.
const maxListenAttempts = 100

// errNoFreePort is wrapped by the error of Start if no port was free in maxListenAttempts attempts.
var errNoFreePort = errors.New("no port is free for both TCP and UDP")

// listen listens on loopback, for TCP and UDP on the same port.
func listen() (net.Listener, *net.UDPConn, error) {
	for range maxListenAttempts {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err == nil {
			return listener, socket, nil
		}
		listener.Close() // the port is in use for UDP
	}
	return nil, nil, fmt.Errorf("%w after %d attempts", errNoFreePort, maxListenAttempts)
}

// SetTarget makes the relay forward new connections and datagrams to another address. Established connections are not
// affected.
func (r *Relay) SetTarget(address string) error {
	datagrams, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target{stream: address, datagrams: datagrams}
	return nil
}

// currentTarget returns the address to which new connections and datagrams are forwarded.
func (r *Relay) currentTarget() target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// Close closes the relay, its connections and both of its paths, and waits for its goroutines.
func (r *Relay) Close() {
	r.cancel()
	r.listener.Close()
	r.socket.Close()
	r.outbound.close()
	r.inbound.close()
	r.closeConnections()
	r.tasks.Wait()
}

// closeConnections closes all connections, and makes addConnection close those that are added later.
func (r *Relay) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for connection := range r.connections {
		connection.Close()
	}
}

// ResetConnections resets all established connections.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection := range r.connections {
		reset(connection)
	}
}

// addConnection registers a connection. It closes the connection and returns false if the relay has been closed.
func (r *Relay) addConnection(connection *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		connection.Close()
		return false
	}
	r.connections[connection] = true
	return true
}

// removeConnection closes a connection and removes it.
func (r *Relay) removeConnection(connection *net.TCPConn) {
	connection.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, connection)
}
