// Package ports finds free addresses on loopback for processes that will listen there later.
package ports

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The range of ports lies below the kernel's ephemeral ports. An outgoing connection could otherwise take a port
// before its process listens, or while its process restarts.
const (
	firstPort = 12_000
	endPort   = 30_000 // exclusive
)

// pidStride spreads processes that run at the same time over the range.
const pidStride = 97

// lastPort is the port that was tried last. A process tries the whole range before it repeats a port.
var lastPort = struct {
	sync.Mutex
	number int
}{number: firstPort + os.Getpid()*pidStride%(endPort-firstPort)}

// Free returns an address, as host:port, on which nobody listens with TCP or UDP.
func Free() (string, error) {
	lastPort.Lock()
	defer lastPort.Unlock()
	for range endPort - firstPort {
		lastPort.number++
		if lastPort.number >= endPort {
			lastPort.number = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", lastPort.number)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port on 127.0.0.1")
}

// MustFree is like [Free] but ends the test if there is no free address.
func MustFree(t testing.TB) string {
	t.Helper()
	address, err := Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// isFree reports whether one can listen at an address with both TCP and UDP.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packetConn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	packetConn.Close()
	return true
}
