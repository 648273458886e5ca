package cluster

import (
	"bytes"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"pinedale/internal/engine"
	"pinedale/internal/standin/wait"
)

// Messages that are not encrypted with a key of the keyring, and messages that cannot be decoded,
// change nothing.
func TestUndecodableMessagesAreIgnored(t *testing.T) {
	nodes := startNodes(t, 2, func(index int, c *Config) {
		c.Keys = [][]byte{bytes.Repeat([]byte{byte(index)}, 16)}
	})
	conn, err := net.Dial("udp", nodes[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	for range 50 {
		if _, err := conn.Write([]byte("\x08rubbish")); err != nil {
			t.Fatal(err)
		}
	}
	nodes[0].inbox <- []byte("rubbish")
	wait.Until(t, "the malformed message is counted", func() bool { return status(t, nodes[0]).Counts.Malformed == 1 })
	if s := status(t, nodes[0]); !slices.Equal(s.Alive, []string{"i-0"}) || s.Counts.Received != 0 {
		t.Errorf("a node with another key joined, or an undecodable message was counted as received: %+v", s)
	}
}

// An instance that runs from a copy of another instance's folder grants no leases. The other
// instances still get leases.
func TestDuplicateInstanceGrantsNoLeases(t *testing.T) {
	nodes := startNodes(t, 3, nil)
	waitReady(t, nodes)
	duplicate := startNodes(t, 1, func(_ int, c *Config) {
		c.Join = []string{"i-1/" + nodes[1].Addr()}
		c.Voters = []string{"i-0", "i-1", "i-2"}
	})[0]
	wait.Until(t, "the duplicate has detected the original", func() bool {
		recovering, err := time.ParseDuration(status(t, duplicate).RecoveringFor)
		return err == nil && recovering > 10*time.Second
	})
	decision := <-acquire(nodes[1], engine.LeaseRequest{Key: "k", Request: 1, Term: 1, Group: "pod 1"})
	if decision.Outcome != engine.LeaseExclusive {
		t.Errorf("lease request while a duplicate runs: %+v, want an exclusive lease", decision)
	}
}

// memberlist changes its record of an instance while messages are sent to it: sending once read the address in the
// middle of such a change.
func TestMemberIsACopyOfTheListsRecord(t *testing.T) {
	m := newMembership("i-0", slog.New(slog.DiscardHandler))
	record := &memberlist.Node{Name: "i-1", Addr: net.IPv4(127, 0, 0, 1), Port: 7001}
	m.add(record)
	record.Addr, record.Port = net.IPv4(127, 0, 0, 2), 7002
	if address := m.member("i-1").Address(); address != "127.0.0.1:7001" {
		t.Errorf("the address is %s, want 127.0.0.1:7001 until the next notification", address)
	}
}
