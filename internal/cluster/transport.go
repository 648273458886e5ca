package cluster

import (
	"log/slog"
	"net"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"pinedale/internal/cluster/message"
	"pinedale/internal/replication"
)

// answerBytesPerSecond limits the deltas and vectors that are sent in answer to peers, whatever
// the fleet's size. Leases are not limited; rumours and digests take a few kB a second.
const answerBytesPerSecond = 64 << 10

// byteBudget is a token bucket of bytes that holds at most one second's worth.
type byteBudget struct{ available float64 }

func newByteBudget() byteBudget { return byteBudget{available: answerBytesPerSecond} }

func (b *byteBudget) refill(elapsed time.Duration) {
	b.available = min(answerBytesPerSecond, b.available+answerBytesPerSecond*elapsed.Seconds())
}

// spend takes n bytes and returns true, or returns false if fewer are available.
func (b *byteBudget) spend(n int) bool {
	if b.available < float64(n) {
		return false
	}
	b.available -= float64(n)
	return true
}

// transport sends messages to other instances. The node's goroutine owns it.
type transport struct {
	self    replication.Origin
	members *membership
	counts  *Counts
	budget  byteBudget // for answers
	log     *slog.Logger
}

// send sends one message if its receiver is alive. The message may be lost.
func (t *transport) send(receiver string, what any) {
	member := t.members.member(receiver)
	if member == nil {
		return
	}
	data, err := message.Encode(message.Message{From: t.self, Payload: what})
	if err != nil {
		t.log.Error("peer message encoding failed", "receiver", receiver, "err", err)
		return
	}
	t.counts.Sent++
	t.counts.Bytes += uint64(len(data))
	if err := t.members.list.SendBestEffort(member, data); err != nil {
		t.log.Debug("peer message send failed", "receiver", receiver, "err", err)
	}
}

// sendAnswer sends one message within the byte budget, and returns false if the budget is spent.
func (t *transport) sendAnswer(receiver string, what any) bool {
	if !t.budget.spend(message.MaxBytes) {
		return false
	}
	t.send(receiver, what)
	return true
}

// mappedTransport is memberlist's transport with other addresses for some instances.
type mappedTransport struct {
	*memberlist.NetTransport
	addresses map[string]string // host:port by name
}

// WriteToAddress sends a datagram to an instance's mapped address.
func (t *mappedTransport) WriteToAddress(data []byte, address memberlist.Address) (time.Time, error) {
	return t.NetTransport.WriteToAddress(data, t.mapped(address))
}

// DialAddressTimeout connects to an instance's mapped address.
func (t *mappedTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialAddressTimeout(t.mapped(address), timeout)
}

func (t *mappedTransport) mapped(address memberlist.Address) memberlist.Address {
	if other, ok := t.addresses[address.Name]; ok {
		address.Addr = other
	}
	return address
}

// debugWriter logs memberlist's lines at debug level: the node itself logs what matters, and an
// instance that is down would fill the log.
type debugWriter struct{ log *slog.Logger }

// Write logs one line.
func (w debugWriter) Write(line []byte) (int, error) {
	w.log.Debug("memberlist", "line", strings.TrimSpace(string(line)))
	return len(line), nil
}
