// Package dualprotocol serves one handler over HTTP/1.1 with TLS and over HTTP/3, on the same port
// number: as a server does that clients may find out to speak both.
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

// Options are of a listener.
type Options struct {
	Handler http.Handler
	Config  func(protocol string) *tls.Config // for an ALPN name: "http/1.1" or "h3"
	State   func(net.Conn, http.ConnState)    // of connections over TCP; nil for nobody
	Context func(context.Context) context.Context
}

// portTries is how many ports are tried for one that is free on TCP and UDP alike.
const portTries = 20

// Listen listens at host:port. stop ends the listener and all its connections, without
// waiting for requests in hand.
func Listen(at string, o Options) (address string, stop func(), err error) {
	plain, datagrams, err := listen(at)
	if err != nil {
		return "", nil, err
	}
	if o.Context == nil {
		o.Context = func(ctx context.Context) context.Context { return ctx }
	}
	one := &http.Server{Handler: o.Handler, ConnState: o.State, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return o.Context(ctx) }}
	three := &http3.Server{Handler: o.Handler, TLSConfig: o.Config("h3"),
		ConnContext: func(ctx context.Context, _ *quic.Conn) context.Context { return o.Context(ctx) }}
	var served sync.WaitGroup
	served.Go(func() { _ = one.Serve(tls.NewListener(plain, o.Config("http/1.1"))) })
	served.Go(func() { _ = three.Serve(datagrams) })
	return plain.Addr().String(), func() {
		one.Close()
		three.Close()
		datagrams.Close()
		served.Wait()
	}, nil
}

func listen(at string) (plain net.Listener, datagrams net.PacketConn, err error) {
	for range portTries {
		if plain, err = net.Listen("tcp", at); err != nil {
			return nil, nil, err
		}
		if datagrams, err = net.ListenPacket("udp", plain.Addr().String()); err == nil {
			return plain, datagrams, nil
		}
		plain.Close()
		if _, port, _ := net.SplitHostPort(at); port != "0" {
			break // another try finds the same port
		}
	}
	return nil, nil, errors.Join(errors.New("no port is free on TCP and UDP"), err)
}
