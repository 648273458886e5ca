// Package tlscost measures the cost of TLS: of resumed handshakes compared with full ones, and of pinedale-proxy with
// TLS towards its servers compared with [httputil.ReverseProxy] over [http.Transport]. Servers, clients and proxies run
// in separate processes, so that the CPU time of each is measured on its own.
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

// Kinds are the processes that this package's measurements start.
var Kinds = process.Kinds{
	serverKind:       serveServer,
	clientKind:       serveClient,
	proxyKind:        serveProxy,
	reverseProxyKind: serveReverseProxy,
}

const serverName = "s-0.example.org"

// protocolHTTP3 selects HTTP/3 instead of HTTP/1.1.
const protocolHTTP3 = "h3"
