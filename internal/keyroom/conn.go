package keyroom

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/keyroom/judge"
)

// Life is for how long a connection may carry new requests. It is safe for concurrent use.
type Life struct {
	room *Room
	conn judge.Conn

	mu      sync.Mutex
	checked int // material that end was found under
	end     judge.End
}

// numbers are of connections, over all rooms.
var numbers atomic.Uint64

// Life returns that of a connection whose handshake is done, with a peer that was verified
// for a use under material of this number or an older one.
func (r *Room) Life(state tls.ConnectionState, use x509.ExtKeyUsage, material int) *Life {
	return &Life{room: r, checked: material, conn: judge.Conn{Number: numbers.Add(1), Material: material, Own: r.Own(), Peer: state.PeerCertificates, Use: use}}
}

// At says how a connection stands at an instant: trusted is false where its peer would not be
// let in any more, and why says for what; it should end, once what it carries has ended,
// where keep is false. The chain is verified again only when the material has changed or a
// certificate is over: nothing else can change what was found.
func (l *Life) At(now time.Time) (keep, trusted bool, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number := l.room.Number(); !l.end.Lost && (number != l.checked || l.runOut(now)) {
		// A second change does not put off what the first has set.
		if end := l.room.LiveOn(l.conn); !end.Until.IsZero() && (l.end.Until.IsZero() || end.Lost || end.Until.Before(l.end.Until)) {
			l.end = end
		}
		l.checked = number
	}
	if l.end.Lost {
		return false, false, l.end.Why
	}
	return l.end.Until.IsZero() || now.Before(l.end.Until), true, l.end.Why
}

// runOut says that a certificate of the connection is over.
func (l *Life) runOut(now time.Time) bool {
	for _, c := range l.conn.Peer {
		if now.After(c.NotAfter) {
			return true
		}
	}
	return l.conn.Own != nil && now.After(l.conn.Own.NotAfter)
}

// Conn is a TLS connection of a room's.
type Conn struct {
	*tls.Conn
	below    *socket
	room     *Room
	use      x509.ExtKeyUsage // of the peer
	material int
	once     sync.Once
	life     *Life
}

// Dial makes a client's connection over raw. Its handshake is the caller's to do. material is
// the room's number from before the configuration was made.
func (r *Room) Dial(raw net.Conn, config *tls.Config, material int) *Conn {
	below := &socket{Conn: raw}
	return &Conn{Conn: tls.Client(below, config), below: below, room: r, use: x509.ExtKeyUsageServerAuth, material: material}
}

// Listen has connections of a listener begin with a handshake, which is done by the first who
// reads or writes, within the deadlines that it sets.
func (r *Room) Listen(l net.Listener, protocols ...string) net.Listener {
	return &listener{l, r, r.Server(protocols...)}
}

type listener struct {
	net.Listener
	room   *Room
	config *tls.Config
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	below := &socket{Conn: raw}
	return &Conn{Conn: tls.Server(below, l.config), below: below, room: l.room, use: x509.ExtKeyUsageClientAuth, material: l.room.Number()}, nil
}

// Life is the connection's. Its handshake must be done.
func (c *Conn) Life() *Life {
	c.once.Do(func() { c.life = c.room.Life(c.ConnectionState(), c.use, c.material) })
	return c.life
}

// Stands is Life.At of the connection, whose handshake must be done.
func (c *Conn) Stands(now time.Time) (keep, trusted bool, why string) { return c.Life().At(now) }

// Quiet says that nothing has come that was not read: an alert, an answer that nobody asked
// for. It sees what the encryption holds; what still lies in the socket is the caller's to
// look at. It must not be called beside Read.
func (c *Conn) Quiet() bool {
	_ = c.SetReadDeadline(time.Unix(1, 0))                // the socket itself is not read
	defer func() { _ = c.SetReadDeadline(time.Time{}) }() // on a closed socket Read fails, too
	var b [1]byte
	n, err := c.Read(b[:])
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
}

// Close tells the peer that nothing more comes, if there is room to say so.
func (c *Conn) Close() error {
	c.below.closing.Store(true)
	return c.Conn.Close()
}

// socket is what a TLS connection writes to.
type socket struct {
	net.Conn
	closing atomic.Bool
}

// closeFor is how long the close of a connection may wait for room for its last record: its
// caller may hold a lock. crypto/tls would wait for 5 s where a peer reads nothing.
const closeFor = time.Millisecond

// SetWriteDeadline keeps crypto/tls from writing for long at the close.
func (s *socket) SetWriteDeadline(at time.Time) error {
	if s.closing.Load() {
		at = time.Now().Add(closeFor)
	}
	return s.Conn.SetWriteDeadline(at)
}
