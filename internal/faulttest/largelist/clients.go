package largelist

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"pinedale/internal/ctxtime"
)

const (
	longestDeadline = 1250 * time.Millisecond
	dedupWindow     = 3 * time.Second
	cancelRatio     = 0.1             // ratio of requests that clients cancel early
	maxIdleTime     = time.Second     // of a connection; sidecars close connections that are idle for 2 s
	dialTimeout     = 5 * time.Second // long, since the sidecar may be stopped

	// busiestToMeanRate is about the ratio of the highest request rate of a sidecar to the mean. The rate grows linearly
	// with the index of the sidecar, from almost 0.
	busiestToMeanRate = 2.0
)

// class is a class of requests.
type class struct {
	name     string
	method   string
	hasKey   bool
	deadline time.Duration
}

var classes = []class{
	{name: "read", method: http.MethodGet, deadline: 812 * time.Millisecond},
	{name: "pay", method: http.MethodPost, hasKey: true, deadline: 677 * time.Millisecond},
	{name: "close", method: http.MethodPost, hasKey: true, deadline: longestDeadline},
}

// generateLoad sends requests to all sidecars for Options.Duration, and waits until the last request has ended.
func (r *testRun) generateLoad(ctx context.Context) {
	var load sync.WaitGroup
	defer load.Wait()
	n := len(r.sidecars)
	for i, s := range r.sidecars {
		rate := r.options.Rate * busiestToMeanRate * (float64(i) + 0.5) / float64(n)
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+i)))
		load.Go(func() { r.sendTo(ctx, s, rate, random) })
	}
}

// sendTo sends requests to one sidecar at random intervals.
func (r *testRun) sendTo(ctx context.Context, s *sidecar, rate float64, random *rand.Rand) {
	var clients sync.WaitGroup
	defer clients.Wait()
	pool := &connPool{address: s.address}
	defer pool.close()
	end := time.Now().Add(r.options.Duration)
	for n := 0; ; n++ {
		pause := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if !ctxtime.Sleep(ctx, pause) || time.Now().After(end) {
			return
		}
		request := &request{
			id:    fmt.Sprintf("%x-%s-%d", r.options.Seed, strings.TrimPrefix(s.address, "127.0.0.1:"), n),
			class: classes[random.IntN(len(classes))],
		}
		if random.Float64() < cancelRatio {
			request.cancelAfter = time.Duration(random.Float64() * float64(request.class.deadline) / 2)
		}
		r.recorder.add(request)
		clients.Go(func() { r.recorder.recordResult(request, request.send(pool)) })
	}
}

// connPool holds a client's idle connections to one sidecar.
type connPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

// clientConn is a connection from a client to a sidecar.
type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time // the zero time before its first use
}

// take returns an idle connection, or a new one if none is idle for less than maxIdleTime.
func (p *connPool) take() (*clientConn, error) {
	p.mu.Lock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(c.idleSince) < maxIdleTime {
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	p.mu.Unlock()
	return p.dial()
}

func (p *connPool) dial() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (p *connPool) put(c *clientConn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
}

// send sends the request and returns its result. If the sidecar closes a reused connection at the moment at which the
// request is sent on it, the request is sent again on a new connection.
func (q *request) send(pool *connPool) result {
	c, err := pool.take()
	if err != nil {
		return result{outcome: notAccepted, at: time.Now()}
	}
	reused := !c.idleSince.IsZero()
	ended, noResponse := q.exchange(c)
	if noResponse && reused {
		c.Close()
		if c, err = pool.dial(); err != nil {
			return result{outcome: notAccepted, at: time.Now()}
		}
		ended, _ = q.exchange(c)
	}
	if ended.outcome == answered && ended.keepAlive {
		pool.put(c)
		return ended
	}
	c.Close()
	return ended
}

// exchange sends the request on a connection and reads the response. noResponse reports whether the connection ended
// before the first byte of a response.
func (q *request) exchange(c *clientConn) (ended result, noResponse bool) {
	if _, err := io.WriteString(c, q.text()); err != nil {
		return result{outcome: broken, at: time.Now()}, true
	}
	q.sentAt = time.Now()
	limit := q.class.deadline + responseSlack
	timeoutOutcome := unanswered
	if q.cancelAfter > 0 {
		limit, timeoutOutcome = q.cancelAfter, cancelled
	}
	_ = c.SetReadDeadline(q.sentAt.Add(limit)) // if this fails, so does reading
	_, err := c.reader.Peek(1)
	noResponse = err != nil
	if err == nil {
		var response *http.Response
		if response, err = http.ReadResponse(c.reader, nil); err == nil {
			ended, err = readResult(response)
		}
	}
	ended.at = time.Now()
	switch {
	case err == nil:
		ended.outcome = answered
	case ended.at.Sub(q.sentAt) >= limit:
		return result{outcome: timeoutOutcome, at: ended.at}, false
	default:
		return result{outcome: broken, at: ended.at}, noResponse
	}
	return ended, false
}

// readResult reads the body of a response.
func readResult(response *http.Response) (result, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{code: response.StatusCode, body: string(body), keepAlive: !response.Close}, err
}

// text returns the request in HTTP/1.1 form.
func (q *request) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s/x HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Time-Left-Ms: %d\r\n", q.class.method, q.class.name, q.id, q.class.name, q.class.deadline.Milliseconds())
	if q.class.hasKey {
		fmt.Fprintf(&text, "Idempotency-Key: k-%s\r\n", q.id)
	}
	if q.class.method == http.MethodPost {
		text.WriteString("Content-Length: 4\r\n\r\nbody")
	} else {
		text.WriteString("\r\n")
	}
	return text.String()
}
