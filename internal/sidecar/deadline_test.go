package sidecar

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
)

// TestDeadlineCountsFromTheLastByte sends the end of a body later than the request's time left: the client
// counts from the last byte, so all of that time is still there.
func TestDeadlineCountsFromTheLastByte(t *testing.T) {
	const requestTimeout, slowWrite, tail = 400 * time.Millisecond, 500 * time.Millisecond, 5
	endpoint := scriptedconn.New(t, scriptedconn.Always(scriptedconn.Served))
	h := start(t, nil, fakediscovery.Ready("s-1", endpoint.Address))
	conn := h.dial()
	var wire bytes.Buffer
	if err := h.newRequest("order", "0123456789", requestTimeout).Write(&wire); err != nil {
		t.Fatal(err)
	}
	text := wire.String()
	if _, err := io.WriteString(conn, text[:len(text)-tail]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(slowWrite)
	if _, err := io.WriteString(conn, text[len(text)-tail:]); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
	attempts := endpoint.RequestCount()
	if response.StatusCode != http.StatusOK || attempts != 1 {
		t.Errorf("answer %d after %d attempts, want 200 after 1", response.StatusCode, attempts)
	}
}
