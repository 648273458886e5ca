//go:build !race

package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"pinedale/internal/standin/testfleet"
)

// floodChunk is about how many bytes a flooding client writes at once.
const floodChunk = 8 << 10

// flood returns a kind of client that writes one text after the other, as fast as it can, and reads all responses.
func flood(name string, text func() string) *hostileClient {
	return &hostileClient{name, func(conn net.Conn, end time.Time) {
		go awaitClose(conn)
		for time.Now().Before(end) {
			var chunk strings.Builder
			for chunk.Len() < floodChunk {
				chunk.WriteString(text())
			}
			if !writeString(conn, chunk.String()) {
				return
			}
		}
	}}
}

// newNameRequest returns a request whose id, session key and idempotency key no other request has.
func newNameRequest() string {
	return payHead() + "X-Session-Key: " + testfleet.NewRequestID() + "\r\nContent-Length: 0\r\n\r\n"
}

// oneAfterTheOther returns a kind of client that sends one request after the other on a connection, as fast as it gets
// answers.
func oneAfterTheOther(name string, text func() string) *hostileClient {
	return &hostileClient{name, func(conn net.Conn, end time.Time) {
		answer := make([]byte, 4<<10)
		for time.Now().Before(end) && writeString(conn, text()) {
			if _, err := conn.Read(answer); err != nil {
				return
			}
		}
	}}
}

// While one connection or a few send small or unsound requests at full speed, the clients beside are served, on one
// processor, and memory stays within its limit.
func TestFloodOnFewConnectionsLeavesOthersServed(t *testing.T) {
	for _, kind := range []*hostileClient{
		flood("empty lines", func() string { return "\r\n" }),
		flood("zero bytes", func() string { return "\x00\x00\x00\x00" }),
		flood("pipelined readiness checks", func() string { return "GET /health/ready HTTP/1.1\r\nHost: api\r\n\r\n" }),
		flood("requests without an id", func() string { return "GET /read/x HTTP/1.1\r\nHost: api\r\n\r\n" }),
		flood("pipelined requests", func() string { return readHead() + "\r\n" }),
		{"one-byte chunks", func(conn net.Conn, end time.Time) {
			writeString(conn, payHead()+"Transfer-Encoding: chunked\r\n\r\n")
			for time.Now().Before(end) && writeString(conn, strings.Repeat("1\r\nx\r\n", 500)) {
			}
		}},
		shortFieldsFlood,
		oneAfterTheOther("requests under new names", newNameRequest),
		oneAfterTheOther("unsafe requests under new names", func() string {
			return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\nX-Service-Class: order\r\n"+
				"X-Time-Left-Ms: 3000\r\nContent-Length: 0\r\n\r\n", testfleet.NewRequestID())
		}),
		oneAfterTheOther("readiness checks", func() string { return "GET /health/ready HTTP/1.1\r\nHost: api\r\n\r\n" }),
	} {
		t.Run(kind.name, func(t *testing.T) {
			o := overload{
				memoryMB:     minMemoryMB,
				sockets:      platformSockets,
				oneProcessor: true,
				duration:     hostileDuration,
				hostile:      map[*hostileClient]int{kind: 2},
			}
			o.run(t).check(t, o)
		})
	}
}
