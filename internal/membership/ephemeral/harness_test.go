package ephemeral

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/fakezookeeper"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/wait"
)

// sessionTimeout is short, so that an outage is noticed soon. The library notices it after two
// thirds of the timeout.
const sessionTimeout = 600 * time.Millisecond

// rules permit the sites and kinds in the tests' node data.
var rules = Rules{Sites: []string{"arusha", "dar"}, Kinds: []string{"box"}}

// recorder is a sink that applies reports to one list.
type recorder struct {
	mu        sync.Mutex
	nodes     map[string]engine.Host
	snapshots int
	outages   int
}

// Snapshot implements Sink.
func (r *recorder) Snapshot(_ uint64, hosts []engine.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = map[string]engine.Host{}
	r.snapshots++
	for _, host := range hosts {
		r.nodes[host.Name] = host
	}
}

// Delta implements Sink.
func (r *recorder) Delta(_ uint64, hosts []engine.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, host := range hosts {
		if host.State == balancer.Removed {
			delete(r.nodes, host.Name)
		} else {
			r.nodes[host.Name] = host
		}
	}
}

// SourceUnavailable implements Sink.
func (r *recorder) SourceUnavailable(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages++
}

// names returns the listed names, sorted and separated by spaces.
func (r *recorder) names() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(r.nodes)), " ")
}

func (r *recorder) node(name string) engine.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes[name]
}

func (r *recorder) nodeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.nodes)
}

func (r *recorder) snapshotCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshots
}

func (r *recorder) outageCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outages
}

// harness runs a client of a service and records its reports.
type harness struct {
	t        *testing.T
	service  *fakezookeeper.Service
	recorder *recorder
	log      logcapture.Buffer
}

func newHarness(t *testing.T, service *fakezookeeper.Service) *harness {
	t.Helper()
	return &harness{t: t, service: service, recorder: &recorder{nodes: map[string]engine.Host{}}}
}

// options returns the options of a client of the service.
func (h *harness) options() Options {
	return Options{
		Servers:        h.service.Addresses(),
		Path:           "/soko",
		SessionTimeout: sessionTimeout,
		Rules:          rules,
		Log:            h.log.Logger(),
	}
}

// run runs a client until stop is called, which waits for it.
func (h *harness) run(options Options) (stop func()) {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var feed sync.WaitGroup
	feed.Go(func() { New(options).Feed(ctx, h.recorder) })
	return func() {
		cancel()
		feed.Wait()
	}
}

// nodeData returns node data with a port and further keys, which are JSON text that begins with a comma.
func nodeData(port int, keys string) []byte {
	return fmt.Appendf(nil, `{"address":"127.0.0.1:%d","site":"arusha"%s}`, port, keys)
}

// startService runs a service with a number of members. The caller closes it.
func startService(t *testing.T, members int) *fakezookeeper.Service {
	t.Helper()
	service, err := fakezookeeper.Start(members)
	if err != nil {
		t.Fatal(err)
	}
	return service
}

// start runs a client of a service with a number of members until the test ends. change adapts
// the client's options; it may be nil.
func start(t *testing.T, members int, change func(*Options), nodes ...string) *harness {
	t.Helper()
	h := newHarness(t, startService(t, members))
	for i, node := range nodes {
		h.put(node, nodeData(1000+i, ""))
	}
	options := h.options()
	if change != nil {
		change(&options)
	}
	stop := h.run(options)
	t.Cleanup(func() {
		stop()
		h.service.Close()
		goleak.VerifyNone(t)
	})
	return h
}

// longSession is an option that keeps sessions alive while their connections break.
func longSession(options *Options) { options.SessionTimeout = 10 * time.Second }

func (h *harness) put(node string, data []byte) { h.service.Put("/soko/"+node, data) }

func (h *harness) remove(node string) { h.service.Delete("/soko/" + node) }

// breakConnections breaks the connections of a service of two members.
func (h *harness) breakConnections() {
	h.service.Member(0).CloseConnections()
	h.service.Member(1).CloseConnections()
}

// waitUntil waits for a condition. If it fails, it reports the list and the log.
func (h *harness) waitUntil(what string, condition func() bool) {
	h.t.Helper()
	wait.Until(h.t, what, condition, h.recorder.names, h.log.String)
}

// waitNames waits until exactly the given names are listed, sorted and separated by spaces.
func (h *harness) waitNames(names string) {
	h.t.Helper()
	h.waitUntil("the list "+names, func() bool { return h.recorder.names() == names })
}

// waitSnapshotAfter waits until more than the given number of snapshots were reported.
func (h *harness) waitSnapshotAfter(snapshots int) {
	h.t.Helper()
	h.waitUntil("a new snapshot", func() bool { return h.recorder.snapshotCount() > snapshots })
}
