package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"peatpost/balancer"
)

const (
	bodyMost     = 64 << 10               // bytes of a request's or an answer's body
	headMost     = 32 << 10               // bytes of a request's head
	answerMost   = 8 << 10                // bytes of an answer's head: each connection has a buffer of this size
	answerRest   = 100 * time.Millisecond // from an answer's first byte to its last: four round trips between sites
	interimMost  = 10                     // interim answers ahead of one that counts
	figureMost   = 1e6                    // a larger figure in a load report is an error
	probeTimeout = 400 * time.Millisecond
)

// upstream sends requests to endpoints. It does not use http.Transport, which
// by itself repeats what it finds safe to repeat on a dead idle connection:
// each such repetition would be an attempt that the balancer never decided.
type upstream struct {
	dialer   net.Dialer
	idleMost time.Duration // idle connections are not used for longer
	fields   []string      // of load reports

	mu   sync.Mutex
	open int // connections, those being dialled included
	most int
	idle map[*target][]*conn // by endpoint, the latest used last
}

// target is one life of an endpoint at one address. It is closed for good once
// the endpoint is told draining or gone, or has restarted.
type target struct {
	address string
	born    int64
	closed  bool // under upstream.mu
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	target *target
	reader *bufio.Reader
	limit  io.LimitedReader // of an answer
	idleAt time.Time
	used   bool // it has carried a request before
}

// message is a request as it goes to endpoints, any number of times.
type message struct {
	method string
	url    *url.URL
	host   string
	header http.Header // X-Time-Left-Ms is written for each attempt
	body   []byte
}

// result is what came of an attempt or a probe.
type result struct {
	status balancer.Status
	header http.Header // of a whole answer 200, as is body
	body   []byte
	load   []float32
	took   time.Duration // from the write to the end, without the time to connect
}

// Reasons for which the sidecar itself sends nothing.
var (
	errClosed = errors.New("the endpoint is draining or gone")
	errFull   = errors.New("no connection is left")
	errStale  = errors.New("the idle connection is of no more use")
)

// unsentError says that the last byte of a request was never written.
type unsentError struct{ error }

func newUpstream(cfg *Config, connections int) *upstream {
	return &upstream{
		dialer: net.Dialer{Timeout: time.Duration(cfg.Settings.Limits.DialTimeout) * time.Microsecond},
		// An endpoint closes an idle connection when its time is over at the
		// latest, and what is written to it from then on is lost.
		idleMost: cfg.idle * 3 / 4,
		fields:   cfg.fields, most: connections, idle: map[*target][]*conn{},
	}
}

// attempt sends a request once and tells what came of it. Its outcome claims
// that the request never ran only where the last byte was not written, or the
// endpoint says so; in doubt it may have run.
func (u *upstream) attempt(ctx context.Context, t *target, m *message) result {
	var response *http.Response
	var body []byte
	var start time.Time
	err := error(errStale)
	for err == errStale { // nothing has been sent on that connection
		c, unable := u.connect(ctx, t)
		if unable != nil {
			return result{status: unsent(ctx, unable)}
		}
		start = time.Now()
		response, body, err = u.exchange(ctx, c, m)
	}
	r := result{status: balancer.Error, took: time.Since(start)}
	var never *unsentError
	switch {
	case errors.As(err, &never):
		r.status = unsent(ctx, never.error)
	case err != nil && over(ctx):
		r.status = balancer.Timeout
	case err != nil && ctx.Err() != nil:
		r.status = balancer.Cancelled
	case err != nil:
		r.status = balancer.Reset // a broken, cut or malformed answer: the connection is of no more use
	default:
		r.load = u.loadReport(response.Header.Get("X-Backend-Load"))
		switch code := response.StatusCode; {
		case code == http.StatusOK:
			r.status, r.header, r.body = balancer.OK, response.Header, body
		case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
			response.Header.Get("X-Unprocessed") == "1":
			r.status = balancer.Full
		}
	}
	return r
}

// over says that an attempt's time is up, by the clock: the balancer's own timer
// for that instant may have called the attempt off already, but to be told of a
// cancellation in place of a time-out would hide the endpoint's silence from it.
func over(ctx context.Context) bool {
	until, ok := ctx.Deadline()
	return ok && !time.Now().Before(until)
}

// unsent is the outcome of a request that was not written: the endpoint's
// fault, unless the sidecar no longer wanted to send it.
func unsent(ctx context.Context, err error) balancer.Status {
	if ctx.Err() != nil || errors.Is(err, errClosed) || errors.Is(err, errFull) {
		return balancer.Moot
	}
	return balancer.ConnectFailed
}

// probe asks an endpoint for its load report, or for its health where the
// deployment has no reports.
func (u *upstream) probe(ctx context.Context, t *target) result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m := &message{method: http.MethodGet, url: &url.URL{Path: "/health/live"}, host: t.address}
	if len(u.fields) > 0 {
		m.url.Path = "/stats"
	}
	r := u.attempt(ctx, t, m)
	if r.status == balancer.OK {
		r.load = u.loadReport(string(r.body))
	}
	return r
}

