package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func between(t *testing.T) (r *Relay, forth, back *Path, target net.Listener, packets net.PacketConn) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if packets, err = net.ListenPacket("udp", target.Addr().String()); err != nil {
		t.Fatal(err)
	}
	forth, back = NewPath(1), NewPath(2)
	if r, err = Start(target.Addr().String(), forth, back); err != nil {
		t.Fatal(err)
	}
	return r, forth, back, target, packets
}

// New connections and datagrams go where the relay leads by then; what stands goes on.
func TestLead(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r, _, _, target, packets := between(t)
	defer r.Close()
	defer target.Close()
	defer packets.Close()
	other, _, _, second, secondPackets := between(t)
	other.Close()
	defer second.Close()
	defer secondPackets.Close()
	pass := func(to net.Listener) (from, at net.Conn) {
		t.Helper()
		from, err := net.Dial("tcp", r.Address)
		if err != nil {
			t.Fatal(err)
		}
		if at, err = to.Accept(); err != nil {
			t.Fatal(err)
		}
		return from, at
	}
	says := func(from, at net.Conn, what string) {
		t.Helper()
		send(t, from, what)
		got := make([]byte, len(what))
		if _, err := io.ReadFull(at, got); err != nil || string(got) != what {
			t.Fatalf("came %q, %v, want %q", got, err, what)
		}
	}
	hears := func(at net.PacketConn, what string) {
		t.Helper()
		from, err := net.Dial("udp", r.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer from.Close()
		got := make([]byte, 64)
		send(t, from, what)
		if err := at.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if n, _, err := at.ReadFrom(got); err != nil || string(got[:n]) != what {
			t.Fatalf("came %q, %v, want %q", got[:n], err, what)
		}
	}
	from, at := pass(target)
	defer from.Close()
	defer at.Close()
	says(from, at, "before")
	hears(packets, "one")
	if err := r.Lead(second.Addr().String()); err != nil {
		t.Fatal(err)
	}
	newFrom, newAt := pass(second)
	defer newFrom.Close()
	defer newAt.Close()
	says(newFrom, newAt, "to the other")
	says(from, at, "still here")
	hears(secondPackets, "two")
	if err := r.Lead("nowhere"); err == nil {
		t.Error("it leads to an address without a port")
	}
}

// send writes a text.
func send(t *testing.T, to io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Fatal(err)
	}
}

// Streams stand still in the direction that is cut, and go on once it is healed: nothing of
// them is lost or changed.
func TestStreams(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r, forth, back, target, packets := between(t)
	defer r.Close()
	defer target.Close()
	defer packets.Close()
	c, err := net.Dial("tcp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	read := func(from net.Conn, n int, within time.Duration) ([]byte, error) {
		if err := from.SetReadDeadline(time.Now().Add(within)); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, n)
		n, err := io.ReadFull(from, b)
		return b[:n], err
	}
	const patience, silence = 20 * time.Second, 50 * time.Millisecond
	forth.Set(Script{Cut: true, Loss: 1, Corrupt: 1})
	send(t, c, "question")
	send(t, s, "other way")
	if got, err := read(c, 9, patience); err != nil || string(got) != "other way" {
		t.Fatalf("against the cut: %q, %v", got, err)
	}
	if got, err := read(s, 1, silence); err == nil {
		t.Fatalf("%q came through the cut", got)
	}
	forth.Set(Script{})
	if got, err := read(s, 8, patience); err != nil || string(got) != "question" {
		t.Fatalf("after it: %q, %v", got, err)
	}
	back.Set(Script{Cut: true})
	r.Break()
	if _, err := read(c, 1, patience); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a connection that was broken ends with %v, want a reset", err)
	}
}

// Datagrams are lost, doubled, swapped and changed as the script says.
func TestDatagrams(t *testing.T) {
	r, forth, _, target, packets := between(t)
	defer r.Close()
	defer target.Close()
	defer packets.Close()
	c, err := net.Dial("udp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	next := func() string {
		b := make([]byte, 100)
		if err := packets.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		n, _, err := packets.ReadFrom(b)
		if err != nil {
			t.Fatal(err)
		}
		return string(b[:n])
	}
	// sent waits until the relay has taken a datagram, so that the next script is not its.
	sent := func(what string) {
		before, _ := forth.Counts()
		send(t, c, what)
		for n := before; n == before; n, _ = forth.Counts() {
			time.Sleep(time.Millisecond)
		}
	}
	forth.Set(Script{Loss: 1})
	sent("lost")
	forth.Set(Script{Cut: true})
	sent("cut")
	forth.Set(Script{Double: 1})
	sent("a")
	if got := next() + next(); got != "aa" {
		t.Errorf("doubled: %q", got)
	}
	forth.Set(Script{Swap: 1})
	sent("b")
	forth.Set(Script{})
	sent("c")
	if got := next() + next(); got != "cb" {
		t.Errorf("swapped: %q", got)
	}
	forth.Set(Script{Corrupt: 1})
	sent("changed")
	if got := next(); got == "changed" || len(got) != 7 {
		t.Errorf("changed: %q", got)
	}
	forth.Set(Script{Delay: time.Millisecond})
	sent("late")
	if got := next(); got != "late" {
		t.Errorf("late: %q", got)
	}
	if _, dropped := forth.Counts(); dropped != 2 {
		t.Errorf("%d are counted as lost", dropped)
	}
}

// The same seed has the same fate.
func TestSameSeedSameFate(t *testing.T) {
	draw := func(seed uint64) string {
		w := NewPath(seed)
		w.Set(Script{Loss: 0.3, Double: 0.3, Swap: 0.3, Corrupt: 0.3})
		var b bytes.Buffer
		for range 100 {
			_, lose, double, swap, corrupt := w.fate()
			fmt.Fprint(&b, lose, double, swap, corrupt)
		}
		return b.String()
	}
	first, second, other := draw(1), draw(1), draw(2)
	if first != second || first == other {
		t.Error("fates do not follow the seed")
	}
}
