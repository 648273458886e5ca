package app

import (
	"context"
	"fmt"
	"net"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/front/exchange"
	"pinedale/internal/front/extproc"
	"pinedale/internal/front/http3front"
	"pinedale/internal/front/httpfront"
)

const (
	// keepAliveDivisor sets the keep-alive threshold: when more than 1/keepAliveDivisor of the permitted client
	// connections have carried a request, each response closes its connection.
	keepAliveDivisor = 3
	// entryMemoryDivisor bounds the external processor's entries to 1/entryMemoryDivisor of the memory.
	entryMemoryDivisor = 8
	// entryBytes is about the size of an entry: two names, a round and two attempts.
	entryBytes = 1 << 10
	// altSvcMaxAge is how long clients may cache that HTTP/3 is available (RFC 7838).
	altSvcMaxAge = time.Hour
	// drainMargin is how long after the longest deadline the HTTP/1.1 front stops draining. It can be generous, since
	// no platform kills the process.
	drainMargin = time.Second
)

// serve runs a front in a goroutine of background. Wait receives its error.
func (i *Instance) serve(front func() error) {
	i.fronts++
	i.background.Go(func() { i.frontErrors <- front() })
}

// serveHTTP3 starts the HTTP/3 front and returns the Alt-Svc value by which the HTTP/1.1 front advertises it, "" if
// it is not switched on.
func (i *Instance) serveHTTP3(ctx context.Context, socket net.PacketConn, upstream engine.Upstream) (altSvc string) {
	if socket == nil {
		return ""
	}
	file := i.file
	front := http3front.New(i.engine, upstream, http3front.Options{
		KeyStore:        i.stores[file.HTTP3.Keys],
		Name:            file.Name,
		Connections:     file.HTTP3.MaxConnections,
		Streams:         file.HTTP3.MaxStreams,
		AcceptEarlyData: file.HTTP3.EarlyData,
		Memory:          exchange.LimitsWithin(file.Limits.MemoryBytes()),
		Parser:          i.parser,
		Log:             i.log,
	})
	i.HTTP3 = socket.LocalAddr()
	i.serve(func() error { return front.Serve(ctx, socket) })
	return fmt.Sprintf(`h3=":%d"; ma=%d`, i.HTTP3.(*net.UDPAddr).Port, altSvcMaxAge/time.Second)
}

// serveHTTP starts the HTTP/1.1 front if it is switched on.
func (i *Instance) serveHTTP(ctx context.Context, listener net.Listener, upstream engine.Upstream, altSvc string) {
	if listener == nil {
		return
	}
	file := i.file
	if store := i.stores[file.HTTP.Keys]; store != nil {
		listener = store.Listen(listener, "http/1.1")
	}
	front := httpfront.New(i.engine, upstream, httpfront.Options{
		Connections:        file.Limits.ClientConnections,
		KeepAliveThreshold: file.Limits.ClientConnections / keepAliveDivisor,
		Memory:             exchange.LimitsWithin(file.Limits.MemoryBytes()),
		Parser:             i.parser,
		AltSvc:             altSvc,
		DrainTimeout:       func(longest time.Duration) time.Duration { return longest + drainMargin },
		Log:                i.log,
	})
	i.HTTP = listener.Addr()
	i.serve(func() error { return front.Serve(ctx, listener) })
}

// serveExtProc starts the external processor if it is switched on.
func (i *Instance) serveExtProc(ctx context.Context, listener net.Listener) {
	if listener == nil {
		return
	}
	file := i.file
	options := extproc.Options{
		MaxStreams:   file.ExtProc.Streams,
		MaxBacklog:   file.ExtProc.Backlog,
		CallersRetry: file.ExtProc.CallersRetry(),
		MaxEntries:   int(file.Limits.MemoryBytes() / entryMemoryDivisor / entryBytes),
		LoadFields:   file.Fleet.LoadFields,
		Parser:       i.parser,
		DrainTimeout: file.LongestDeadline(),
		Log:          i.log,
	}
	if store := i.stores[file.ExtProc.Keys]; store != nil {
		options.TLS, options.MaxTLSConnectionAge = store.Server("h2"), store.ReplacementTime()
	}
	i.extProc = extproc.New(i.engine, options)
	i.ExtProc = listener.Addr()
	i.serve(func() error { return i.extProc.Serve(ctx, listener) })
}