// loadReport reads name=value pairs into the order of the settings. A figure
// that is missing, repeated, malformed or beyond all sense is not a number,
// which the balancer skips: it keeps what it knew.
func (u *upstream) loadReport(text string) []float32 {
	if text == "" || len(u.fields) == 0 {
		return nil
	}
	load, seen := make([]float32, len(u.fields)), make([]bool, len(u.fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(u.fields, name)
		if i < 0 {
			continue
		}
		v, err := strconv.ParseFloat(value, 32)
		if seen[i] || err != nil || !(v >= 0 && v <= figureMost) {
			v = math.NaN()
		}
		load[i], seen[i] = float32(v), true
	}
	return load
}

// connect returns the connection to t that was used last, or opens one.
func (u *upstream) connect(ctx context.Context, t *target) (*conn, error) {
	c, err := u.reserve(t)
	if c != nil || err != nil {
		return c, err
	}
	raw, err := u.dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	c = &conn{Conn: raw, target: t}
	c.limit.R = raw
	c.reader = bufio.NewReaderSize(&c.limit, answerMost)
	return c, nil
}

// reserve returns an idle connection, or none with the right to open one.
func (u *upstream) reserve(t *target) (*conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	for list := u.idle[t]; len(list) > 0; list = u.idle[t] {
		c := list[len(list)-1]
		u.idle[t] = list[:len(list)-1]
		if time.Since(c.idleAt) < u.idleMost && c.alive() {
			return c, nil
		}
		u.drop(c)
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
		return nil, errFull
	}
	u.open++
	return nil, nil
}

// drop closes a connection. It holds u.mu.
func (u *upstream) drop(c *conn) {
	c.Close()
	u.open--
}

// release keeps a connection for the next request, or closes it.
func (u *upstream) release(c *conn, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !keep || c.target.closed {
		u.drop(c)
		return
	}
	c.idleAt, c.used = time.Now(), true
	u.idle[c.target] = append(u.idle[c.target], c)
}

// retire closes a target for good, and its idle connections. What is out there
// goes on.
func (u *upstream) retire(t *target) {
	u.mu.Lock()
	defer u.mu.Unlock()
	t.closed = true
	for _, c := range u.idle[t] {
		u.drop(c)
	}
	delete(u.idle, t)
}

// prune closes connections that have been idle for too long.
func (u *upstream) prune() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for t, list := range u.idle {
		old := 0 // the longest idle come first
		for old < len(list) && time.Since(list[old].idleAt) >= u.idleMost {
			u.drop(list[old])
			old++
		}
		u.idle[t] = slices.Delete(list, 0, old)
	}
}

// alive says whether an idle connection is open and silent. An endpoint may
// close it at any time, and a request written after that is lost as a reset
// that may have run.
func (c *conn) alive() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
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
	return err == nil && silent
}

// exchange writes one request on a connection and reads the whole answer. It
// gives the connection back.
func (u *upstream) exchange(ctx context.Context, c *conn, m *message) (response *http.Response, body []byte, err error) {
	keep := false
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // wakes a read or write
	defer func() { u.release(c, stop() && keep) }()

	data, err := m.encode(ctx)
	if err != nil {
		return nil, nil, &unsentError{err}
	}
	// The endpoint may have been told draining while the connection was
	// dialled: nothing new may go there.
	u.mu.Lock()
	closed := c.target.closed
	u.mu.Unlock()
	if closed {
		return nil, nil, &unsentError{errClosed}
	}
	// Looked at last thing before the write: what has come by now was not asked
	// for, and must not be taken for the answer.
	if c.used && !c.alive() {
		return nil, nil, errStale
	}
	if n, err := c.Write(data); n < len(data) {
		return nil, nil, &unsentError{err}
	}
	if response, body, err = c.receive(m.method); err != nil {
		return nil, nil, err
	}
	// Anything beyond the answer makes the connection useless: endpoints may send
	// a second copy, or noise.
	keep = !response.Close && response.StatusCode != http.StatusSwitchingProtocols && c.reader.Buffered() == 0
	return response, body, nil
}

// receive reads one answer. A 200 must prove that it is whole: by one stated
// length or complete chunks, not by the connection's end, nor by both, of which
// http.ReadResponse hides one.
func (c *conn) receive(method string) (*http.Response, []byte, error) {
	c.limit.N = answerMost + bodyMost
	defer c.SetReadDeadline(time.Time{})
	for range interimMost {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, nil, err
		}
		// An answer that has begun and stalls would hold its request until the
		// client's time is up.
		c.SetReadDeadline(time.Now().Add(answerRest))
		head, err := c.head()
		if err != nil {
			return nil, nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			c.SetReadDeadline(time.Time{})
			continue
		}
		if response.StatusCode == http.StatusOK && (head.lengths > 1 || (head.lengths == 1) == head.coding) {
			return nil, nil, errors.New("the answer's length is not stated in one way")
		}
		if response.ContentLength > bodyMost {
			return nil, nil, errLarge
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, bodyMost+1))
		if err != nil {
			return nil, nil, err
		}
		if len(body) > bodyMost {
			return nil, nil, errLarge
		}
		return response, body, nil
	}
	return nil, nil, errors.New("interim answers without end")
}

var errLarge = fmt.Errorf("the answer's body is over %d bytes", bodyMost)

// head waits for the whole head of the next answer and looks at its bytes, which
// are left to be read.
func (c *conn) head() (headScan, error) {
	var h headScan
	for h.end == 0 {
		if _, err := c.reader.Peek(int(h.size) + 1); err != nil {
			return h, err
		}
		all, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return h, err
		}
		h.scan(all[h.size:])
	}
	return h, nil
}

// encode writes the request with the time that this attempt has left.
func (m *message) encode(ctx context.Context) ([]byte, error) {
	request := http.Request{Method: m.method, URL: m.url, Host: m.host, Header: http.Header{},
		ContentLength: int64(len(m.body))}
	endToEnd(request.Header, m.header)
	if until, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(until).Milliseconds())
		request.Header.Set("X-Time-Left-Ms", strconv.FormatInt(left, 10))
	}
	if len(m.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	var data bytes.Buffer
	if err := request.Write(&data); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}

// hopByHop headers concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// endToEnd copies the headers that are to be passed on.
func endToEnd(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
}
