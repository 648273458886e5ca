package tlscost

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"

	"github.com/quic-go/quic-go/http3"

	"pinedale/internal/app"
	"pinedale/internal/config"
	"pinedale/internal/measure/harness"
	"pinedale/internal/standin/ca"
)

// frontKind is the protocol between a proxy and its clients.
type frontKind string

const (
	plainFront frontKind = "plain"
	tlsFront   frontKind = "tls"
	http3Front frontKind = protocolHTTP3
)

const configFormat = `version = 1
name = "cost"
site = "a"
[http]
listen = "127.0.0.1:0"
%s
[upstream]
keys = "fleet"
verify = "s-0.example.org"
[[keys]]
name = "fleet"
roots_file = %q
%s
[fleet]
sites = ["a"]
reports = ["inflight"]
[[class]]
name = "read"
repeat = "safe"
aim = "500ms"
deadline = "2s"
[[server]]
name = "s-0"
address = %q
site = "a"
`

const frontKeysFormat = `[[keys]]
name = "front"
cert_file = %q
key_file = %q
`

const http3Section = `
[http3]
listen = "127.0.0.1:0"
keys = "front"`

// proxyConfig returns the operator's file of a proxy.
func proxyConfig(files *ca.Folder, server string, front frontKind) string {
	frontSettings, frontKeys := "", ""
	if front != plainFront {
		frontSettings = `keys = "front"`
		frontKeys = fmt.Sprintf(frontKeysFormat, files.Cert, files.Key)
	}
	if front == http3Front {
		frontSettings += http3Section
	}
	return fmt.Sprintf(configFormat, frontSettings, files.Roots, frontKeys, server)
}

// serveProxy runs a pinedale-proxy. Its arguments are the folder with its files, the server's address and the kind of
// front.
func serveProxy(args []string) (line string, stop func(), err error) {
	files, front := ca.FolderAt(ca.PanicOnFatal{}, args[0]), frontKind(args[2])
	file, err := config.Parse([]byte(proxyConfig(files, args[1], front)))
	if err != nil {
		return "", nil, err
	}
	app.SetMemoryLimit(file)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	instance, err := harness.StartInstance(file, log)
	if err != nil {
		return "", nil, err
	}
	address := instance.HTTP
	if front == http3Front {
		address = instance.HTTP3
	}
	return address.String(), func() {
		_ = instance.Close() // an error has no effect on the measurement, which has ended
	}, nil
}

// serveReverseProxy runs an httputil.ReverseProxy over http.Transport. It has the arguments of serveProxy.
func serveReverseProxy(args []string) (line string, stop func(), err error) {
	files, front := ca.FolderAt(ca.PanicOnFatal{}, args[0]), frontKind(args[2])
	roots, err := readRoots(files)
	if err != nil {
		return "", nil, err
	}
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return "", nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "https", Host: args[1]})
	proxy.Transport = &http.Transport{
		MaxIdleConnsPerHost: 1024,
		TLSClientConfig: &tls.Config{
			RootCAs:            roots,
			ServerName:         serverName,
			MinVersion:         tls.VersionTLS13,
			ClientSessionCache: tls.NewLRUClientSessionCache(cachedSessions),
		},
	}
	if front == http3Front {
		return serveHTTP3(proxy, certificate)
	}
	return serveTCP(proxy, certificate, front)
}

// serveHTTP3 serves a handler over HTTP/3 until stop is called.
func serveHTTP3(handler http.Handler, certificate tls.Certificate) (address string, stop func(), err error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http3.Server{
		Handler:   handler,
		TLSConfig: &tls.Config{Certificates: []tls.Certificate{certificate}},
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(socket) // stop ends it
	}()
	return socket.LocalAddr().String(), func() {
		server.Close()
		socket.Close()
		<-served
	}, nil
}

// serveTCP serves a handler over HTTP/1.1, with TLS or without, until stop is called.
func serveTCP(
	handler http.Handler, certificate tls.Certificate, front frontKind,
) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	if front == tlsFront {
		listener = tls.NewListener(listener, &tls.Config{
			Certificates: []tls.Certificate{certificate},
			MinVersion:   tls.VersionTLS13,
			NextProtos:   []string{"http/1.1"},
		})
	}
	server := &http.Server{Handler: handler}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener) // stop ends it
	}()
	return listener.Addr().String(), func() {
		server.Close()
		<-served
	}, nil
}
