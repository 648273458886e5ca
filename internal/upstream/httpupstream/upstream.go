// Package httpupstream sends requests to endpoints over HTTP/1.1.
package httpupstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
	"pinedale/internal/upstream/attempt"
	"pinedale/internal/upstream/idle"
)

const (
	answerMost  = 8 << 10                // bytes of an answer's head: each connection has a buffer of this size
	answerRest  = 100 * time.Millisecond // from an answer's first byte to its last: four round trips between sites
	interimMost = 10                     // interim answers ahead of one that counts

	// settle is how long a connection rests after an answer. Endpoints may send a second one
	// some milliseconds later, and a request written meanwhile would take it for its own: it is
	// then under way to an endpoint that knows of nothing waiting there.
	settle = 10 * time.Millisecond
)

// Upstream sends requests to endpoints. It does not use http.Transport, which
// by itself repeats what it finds safe to repeat on a dead idle connection:
// each such repetition would be an attempt that the balancer never decided.
type Upstream struct {
	dialer   net.Dialer
	settle   time.Duration
	secure   attempt.Securer // nil for plain text
	idleMost time.Duration   // idle connections are not used for longer,
	fields   []string        // of load reports

	mu    sync.Mutex
	trust idle.Estimator // and for less, as far as they have broken
	open  int        // connections, those being dialled included
	most  int
	idle  map[*engine.Target][]*conn // by endpoint, the latest used last
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	socket  net.Conn        // below Conn, or the same
	session attempt.Session // nil for plain text
	target  *engine.Target
	reader  *bufio.Reader
	limit   io.LimitedReader // of an answer
	idleAt  time.Time
	used    bool // it has carried a request before

	mu      sync.Mutex
	stopped bool // its exchange was given up: no deadline is moved again
}

// past is a deadline that wakes whoever reads or writes.
var past = time.Unix(1, 0)

// stop wakes whoever reads or writes, for good.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.SetDeadline(past) // fails where the connection has ended already
}

// readBy sets the deadline for reading, unless the exchange was given up: a deadline set
// after that would have the read go on for nobody.
func (c *conn) readBy(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		_ = c.SetReadDeadline(at) // likewise: reading fails, too
	}
}

var errStale = errors.New("the idle connection is of no more use")

// unsentError says that the last byte of a request was never written.
type unsentError struct{ error }

// Options say how many connections may be held, and for how long.
type Options struct {
	DialTimeout time.Duration
	Idle        time.Duration   // after which an endpoint may close a connection
	Connections int             // at most, those being dialled included
	Fields      []string        // of load reports, in the order of the settings
	Dialer      net.Dialer      // its Timeout is DialTimeout
	Settle      time.Duration   // a connection rests after an answer; 0 for what the platform's endpoints need
	Secure      attempt.Securer // nil for plain text
}

// New returns an upstream with no connection open.
func New(o Options) *Upstream {
	o.Dialer.Timeout = o.DialTimeout
	if o.Settle == 0 {
		o.Settle = settle
	}
	return &Upstream{
		dialer: o.Dialer, settle: o.Settle, secure: o.Secure,
		// An endpoint closes an idle connection when its time is over at the
		// latest, and what is written to it from then on is lost.
		idleMost: o.Idle * 3 / 4,
		fields:   o.Fields, most: o.Connections, idle: map[*engine.Target][]*conn{},
	}
}

// NewCarrier returns a carrier for one request.
func (u *Upstream) NewCarrier(m *engine.Message) engine.Carrier {
	return attempt.NewCarrier(u.attempt, m)
}

// attempt sends a request once and tells what came of it. Its outcome claims
// that the request never ran only where the last byte was not written, or the
// endpoint says so; in doubt it may have run.
func (u *Upstream) attempt(ctx context.Context, t *engine.Target, m *engine.Message) engine.Result {
	var response *attempt.Response
	var start time.Time
	var err error
	for {
		c, unable := u.connect(ctx, t)
		if unable != nil {
			return engine.Result{Status: attempt.UnsentStatus(ctx, unable)}
		}
		start = time.Now()
		response, err = u.exchange(ctx, c, m)
		if !errors.Is(err, errStale) {
			break
		}
		// Nothing has been sent on that connection: another one is taken.
	}
	took := time.Since(start)
	var never *unsentError
	if errors.As(err, &never) {
		return engine.Result{Status: attempt.UnsentStatus(ctx, never.error), Duration: took}
	} else if err != nil {
		return engine.Result{Status: attempt.InterruptedStatus(ctx), Duration: took}
	}
	return attempt.ResponseResult(u.fields, response, took)
}

