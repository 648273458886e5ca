// Package dualprotocol serves one handler over HTTP/1.1 with TLS and over HTTP/3 on the same port number, like a server
// whose clients discover HTTP/3.
package dualprotocol

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// ALPN names of the protocols.
const (
	protocolHTTP1 = "http/1.1"
	protocolHTTP3 = "h3"
)

// ErrNoPort is the error of a listener that finds no port that is free on both TCP and UDP.
var ErrNoPort = errors.New("no port is free on TCP and UDP")

// Options configure a listener.
type Options struct {
	Handler http.Handler
	Config  func(protocol string) *tls.Config         // by ALPN name: "http/1.1" or "h3"
	State   func(net.Conn, http.ConnState)            // called for connections over TCP; may be nil
	Context func(ctx context.Context) context.Context // returns the context of a connection; may be nil
}

// Listen opens a listener at host:port. stop closes the listener and its connections; it does not wait for requests in
// flight.
func Listen(hostPort string, o Options) (address string, stop func(), err error) {
	tcp, udp, err := listen(hostPort)
	if err != nil {
		return "", nil, err
	}
	if o.Context == nil {
		o.Context = func(ctx context.Context) context.Context { return ctx }
	}
	http1Server := &http.Server{
		Handler:     o.Handler,
		ConnState:   o.State,
		ErrorLog:    log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return o.Context(ctx) },
	}
	http3Server := &http3.Server{
		Handler:     o.Handler,
		TLSConfig:   o.Config(protocolHTTP3),
		ConnContext: func(ctx context.Context, _ *quic.Conn) context.Context { return o.Context(ctx) },
	}
	tlsListener := tls.NewListener(tcp, o.Config(protocolHTTP1))
	var serving sync.WaitGroup // each server returns after its Close
	serving.Go(func() { _ = http1Server.Serve(tlsListener) })
	serving.Go(func() { _ = http3Server.Serve(udp) })
	stop = func() {
		http1Server.Close()
		http3Server.Close()
		udp.Close()
		serving.Wait()
	}
	return tcp.Addr().String(), stop, nil
}

// maxPortAttempts bounds the search for a port that is free on both TCP and UDP.
const maxPortAttempts = 20

// listen opens the same port on TCP and UDP.
func listen(hostPort string) (net.Listener, net.PacketConn, error) {
	var lastErr error
	for range maxPortAttempts {
		tcp, err := net.Listen("tcp", hostPort)
		if err != nil {
			return nil, nil, err
		}
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		if err == nil {
			return tcp, udp, nil
		}
		lastErr = err
		tcp.Close()
		if _, port, _ := net.SplitHostPort(hostPort); port != "0" {
			break // only port 0 selects another port on the next attempt
		}
	}
	return nil, nil, errors.Join(ErrNoPort, lastErr)
}
