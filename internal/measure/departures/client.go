package departures

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"pinedale/balancer"
)

const requestFormat = "POST /order HTTP/1.1\r\n" +
	"Host: x\r\n" +
	"X-Correlation-Id: %s\r\n" +
	"X-Service-Class: order\r\n" +
	"X-Time-Left-Ms: 50000\r\n" +
	"Content-Length: 4\r\n" +
	"\r\n" +
	"%s"

// batch is a set of clients that disconnect together.
type batch struct {
	departure    *departure
	sidecar      *sidecar
	firstID      int
	disconnected map[string]time.Time // by request id; run adds to it

	conns map[string]*net.TCPConn // by request id
}

// run has the clients send their requests and disconnect while these wait.
func (b *batch) run() error {
	start := time.Now()
	var stalling sync.WaitGroup
	defer stalling.Wait()
	if b.departure.inQueue {
		stalling.Go(func() {
			b.sidecar.engine.Post(func(balancer.Micros) { time.Sleep(stallTime) })
		})
	}
	defer b.close()
	if err := b.send(); err != nil {
		return err
	}
	time.Sleep(stallTime / 10) // until the front has read the requests
	for _, conn := range b.conns {
		_, _ = io.WriteString(conn, b.departure.trailingData) // may fail if the front has rejected the request
	}
	time.Sleep(stallTime / 10)
	for id, conn := range b.conns {
		b.disconnected[id] = time.Now()
		b.departure.disconnect(conn)
	}
	time.Sleep(time.Until(start.Add(2 * stallTime)))
	return nil
}

// send connects the clients and sends their requests.
func (b *batch) send() error {
	body := "body"
	if b.departure.halfBody {
		body = "bo"
	}
	b.conns = map[string]*net.TCPConn{}
	for n := range batchSize {
		conn, err := net.Dial("tcp", b.sidecar.clients.Addr().String())
		if err != nil {
			return err
		}
		id := strconv.Itoa(b.firstID + n)
		b.conns[id] = conn.(*net.TCPConn)
		fmt.Fprintf(conn, requestFormat, id, body)
	}
	return nil
}

func (b *batch) close() {
	for _, conn := range b.conns {
		conn.Close()
	}
}