// Probe asks an endpoint in a goroutine of its own.
func (u *Upstream) Probe(ctx context.Context, t *engine.Target, told func(engine.Result)) {
	go func() { told(attempt.Probe(ctx, u.attempt, t, u.fields)) }()
}

// connect returns the connection to t that was used last and has settled, waits for one to
// settle, or opens one.
func (u *Upstream) connect(ctx context.Context, t *engine.Target) (*conn, error) {
	c, err := u.reserve(t)
	if err != nil {
		return nil, err
	}
	if c != nil {
		if rest := u.settle - time.Since(c.idleAt); rest > 0 {
			timer := time.NewTimer(rest)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-attempt.SendContext(ctx).Done(): // seen by the last look
			}
		}
		return c, nil
	}
	if c, err = u.dial(attempt.SendContext(ctx), t); err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// dial opens a connection, a secure one where the upstream has a Securer.
func (u *Upstream) dial(ctx context.Context, t *engine.Target) (*conn, error) {
	if u.secure != nil {
		if err := u.secure.Turn(ctx, t); err != nil {
			return nil, err
		}
	}
	raw, err := u.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, socket: raw, target: t}
	if u.secure != nil {
		if c.session, err = u.secure.Secure(ctx, t, raw); err != nil {
			return nil, err
		}
		c.Conn = c.session
	}
	c.limit.R = c.Conn
	c.reader = bufio.NewReaderSize(&c.limit, answerMost)
	return c, nil
}

// reserve returns an idle connection, or none with the right to open one.
func (u *Upstream) reserve(t *engine.Target) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.Closed() {
		return nil, attempt.ErrClosed
	}
	now := time.Now()
	most := u.trust.Limit(now, u.idleMost)
	take := func(at int) *conn {
		c := u.idle[t][at]
		if u.idle[t] = slices.Delete(u.idle[t], at, at+1); now.Sub(c.idleAt) < most && c.usable(now) && c.alive() {
			return c
		}
		u.drop(c)
		return nil
	}
	for at := len(u.idle[t]) - 1; at >= 0; at-- {
		if now.Sub(u.idle[t][at].idleAt) >= u.settle {
			if c := take(at); c != nil {
				return c, nil
			}
		}
	}
	for len(u.idle[t]) > 0 { // the one that will have settled first: sooner, mostly, than a new one is open
		if c := take(0); c != nil {
			return c, nil
		}
	}
	if u.open >= u.most {
		for other, list := range u.idle {
			if len(list) > 0 {
				u.idle[other] = list[1:]
				u.drop(list[0])
				break
			}
		}
	}
	if u.open >= u.most {
		return nil, attempt.ErrFull
	}
	u.open++
	return nil, nil
}

// drop closes a connection. It holds u.mu.
func (u *Upstream) drop(c *conn) {
	c.Close()
	u.open--
}

// release keeps a connection for the next request, or closes it. One that nothing was written
// to has been idle all the while.
func (u *Upstream) release(c *conn, keep, written bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !keep || c.target.Closed() {
		u.drop(c)
		return
	}
	if c.used = true; written || c.idleAt.IsZero() {
		c.idleAt = time.Now()
	}
	u.idle[c.target] = append(u.idle[c.target], c)
}

// Retire closes a target's idle connections. What is out there goes on.
func (u *Upstream) Retire(t *engine.Target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[t] {
		u.drop(c)
	}
	delete(u.idle, t)
	if u.secure != nil {
		u.secure.Retire(t)
	}
}

// Prune closes connections that have been idle for too long.
func (u *Upstream) Prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	most := u.trust.Limit(now, u.idleMost)
	for t, list := range u.idle {
		old := 0 // the longest idle come first
		for old < len(list) && now.Sub(list[old].idleAt) >= most {
			u.drop(list[old])
			old++
		}
		u.idle[t] = slices.Delete(list, 0, old)
	}
}

// usable says whether keys and trust still allow new requests on the connection. After a change
// of keys it verifies a chain, which Prune has no time for: it runs on the engine's goroutine.
func (c *conn) usable(now time.Time) bool { return c.session == nil || c.session.Usable(now) }

// reset has the connection end with a reset, in place of an orderly close that is delivered
// after all that was written.
func (c *conn) reset() {
	if tcp, ok := c.socket.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails where the connection has ended already
	}
}

// alive says whether an idle connection is open and silent. An endpoint may
// close it at any time, and a request written after that is lost as a reset
// that may have run.
func (c *conn) alive() bool {
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent && (c.session == nil || c.session.Quiet())
}

