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

// budgetBytesPerSecond limits the deltas and vectors that are sent in response to peers,
// regardless of the fleet's size. Lease messages have no limit; rumours and digests take about 12 kB
// per second at most (ten messages of Limits.MaxMessageBytes and two digests).
const budgetBytesPerSecond = 64 << 10

// byteBudget is a token bucket of bytes. Its capacity is the budget of one second.
type byteBudget struct{ available float64 }

// newByteBudget returns a full budget.
func newByteBudget() byteBudget { return byteBudget{available: budgetBytesPerSecond} }

// refill adds the budget of the elapsed time.
func (b *byteBudget) refill(elapsed time.Duration) {
	added := budgetBytesPerSecond * elapsed.Seconds()
	b.available = min(budgetBytesPerSecond, b.available+added)
}

// spend removes n bytes and returns true, or returns false if fewer are available.
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
	budget  byteBudget // of sendWithinBudget
	log     *slog.Logger
}

// send sends one message if its receiver is alive. The message may be lost. The types of payload
// are those of message.Message.
func (t *transport) send(receiver string, payload any) {
	member := t.members.member(receiver)
	if member == nil {
		return
	}
	data, err := message.Encode(message.Message{From: t.self, Payload: payload})
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

// sendWithinBudget sends one message, or returns false if the byte budget is spent.
func (t *transport) sendWithinBudget(receiver string, payload any) bool {
	if !t.budget.spend(message.MaxBytes) {
		return false
	}
	t.send(receiver, payload)
	return true
}

// mappedTransport is memberlist's transport with replaced addresses for some instances.
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

// mapped returns the address at which this instance reaches another one.
func (t *mappedTransport) mapped(address memberlist.Address) memberlist.Address {
	if replacement, ok := t.addresses[address.Name]; ok {
		address.Addr = replacement
	}
	return address
}

// debugWriter logs memberlist's lines at debug level. The node logs important events itself, and an
// instance that is down would fill the log with memberlist's lines.
type debugWriter struct{ log *slog.Logger }

// Write logs one line.
func (w debugWriter) Write(line []byte) (int, error) {
	w.log.Debug("memberlist", "line", strings.TrimSpace(string(line)))
	return len(line), nil
}
