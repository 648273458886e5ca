// Package tlscost measures what TLS costs: a resumed session beside a full handshake, and pinedale-proxy with TLS
// towards its servers beside [httputil.ReverseProxy] over [http.Transport]. Server, client and proxies are processes of
// their own, whose CPU time is theirs alone.
//
//	certificates.go  the files of a server and a client
//	server.go        the server's process
//	client.go        the client's process, which does handshakes
//	handshakes.go    Handshakes: full and resumed handshakes in turn
//	proxyserver.go   the processes of both proxies
//	proxies.go       Proxies: both proxies under the same load in turn
package tlscost

import "pinedale/internal/measure/process"

// The kinds of processes that this package's measurements start.
const (
	serverKind       = "tls-server"
	clientKind       = "tls-client"
	proxyKind        = "tls-site"
	reverseProxyKind = "tls-reverse"
)

// Kinds are what this package's measurements start as processes of their own.
var Kinds = process.Kinds{
	serverKind:       serveServer,
	clientKind:       serveClient,
	proxyKind:        serveProxy,
	reverseProxyKind: serveReverseProxy,
}

const serverName = "s-0.example.org"

// protocolHTTP3 selects HTTP/3 instead of HTTP/1.1.
const protocolHTTP3 = "h3"