// exchange writes one request on a connection and reads the whole answer. It
// gives the connection back.
func (u *Upstream) exchange(ctx context.Context, c *conn, m *engine.Message) (response *attempt.Response, err error) {
	keep, written := false, false // written in part at least
	stop := context.AfterFunc(ctx, c.stop)
	defer func() {
		keep = stop() && keep
		if written && err != nil {
			// What this machine has not delivered of it by now must not be, minutes later perhaps.
			c.reset()
		}
		u.release(c, keep, written)
	}()

	data, err := encode(ctx, m)
	if err != nil {
		return nil, &unsentError{err}
	}
	// The endpoint may have been told draining while the connection was
	// dialled: nothing new may go there.
	if c.target.Closed() {
		return nil, &unsentError{attempt.ErrClosed}
	}
	// Ahead of the look at the connection, which would seem dead to an attempt that is over, as
	// would all others that stand idle.
	if err := attempt.CheckBeforeWrite(ctx); err != nil {
		keep = true // for the next: nothing is wrong with it
		return nil, &unsentError{err}
	}
	// Looked at last thing before the write: what has come by now was not asked
	// for, and must not be taken for the answer.
	if c.used && !c.alive() {
		return nil, errStale
	}
	written = true
	wrote := time.Now()
	whole := context.AfterFunc(attempt.SendContext(ctx), func() { _ = c.SetWriteDeadline(past) })
	n, err := c.Write(data)
	lasting := whole() // else no more can be written on this connection
	if n < len(data) {
		u.saw(ctx, c, wrote, err)
		return nil, &unsentError{err}
	}
	response, reusable, err := c.receive(m.Method)
	u.saw(ctx, c, wrote, err)
	if err != nil {
		return nil, err
	}
	// Anything beyond the answer makes the connection useless: endpoints may send
	// a second copy, or noise.
	keep = lasting && reusable && c.reader.Buffered() == 0
	return response, nil
}

// saw notes how a connection that had been idle until wrote has fared. One that is given up
// or breaks late tells nothing of that.
func (u *Upstream) saw(ctx context.Context, c *conn, wrote time.Time, err error) {
	if !c.used || err != nil && (attempt.SendContext(ctx).Err() != nil || time.Since(wrote) > idle.MaxStaleResetDelay) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trust.Observe(time.Now(), wrote.Sub(c.idleAt), err != nil)
}

// receive reads one answer. A 200 must prove that it is whole: by one stated
// length or complete chunks, not by the connection's end, nor by both, of which
// http.ReadResponse hides one. reusable says that the answer leaves the connection to others.
func (c *conn) receive(method string) (answer *attempt.Response, reusable bool, err error) {
	c.limit.N = answerMost + httpmsg.BodyMost
	defer c.readBy(time.Time{})
	for range interimMost {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, false, err
		}
		// An answer that has begun and stalls would hold its request until the
		// client's time is up.
		c.readBy(time.Now().Add(answerRest))
		head, err := c.head()
		if err != nil {
			return nil, false, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, false, err
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			c.readBy(time.Time{})
			continue
		}
		if response.StatusCode == http.StatusOK && (head.Lengths > 1 || (head.Lengths == 1) == head.Coding) {
			return nil, false, errors.New("the answer's length is not stated in one way")
		}
		if response.ContentLength > httpmsg.BodyMost {
			return nil, false, attempt.ErrBodyTooLarge
		}
		body, err := attempt.ReadBody(response.Body)
		if err != nil {
			return nil, false, err
		}
		response.Body.Close() // read to its end
		reusable = !response.Close && response.StatusCode != http.StatusSwitchingProtocols
		return &attempt.Response{StatusCode: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
	}
	return nil, false, errors.New("interim answers without end")
}

// head waits for the whole head of the next answer and looks at its bytes, which
// are left to be read.
func (c *conn) head() (httpmsg.HeadScan, error) {
	var h httpmsg.HeadScan
	for h.End == 0 {
		if _, err := c.reader.Peek(int(h.Size) + 1); err != nil {
			return h, err
		}
		all, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return h, err
		}
		h.Scan(all[h.Size:])
	}
	return h, nil
}

// encode writes the request with the time that this attempt has left.
func encode(ctx context.Context, m *engine.Message) ([]byte, error) {
	request := http.Request{
		Method:        m.Method,
		URL:           m.URL,
		Host:          m.Host,
		Header:        attempt.RequestHeader(ctx, m),
		ContentLength: int64(len(m.Body)),
	}
	if len(m.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(m.Body))
	}
	var data bytes.Buffer
	if err := request.Write(&data); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}
