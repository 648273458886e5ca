package dualprotocol

import (
	"errors"
	"net"
	"testing"
)

// listenOnTakenUDPPort calls Listen with a port that is free on TCP and taken on UDP.
func listenOnTakenUDPPort(t *testing.T) error {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := tcp.Addr().String()
	udp, err := net.ListenPacket("udp", address)
	tcp.Close()
	if err != nil {
		return err
	}
	defer udp.Close()
	_, stop, err := Listen(address, Options{})
	if err == nil {
		stop()
	}
	return err
}

func TestListenFailsWhenUDPPortIsTaken(t *testing.T) {
	const maxAttempts = 10 // another process may take the TCP port between the calls
	var err error
	for range maxAttempts {
		err = listenOnTakenUDPPort(t)
		if errors.Is(err, ErrNoPort) {
			return
		}
	}
	t.Errorf("error %v, want %v", err, ErrNoPort)
}
