package largelist

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/ctxtime"
	"pinedale/internal/standin/fakediscovery"
)

const (
	serviceTime     = 50 * time.Millisecond // of a request, at a server that is not in slow start
	slowStartTime   = 8 * time.Second
	slowStartFactor = 3 // ratio of the service time of a server that has just started to serviceTime
	podSize         = 6
)

// sites are the zones, to which servers are assigned in turn.
var sites = []string{"a", "b"}

// serverGroup runs the servers. Each of them listens on an address of its own.
type serverGroup struct {
	recorder *recorder
	http     http.Server
	serving  sync.WaitGroup
	conns    atomic.Int64 // accepted so far

	mu      sync.RWMutex
	started map[string]time.Time // by address; the zero time for servers without slow start
	count   int
}

func newServerGroup(recorder *recorder) *serverGroup {
	g := &serverGroup{recorder: recorder, started: map[string]time.Time{}}
	g.http.Handler = http.HandlerFunc(g.handle)
	g.http.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			g.conns.Add(1)
		}
	}
	return g
}

// start starts n servers and returns their entries for discovery. It records at as the time of their start.
func (g *serverGroup) start(n int, at time.Time) ([]fakediscovery.Host, error) {
	var hosts []fakediscovery.Host
	for range n {
		g.mu.Lock()
		index := g.count
		g.count++
		g.mu.Unlock()
		address := fmt.Sprintf("127.%d.%d.%d:0", 64+index>>16, index>>8&0xff, index&0xff)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		address = listener.Addr().String()
		g.mu.Lock()
		g.started[address] = at
		g.mu.Unlock()
		g.serving.Go(func() { _ = g.http.Serve(listener) }) // returns when the group is closed
		host := fakediscovery.Ready(fmt.Sprintf("s-%05d", index), address)
		host.Site = sites[index%len(sites)]
		host.Cell = uint16(index / podSize)
		if !at.IsZero() {
			host.StartedMS = at.UnixMilli()
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// close stops all servers.
func (g *serverGroup) close() {
	g.http.Close()
	g.serving.Wait()
}

// handle serves a request, or reports the server's load in response to a probe.
func (g *serverGroup) handle(w http.ResponseWriter, in *http.Request) {
	address := in.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	if in.URL.Path == "/stats" {
		_, _ = io.WriteString(w, "pending=0")
		return
	}
	_, _ = io.Copy(io.Discard, in.Body)
	id := in.Header.Get("X-Correlation-Id")
	g.recorder.recordAttempt(id, time.Now())
	if !ctxtime.Sleep(in.Context(), g.currentServiceTime(address)) {
		return
	}
	_, _ = io.WriteString(w, responseBody(id, address))
}

// currentServiceTime returns how long a server currently needs for a request, which is longer during slow start.
func (g *serverGroup) currentServiceTime(address string) time.Duration {
	g.mu.RLock()
	started := g.started[address]
	g.mu.RUnlock()
	if started.IsZero() || time.Since(started) >= slowStartTime {
		return serviceTime
	}
	progress := float64(time.Since(started)) / float64(slowStartTime)
	return time.Duration(float64(serviceTime) * (slowStartFactor - (slowStartFactor-1)*progress))
}

// responseBody returns the body of a server's response to a request.
func responseBody(id, address string) string { return id + "@" + address }
