package testfleet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// Client is an HTTP/1.1 client connection. A test writes requests to it as raw bytes, and all responses are read in the
// background.
type Client struct {
	net.Conn

	responded chan struct{} // closed with the first response
	closed    chan struct{} // closed once reading has ended

	mu    sync.Mutex
	codes []int
	err   error
}

// Dial opens a connection. All reads and writes fail once timeout has passed.
func Dial(address string, timeout time.Duration) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		conn.Close()
		return nil, err
	}
	c := &Client{
		Conn:      conn,
		responded: make(chan struct{}),
		closed:    make(chan struct{}),
	}
	go c.readResponses()
	return c, nil
}

// MustDial is like [Dial] but ends the test on an error. The connection is closed when the test ends.
func MustDial(t testing.TB, address string, timeout time.Duration) *Client {
	t.Helper()
	c, err := Dial(address, timeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		<-c.closed
	})
	return c
}

// MustWrite writes bytes to the connection.
func (c *Client) MustWrite(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// Responded returns a channel that is closed once the first complete response is read.
func (c *Client) Responded() <-chan struct{} { return c.responded }

// Closed returns a channel that is closed once the connection has ended.
func (c *Client) Closed() <-chan struct{} { return c.closed }

// StatusCodes returns the status codes of the complete responses read so far.
func (c *Client) StatusCodes() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.codes)
}

// Err returns the error that ended reading, nil if the connection ended between two responses.
func (c *Client) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// readResponses reads until the connection ends.
func (c *Client) readResponses() {
	defer close(c.closed)
	in := bufio.NewReader(c.Conn)
	for {
		code, err := readResponse(in)
		if errors.Is(err, errNoResponse) {
			return
		}
		c.mu.Lock()
		if err != nil {
			c.err = err
			c.mu.Unlock()
			return
		}
		c.codes = append(c.codes, code)
		isFirst := len(c.codes) == 1
		c.mu.Unlock()
		if isFirst {
			close(c.responded)
		}
	}
}

// errNoResponse means that the connection ended between two responses.
var errNoResponse = errors.New("no more responses")

// readResponse reads one complete response and returns its status code.
func readResponse(in *bufio.Reader) (int, error) {
	if _, err := in.Peek(1); err != nil {
		if err == io.EOF {
			return 0, errNoResponse
		}
		return 0, err
	}
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}
