package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// dialTimeout bounds how long a connection to an endpoint may take to open.
const dialTimeout = time.Second

// Response code details as Envoy reports them.
const (
	detailsForwarded     = "via_upstream"
	detailsTimeout       = "response_timeout"
	detailsReset         = "upstream_reset_before_response_started{connection_termination}"
	detailsConnectFailed = "upstream_reset_before_response_started" +
		"{remote_connection_failure|delayed_connect_error:_Connection_refused}"
)

// endpoint is a connection to an endpoint.
type endpoint struct {
	net.Conn
	reader *bufio.Reader
}

// upstreamResponse is an endpoint's response, or the local reply that Envoy sends in its place.
type upstreamResponse struct {
	code    int
	header  http.Header
	details string
	close   bool // the endpoint closes the connection
}

// forward sends a request once to the endpoint of a decision. If the endpoint does not respond, it returns the local
// reply that Envoy sends.
func (p *Proxy) forward(decision Decision, request Request, timeout time.Duration) upstreamResponse {
	conn, err := p.connect(decision.Endpoint)
	if err != nil {
		return upstreamResponse{code: http.StatusServiceUnavailable, details: detailsConnectFailed}
	}
	_ = conn.SetDeadline(time.Now().Add(timeout)) // fails only if the connection is closed; the write then fails too
	response, err := conn.exchange(decision, request)
	if err == nil {
		p.release(decision.Endpoint, conn, response.close)
		return *response
	}
	conn.Close()
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return upstreamResponse{code: http.StatusGatewayTimeout, details: detailsTimeout}
	}
	return upstreamResponse{code: http.StatusServiceUnavailable, details: detailsReset}
}

// exchange writes a request and reads its complete response. It sends the remaining time that the decision states, not
// that of the request.
func (e *endpoint) exchange(decision Decision, request Request) (*upstreamResponse, error) {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\n", request.Method, request.Path)
	fmt.Fprintf(&text, "Host: api.internal\r\n")
	fmt.Fprintf(&text, "Content-Length: %d\r\n", len(request.Body))
	for name, value := range request.Header {
		if name != headerTimeLeft {
			fmt.Fprintf(&text, "%s: %s\r\n", name, value)
		}
	}
	fmt.Fprintf(&text, "%s: %s\r\n", headerTimeLeft, decision.Headers[headerTimeLeft])
	fmt.Fprintf(&text, "\r\n%s", request.Body)
	if _, err := e.Write(text.Bytes()); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(e.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, err
	}
	return &upstreamResponse{
		code:    response.StatusCode,
		header:  response.Header,
		details: detailsForwarded,
		close:   response.Close,
	}, nil
}

// connect returns an idle connection to an endpoint or a new one.
func (p *Proxy) connect(address string) (*endpoint, error) {
	if idle := p.takeIdle(address); idle != nil {
		return idle, nil
	}
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &endpoint{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// takeIdle returns the connection that became idle last, nil if there is none.
func (p *Proxy) takeIdle(address string) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	p.idle[address] = idle[:last]
	return idle[last]
}

// release makes a connection idle, or closes it if the endpoint closes it or the proxy is closed.
func (p *Proxy) release(address string, conn *endpoint, closing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if closing || p.closed {
		conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}
