package ports

import (
	"net"
	"testing"
)

func TestFreeAddressesDifferAndAreFree(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Errorf("%s is returned twice", address)
		}
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("listen with TCP: %v", err)
			continue
		}
		packetConn, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Errorf("listen with UDP: %v", err)
		} else {
			packetConn.Close()
		}
		listener.Close()
	}
}

func TestAddressInUseIsNotFree(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if isFree(listener.Addr().String()) {
		t.Error("an address with a TCP listener is reported as free")
	}
	packetConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer packetConn.Close()
	if isFree(packetConn.LocalAddr().String()) {
		t.Error("an address with a UDP socket is reported as free")
	}
}
