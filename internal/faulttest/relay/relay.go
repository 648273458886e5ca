// Package relay is the network between the processes of a rig: each path from one to another
// goes through a relay on loopback that loses, doubles, delays, reorders, corrupts or holds
// back what it is given, as it is told to.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Script says what happens on a path, in one direction. The shares, 0 to 1, are of datagrams;
// streams know Cut and Delay alone.
type Script struct {
	Cut     bool          // nothing passes: datagrams are lost, streams stand still
	Loss    float64       // share that is lost
	Double  float64       // share that comes twice
	Swap    float64       // share that is held until the next one has passed
	Corrupt float64       // share of which a byte is changed
	Delay   time.Duration // of each
}

// Path is one direction between two processes.
type Path struct {
	mu       sync.Mutex
	script   Script
	healed   *sync.Cond
	rng      *rand.Rand
	closed   bool
	passed   int // datagrams and pieces of streams
	dropped  int
	arrivals []time.Time // when pieces of streams were read from their sender
}

// NewPath returns a path on which nothing happens. The seed draws what its shares come to.
func NewPath(seed uint64) *Path {
	w := &Path{rng: rand.New(rand.NewPCG(seed, 1))}
	w.healed = sync.NewCond(&w.mu)
	return w
}

// Set changes what happens from now on.
func (w *Path) Set(s Script) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = s
	w.healed.Broadcast()
}

// Counts says how many datagrams and pieces of streams have passed, and how many were lost.
func (w *Path) Counts() (passed, dropped int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.passed, w.dropped
}

// Arrivals says when pieces of streams came from their sender, whatever then became of them.
func (w *Path) Arrivals() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

func (w *Path) note() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, time.Now())
}

func (w *Path) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.healed.Broadcast()
}

// wait stands still for as long as the path is cut, and then for its delay.
func (w *Path) wait() {
	w.mu.Lock()
	for w.script.Cut && !w.closed {
		w.healed.Wait()
	}
	w.passed++
	delay := w.script.Delay
	w.mu.Unlock()
	time.Sleep(delay)
}

// fate draws what becomes of a datagram.
func (w *Path) fate() (s Script, lose, double, swap bool, corrupt int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, corrupt = w.script, -1
	lose = s.Cut || w.rng.Float64() < s.Loss
	double, swap = w.rng.Float64() < s.Double, w.rng.Float64() < s.Swap
	if w.rng.Float64() < s.Corrupt {
		corrupt = w.rng.IntN(1 << 16)
	}
	if w.passed++; lose {
		w.dropped++
	}
	return
}

// Relay passes what comes to its address on to another, over TCP and UDP.
type Relay struct {
	Address string

	forth, back *Path
	stream      net.Listener
	packets     *net.UDPConn
	done        sync.WaitGroup
	ctx         context.Context // ends with the relay
	end         context.CancelFunc

	mu     sync.Mutex
	closed bool
	target string
	to     *net.UDPAddr // the same
	conns  map[net.Conn]bool
}

// Lead has new connections and datagrams go to another address from now on. What stands goes on.
func (r *Relay) Lead(target string) error {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.to = target, to
	return nil
}

// leads is where new connections and datagrams go.
func (r *Relay) leads() (stream string, datagrams *net.UDPAddr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target, r.to
}

// Start listens on loopback. forth is the path to the target, back the one from there, which
// streams alone have: datagrams go one way, and their answers by another relay.
func Start(target string, forth, back *Path) (*Relay, error) {
	for range 100 {
		stream, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		port := stream.Addr().(*net.TCPAddr).Port
		packets, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			stream.Close() // another has that port for UDP
			continue
		}
		r := &Relay{Address: stream.Addr().String(), forth: forth, back: back, stream: stream, packets: packets, conns: map[net.Conn]bool{}}
		r.ctx, r.end = context.WithCancel(context.Background())
		if err := r.Lead(target); err != nil {
			r.end()
			stream.Close()
			packets.Close()
			return nil, err
		}
		r.done.Go(r.accept)
		r.done.Go(r.datagrams)
		return r, nil
	}
	return nil, net.ErrClosed
}

// Close ends the relay and all that goes through it.
func (r *Relay) Close() {
	r.end()
	r.stream.Close()
	r.packets.Close()
	r.forth.close()
	r.back.close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

// Break resets all connections that stand.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a connection that has ended needs no reset
		}
		c.Close()
	}
}

// keep counts a connection in; false if the relay has ended.
func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *Relay) accept() {
	for {
		c, err := r.stream.Accept()
		if err != nil {
			return
		}
		if r.keep(c) {
			r.done.Go(func() { r.connection(c) })
		}
	}
}

// connection carries one stream in both directions until either side ends it.
func (r *Relay) connection(from net.Conn) {
	defer r.drop(from)
	r.forth.wait()
	target, _ := r.leads()
	// Without a time of its own: a machine that stands still for a moment must not pass for a target that is gone.
	to, err := (&net.Dialer{}).DialContext(r.ctx, "tcp", target)
	if err != nil {
		if t, ok := from.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // refused there, so reset here
		}
		return
	}
	if !r.keep(to) {
		return
	}
	defer r.drop(to)
	ended := make(chan struct{}, 2)
	for _, x := range []struct {
		from, to net.Conn
		path     *Path
	}{{from, to, r.forth}, {to, from, r.back}} {
		r.done.Go(func() {
			// An end is passed on as an end, and anything else breaks the connection.
			err := copyOn(x.to, x.from, x.path)
			if t, ok := x.to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = t.CloseWrite() // both ends are closed below
			}
			ended <- struct{}{}
		})
	}
	<-ended
	// One side may go on after the other has stopped sending, for as long as an answer takes.
	select {
	case <-ended:
	case <-time.After(time.Second):
	}
}

// copyOn returns what ended it: io.EOF is the sender's own end.
func copyOn(to io.Writer, from io.Reader, path *Path) error {
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			path.note()
			path.wait()
			if _, err := to.Write(piece[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

func (r *Relay) datagrams() {
	out, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return
	}
	defer out.Close()
	var delayed []byte
	buffer := make([]byte, 1<<16)
	for {
		n, _, err := r.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		s, lose, double, swap, corrupt := r.forth.fate()
		if lose {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		if corrupt >= 0 && n > 0 {
			data[corrupt%n] ^= 1 << (corrupt % 8)
		}
		if swap && delayed == nil {
			delayed = data
			continue
		}
		batch := [][]byte{data}
		if double {
			batch = append(batch, data)
		}
		if delayed != nil {
			batch, delayed = append(batch, delayed), nil
		}
		send := func() {
			_, to := r.leads()
			for _, d := range batch {
				_, _ = out.WriteTo(d, to) // to nobody, perhaps: then it is lost
			}
		}
		if s.Delay == 0 {
			send()
		} else {
			time.AfterFunc(s.Delay, send)
		}
	}
}
