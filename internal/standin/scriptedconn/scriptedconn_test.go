package scriptedconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// testTimeout is how long a test waits for a response.
const testTimeout = 20 * time.Second

// testConn is a client's connection to an endpoint.
type testConn struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dial(t *testing.T, e *Endpoint) *testConn {
	t.Helper()
	conn, err := net.Dial("tcp", e.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &testConn{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

// send writes a request.
func (c *testConn) send(path string) {
	c.t.Helper()
	request := "POST " + path + " HTTP/1.1\r\nHost: api\r\nContent-Length: 4\r\n\r\nbody"
	if _, err := io.WriteString(c, request); err != nil {
		c.t.Fatal(err)
	}
}

// receive returns the status code of the next response.
func (c *testConn) receive() int {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.t.Fatal(err)
	}
	return response.StatusCode
}

func TestFirstThenCountsRequestsOfAllConnections(t *testing.T) {
	e := New(t, FirstThen(Failing, Full))
	for i, want := range []int{500, 503, 503} {
		conn := dial(t, e)
		conn.send("/x")
		if code := conn.receive(); code != want {
			t.Errorf("response %d has status code %d, want %d", i, code, want)
		}
	}
	if requests, conns := e.RequestCount(), e.ConnCount(); requests != 3 || conns != 3 {
		t.Errorf("%d requests on %d connections, want 3 on 3", requests, conns)
	}
}

func TestServedAfterHoldsMatchingRequestsUntilRelease(t *testing.T) {
	release := make(chan struct{})
	e := New(t, ServedAfter(release, func(r *http.Request) bool { return r.URL.Path == "/delayed" }))
	delayed, other := dial(t, e), dial(t, e)
	delayed.send("/delayed")
	other.send("/other")
	if code := other.receive(); code != http.StatusOK {
		t.Errorf("the other response has status code %d, want 200", code)
	}
	if n := delayed.reader.Buffered(); n > 0 {
		t.Errorf("%d bytes of the delayed response arrived before its release", n)
	}
	close(release)
	if code := delayed.receive(); code != http.StatusOK {
		t.Errorf("the delayed response has status code %d, want 200", code)
	}
}

func TestRequestsAreRecordedWithTheirBodies(t *testing.T) {
	e := New(t, Always(Served))
	conn := dial(t, e)
	for _, path := range []string{"/a", "/b"} {
		conn.send(path)
		conn.receive()
	}
	if n := e.OpenConnCount(); n != 1 {
		t.Errorf("%d open connections, want 1", n)
	}
	request := e.Request(1)
	body, err := io.ReadAll(request.Body)
	if err != nil || request.URL.Path != "/b" || string(body) != "body" {
		t.Errorf("request for %s with body %q, %v; want /b with body", request.URL.Path, body, err)
	}
}
