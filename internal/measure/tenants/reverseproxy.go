package tenants

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// bucketWindow is the time in which an empty token bucket is filled. It equals the window of the admission that the
// bucket is compared with.
const bucketWindow = 100 * time.Millisecond

// tokenBucket is one limit for all requests. It is not safe for concurrent use.
type tokenBucket struct {
	rate   float64 // tokens per second
	tokens float64
	filled time.Duration // when tokens was computed, since the start
}

func newTokenBucket(rate float64) *tokenBucket {
	b := &tokenBucket{rate: rate}
	b.tokens = b.capacity()
	return b
}

func (b *tokenBucket) capacity() float64 { return b.rate * bucketWindow.Seconds() }

// take takes a token at a time since the start, and reports whether there was one.
func (b *tokenBucket) take(now time.Duration) bool {
	b.tokens = min(b.capacity(), b.tokens+(now-b.filled).Seconds()*b.rate)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// reverseProxy is an httputil.ReverseProxy behind a token bucket, on a listener of its own.
type reverseProxy struct {
	listener  net.Listener
	server    *http.Server
	transport *http.Transport
	proxy     *httputil.ReverseProxy
	serving   sync.WaitGroup
	start     time.Time

	mu     sync.Mutex
	bucket *tokenBucket // guarded by mu
}

// startReverseProxy starts a proxy for one server that admits rate requests per second.
func startReverseProxy(server string, rate float64) (*reverseProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &reverseProxy{
		listener:  listener,
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections},
		proxy:     httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: server}),
		start:     time.Now(),
		bucket:    newTokenBucket(rate),
	}
	p.proxy.Transport = p.transport
	p.server = &http.Server{Handler: p}
	p.serving.Go(func() { _ = p.server.Serve(listener) }) // close ends it
	return p, nil
}

func (p *reverseProxy) url() string { return "http://" + p.listener.Addr().String() }

// ServeHTTP forwards a request, or rejects it if the bucket is empty.
func (p *reverseProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.admit() {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.proxy.ServeHTTP(w, r)
}

func (p *reverseProxy) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bucket.take(time.Since(p.start))
}

// close stops the proxy. It is called after the load has ended.
func (p *reverseProxy) close() {
	_ = p.server.Shutdown(context.Background())
	p.serving.Wait()
	p.transport.CloseIdleConnections()
}
