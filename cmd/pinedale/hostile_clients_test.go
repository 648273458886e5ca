//go:build !race

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"pinedale/internal/standin/testfleet"
)

// hostileClient is a kind of client that uses up what the process has.
type hostileClient struct {
	name string
	// connected uses one connection until the process closes it or the run ends.
	connected func(conn net.Conn, end time.Time)
}

const (
	shortFields      = 5_000
	shortFieldsPause = 1600 * time.Millisecond
	chunkInterval    = 2 * time.Millisecond
	byteInterval     = 20 * time.Millisecond
	leavingTime      = 50 * time.Millisecond
)

var (
	manyShortFields = &hostileClient{"many short header fields, never ended", func(conn net.Conn, _ time.Time) {
		writeString(conn, readHead()+strings.Repeat("abc:\r\n", shortFields))
		awaitClose(conn)
	}}
	endedShortFields = &hostileClient{"many short header fields, ended late", func(conn net.Conn, _ time.Time) {
		writeString(conn, readHead()+strings.Repeat("abc:\r\n", shortFields))
		time.Sleep(shortFieldsPause)
		writeString(conn, "\r\n")
		awaitClose(conn)
	}}
	shortFieldsFlood = &hostileClient{"many short header fields, at full speed", func(conn net.Conn, _ time.Time) {
		writeString(conn, readHead()+strings.Repeat("abc:\r\n", shortFields)+"\r\n")
		awaitClose(conn)
	}}
	longFields = &hostileClient{"a header of 30,000 bytes, never ended", func(conn net.Conn, _ time.Time) {
		writeString(conn, readHead()+"X-Pad: "+strings.Repeat("p", 30_000))
		awaitClose(conn)
	}}
	halfBody = &hostileClient{"half a body", func(conn net.Conn, _ time.Time) {
		writeString(conn, payHead()+fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyBytes)+
			strings.Repeat("x", largeBodyBytes/2))
		awaitClose(conn)
	}}
	endlessChunks = &hostileClient{"a chunked body without end", func(conn net.Conn, end time.Time) {
		writeString(conn, payHead()+"Transfer-Encoding: chunked\r\n\r\n")
		for time.Now().Before(end) && writeString(conn, "40\r\n"+strings.Repeat("x", 64)+"\r\n") {
			time.Sleep(chunkInterval)
		}
	}}
	byteAtATime = &hostileClient{"a header a byte at a time", func(conn net.Conn, end time.Time) {
		for _, b := range []byte(readHead() + strings.Repeat("p", 1_000)) {
			if time.Now().After(end) || !writeString(conn, string(b)) {
				return
			}
			time.Sleep(byteInterval)
		}
	}}
	slowRequests = &hostileClient{"requests that take long", func(conn net.Conn, _ time.Time) {
		writeString(conn, fmt.Sprintf("GET /read/x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\n"+
			"X-Service-Class: read\r\nX-Time-Left-Ms: 3000\r\n\r\n", slowResponseID+testfleet.NewRequestID()))
		awaitClose(conn)
	}}
	unreadResponse = &hostileClient{"reads nothing of a large response", func(conn net.Conn, _ time.Time) {
		writeString(conn, fmt.Sprintf("GET /read/x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\n"+
			"X-Service-Class: read\r\nX-Time-Left-Ms: 3000\r\n\r\n", largeResponseID+testfleet.NewRequestID()))
		time.Sleep(shortFieldsPause)
	}}
	idleConnection = &hostileClient{"connects and sends nothing", func(conn net.Conn, _ time.Time) { awaitClose(conn) }}
	connectAndGo   = &hostileClient{"connects and goes", func(conn net.Conn, _ time.Time) {
		writeString(conn, "GET /health/ready HTTP/1.1\r\nHost: api\r\n\r\n")
	}}
	pipelined = &hostileClient{"reads ahead behind a request", func(conn net.Conn, _ time.Time) {
		writeString(conn, readHead()+"\r\n"+strings.Repeat("x", 15_000))
		awaitClose(conn)
	}}
	leavingClients = &hostileClient{"leaves behind a large request that takes long", func(conn net.Conn, _ time.Time) {
		id := slowResponseID + testfleet.NewRequestID()
		writeString(conn, fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\n"+
			"X-Service-Class: pay\r\nX-Time-Left-Ms: 3000\r\nIdempotency-Key: k%s\r\nContent-Length: %d\r\n\r\n%s",
			id, id, largeBodyBytes, strings.Repeat("x", largeBodyBytes)))
		time.Sleep(leavingTime)
	}}
	largeBodies = &hostileClient{"complete large bodies", func(conn net.Conn, _ time.Time) {
		writeString(conn, payHead()+fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBodyBytes)+
			strings.Repeat("x", largeBodyBytes))
		awaitClose(conn)
	}}
)

// readHead returns the header of an idempotent request without its end.
func readHead() string {
	return fmt.Sprintf("GET /read/x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\nX-Service-Class: read\r\n"+
		"X-Time-Left-Ms: 3000\r\n", testfleet.NewRequestID())
}

// payHead returns the header of a request with an idempotency key, without its length and end.
func payHead() string {
	id := testfleet.NewRequestID()
	return fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: %s\r\nX-Service-Class: pay\r\n"+
		"X-Time-Left-Ms: 3000\r\nIdempotency-Key: k%s\r\n", id, id)
}

// writeString reports whether the text was written.
func writeString(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// awaitClose reads until the connection ends.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
