package sockets

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"pinedale/internal/emulator/sockets/dualprotocol"
)

// Transport listens for the connections of a server, with or without TLS.
type Transport interface {
	// Listen opens a listener at host:port and passes its requests to the server. latency is the emulated one-way
	// latency to its clients. stop closes the listener and its connections; it does not wait for requests in flight.
	Listen(s *Server, hostPort string, latency time.Duration) (address string, stop func(), err error)
}

// HTTP1 is the transport of HTTP/1.1 without TLS.
type HTTP1 struct{}

// Listen implements Transport.
func (HTTP1) Listen(s *Server, hostPort string, latency time.Duration) (string, func(), error) {
	listener, err := net.Listen("tcp", hostPort)
	if err != nil {
		return "", nil, err
	}
	h := newHandler(s, latency)
	server := &http.Server{
		Handler:     h,
		ConnState:   h.trackConnection,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return connectionContext(ctx) },
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) }) // returns after server.Close
	stop := func() {
		server.Close()
		serving.Wait()
	}
	return listener.Addr().String(), stop, nil
}

// TLS is the transport of HTTP/1.1 with TLS and of HTTP/3 on the same port number. The connection limit of a server
// does not apply to HTTP/3, whose connections use no file descriptor of their own.
type TLS struct {
	Config func(protocol string) *tls.Config // by ALPN name, see package dualprotocol
}

// Listen implements Transport.
func (t TLS) Listen(s *Server, hostPort string, latency time.Duration) (string, func(), error) {
	h := newHandler(s, latency)
	return dualprotocol.Listen(hostPort, dualprotocol.Options{
		Handler: h,
		Config:  t.Config,
		State:   h.trackConnection,
		Context: connectionContext,
	})
}
