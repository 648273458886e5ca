package sidecar

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
	"pinedale/internal/front/httpfront"
	"pinedale/internal/membership/registry"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
	_ "pinedale/internal/standin/seeds"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// event is one step of an eventRun.
type event struct {
	kind   eventKind
	choice int // of a class or a request, taken modulo their number
}

type eventKind string

const (
	requestStarts     eventKind = "request starts" // all but its last byte is sent
	requestCompletes  eventKind = "request completes"
	requestArrives    eventKind = "request arrives"
	clientDisconnects eventKind = "client disconnects"
	dialsPass         eventKind = "dials pass"
	dialsBlock        eventKind = "dials block"
	endpointServes    eventKind = "endpoint serves"
	endpointFails     eventKind = "endpoint fails"
	endpointIsFull    eventKind = "endpoint is full"
	endpointResets    eventKind = "endpoint resets"
	endpointDrains    eventKind = "endpoint drains"
	sourceSwitches    eventKind = "source switches"
	shutdownBegins    eventKind = "shutdown begins"
)

// drawnKinds are the kinds from which a run's events are drawn. Kinds that occur several times are more likely.
var drawnKinds = []eventKind{
	requestArrives, requestArrives, requestArrives, requestStarts, requestCompletes, clientDisconnects,
	dialsPass, dialsBlock, endpointServes, endpointServes, endpointFails, endpointResets, endpointIsFull,
	endpointDrains, sourceSwitches, shutdownBegins,
}

// eventRun runs a sidecar whose clients and endpoints act only on events.
type eventRun struct {
	*harness
	hosts        []fakediscovery.Host
	inOrder      []*clientRequest
	shuttingDown bool

	mu           sync.Mutex
	requests     map[string]*clientRequest // by id
	dialsPass    bool                      // whether connections to endpoints are established or blocked
	blockedDials []chan struct{}
	openAttempts []*testfleet.Attempt // in the order of their arrival
	violations   []string
}

// clientRequest is a request together with the client that sent it.
type clientRequest struct {
	id, class    string
	client       *testfleet.Client
	complete     bool   // all its bytes have been sent
	rest         string // not sent yet
	disconnected bool

	// Under eventRun.mu.
	disconnectSeen bool // the balancer has been notified of the disconnect
	attempts       int
	mayHaveRun     int // number of attempts that may have run
}

// hasResponse reports whether the client has received a complete response.
func (r *clientRequest) hasResponse() bool { return len(r.client.StatusCodes()) > 0 }

// hasEnded reports whether the client's connection has ended.
func (r *clientRequest) hasEnded() bool {
	select {
	case <-r.client.Closed():
		return true
	default:
		return false
	}
}

// addViolation records an invariant that does not hold. The caller holds mu, or all goroutines of the run have ended.
func (o *eventRun) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// receive records an attempt that an endpoint has received, and checks that the attempt is permitted.
func (o *eventRun) receive(a *testfleet.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	request := o.requests[a.RequestID]
	if request.disconnectSeen {
		o.addViolation("%s (%s) was sent to %s after its client had disconnected", request.id, request.class, a.Backend)
	}
	request.attempts++
	request.mayHaveRun++
	if request.class == "order" && request.mayHaveRun > 1 {
		o.addViolation("%s is not idempotent and was sent while another attempt may run", request.id)
	}
	o.openAttempts = append(o.openAttempts, a)
}

// respond ends the oldest open attempt with the given response.
func (o *eventRun) respond(response string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.openAttempts) == 0 {
		return
	}
	a := o.openAttempts[0]
	o.openAttempts = o.openAttempts[1:]
	if response == scriptedconn.Full {
		o.requests[a.RequestID].mayHaveRun--
	}
	a.Respond(response)
}

// setDialsPass sets whether connections to endpoints are established. If pass is set, it also releases those
// that are blocked; else only later connections are blocked.
func (o *eventRun) setDialsPass(pass bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dialsPass = pass
	if !pass {
		return
	}
	for _, blocked := range o.blockedDials {
		close(blocked)
	}
	o.blockedDials = nil
}

// blockDial blocks a connection to an endpoint until dials pass.
func (o *eventRun) blockDial(string, string, syscall.RawConn) error {
	blocked := make(chan struct{})
	o.mu.Lock()
	if o.dialsPass {
		close(blocked)
	} else {
		o.blockedDials = append(o.blockedDials, blocked)
	}
	o.mu.Unlock()
	<-blocked
	return nil
}

// disconnects returns the number of disconnects that the balancer has received.
func (o *eventRun) disconnects() int {
	count := 0
	o.spy.record(func() {
		for _, e := range o.spy.events {
			if e == clientDisconnected {
				count++
			}
		}
	})
	return count
}

// sendRequest sends a request on a new connection, complete or without its last byte.
func (o *eventRun) sendRequest(class string, complete bool) {
	client, err := testfleet.Dial(o.address, wait.Timeout)
	if err != nil {
		return // the sidecar has ended
	}
	request := o.newRequest(class, "x", time.Minute)
	text := testfleet.RequestText(o.t, request)
	r := &clientRequest{
		id:       request.Header.Get("X-Correlation-Id"),
		class:    class,
		client:   client,
		complete: complete,
	}
	if !complete {
		text, r.rest = text[:len(text)-1], text[len(text)-1:]
	}
	o.mu.Lock()
	o.requests[r.id] = r
	o.mu.Unlock()
	o.inOrder = append(o.inOrder, r)
	_, _ = io.WriteString(client, text) // the sidecar may have ended
}

// completeRequest sends the last byte of the oldest incomplete request.
func (o *eventRun) completeRequest() {
	for _, r := range o.inOrder {
		if !r.complete && !r.disconnected {
			r.complete = true
			_, _ = io.WriteString(r.client, r.rest) // the sidecar may have ended
			o.waitReceived(r)
			return
		}
	}
}

// waitReceived waits until the balancer has received all complete requests, of which r is the latest. On a
// busy machine, the read timeout may already have ended r's connection.
func (o *eventRun) waitReceived(r *clientRequest) {
	complete := 0
	for _, other := range o.inOrder {
		if other.complete {
			complete++
		}
	}
	o.waitFor("the request to be received", func() bool {
		ended, received := r.hasEnded(), false
		o.spy.record(func() { received = o.spy.requests == complete })
		if ended && !received {
			r.complete, r.disconnected = false, true
		}
		return ended || received
	})
}

// disconnect closes a client's connection. If its request is in flight, it waits until the sidecar has
// observed the disconnect or a response has been received.
func (o *eventRun) disconnect(r *clientRequest) {
	if r.disconnected {
		return
	}
	conns, before := o.server.Connections(), o.disconnects()
	r.disconnected = true
	r.client.Close()
	if !r.complete {
		return
	}
	o.waitFor("the disconnect", func() bool {
		return r.hasResponse() || o.disconnects() > before || o.server.Connections() < conns
	})
	o.inEngine(func() {})
	o.mu.Lock()
	defer o.mu.Unlock()
	r.disconnectSeen = o.disconnects() > before
}

// drain marks the first endpoint as draining in a list of the given version.
func (o *eventRun) drain(version uint64) {
	hosts := slices.Clone(o.hosts)
	hosts[0] = fakediscovery.Draining(hosts[0].Name, hosts[0].Address)
	o.hosts = hosts
	lists := o.spy.listCount(balancer.ListFull)
	o.dir.SetHosts(version, hosts...)
	o.waitFor("the list", func() bool { return o.spy.listCount(balancer.ListFull) > lists })
}

// apply performs an event. n is its index in the run, which determines the version of a changed endpoint list.
func (o *eventRun) apply(n int, e event) {
	classes := []string{"read", "pay", "close", "order"}
	switch e.kind {
	case requestArrives, requestStarts:
		if o.shuttingDown {
			return // the sidecar may no longer accept the request
		}
		o.sendRequest(classes[e.choice%len(classes)], e.kind == requestArrives)
		if e.kind == requestArrives {
			o.waitReceived(o.inOrder[len(o.inOrder)-1])
		}
	case requestCompletes:
		o.completeRequest()
	case clientDisconnects:
		if len(o.inOrder) > 0 {
			o.disconnect(o.inOrder[e.choice%len(o.inOrder)])
		}
	case dialsPass, dialsBlock:
		o.setDialsPass(e.kind == dialsPass)
	case endpointServes:
		o.respond(scriptedconn.Served)
	case endpointFails:
		o.respond(scriptedconn.Failing)
	case endpointIsFull:
		o.respond(scriptedconn.Full)
	case endpointResets:
		o.respond(testfleet.ResetConnection)
	case endpointDrains:
		if !o.shuttingDown { // else the engine may not receive the list
			o.drain(uint64(n + 1))
		}
	case sourceSwitches:
		o.inEngine(func() { o.engine.SwitchSource(registry.New(o.dir.Address, o.cfg.discoveryTiming())) })
	case shutdownBegins:
		o.stop()
		o.shuttingDown = true
	}
}

// runEvents runs a sidecar through the events and returns the invariants that did not hold.
func runEvents(t *testing.T, cancel bool, events []event) []string {
	o := &eventRun{requests: map[string]*clientRequest{}}
	o.hosts = testfleet.StartBackends(t, 3, o.receive).Hosts
	o.harness = &harness{
		t:           t,
		dialControl: o.blockDial,
		dir:         fakediscovery.New(t, o.hosts...),
		adjustFront: func(f *httpfront.Options) {
			f.AcceptFor = time.Millisecond
			f.DrainTimeout = func(time.Duration) time.Duration { return wait.Timeout } // shutdown ends once all is answered
		},
	}
	o.startReady(func(s *testfleet.SidecarSettings) {
		s.Limits.Cancel = cancel
		s.Limits.DialTimeout = time.Minute.Microseconds()
	}, o.hosts...)
	for n, e := range events {
		o.apply(n, e)
	}
	return o.finish()
}

// finish ends a run: it lets blocked dials pass, serves open attempts and stops the sidecar. It returns the
// invariants that did not hold.
func (o *eventRun) finish() []string {
	o.setDialsPass(true)
	if !o.shuttingDown {
		o.stop()
	}
	for _, r := range o.inOrder {
		if !r.complete && !r.disconnected {
			r.disconnected = true
			r.client.Close()
		}
	}
	o.serveUntilEnd()
	for _, r := range o.inOrder {
		if r.disconnected {
			continue
		}
		<-r.client.Closed()
		if codes := r.client.StatusCodes(); len(codes) != 1 {
			o.addViolation("%s (%s) has responses %v, want exactly one", r.id, r.class, codes)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.openAttempts {
		a.Respond(testfleet.ResetConnection)
	}
	return o.violations
}

// serveUntilEnd serves open attempts until the sidecar has ended.
func (o *eventRun) serveUntilEnd() {
	for {
		o.respond(scriptedconn.Served)
		select {
		case err := <-o.ended:
			if err != nil {
				o.addViolation("the sidecar ended with %v", err)
			}
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// In any order of events, an accepted request gets exactly one response, nothing is sent once its client is
// known to have disconnected, a request that is not idempotent has at most one attempt that may run, a
// draining endpoint receives no new request, and the sidecar ends.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var drawn []event
		for range rapid.IntRange(5, 30).Draw(r, "events") {
			kind := rapid.SampledFrom(drawnKinds).Draw(r, "kind")
			drawn = append(drawn, event{kind, rapid.IntRange(0, 99).Draw(r, "choice")})
		}
		cancel := rapid.Bool().Draw(r, "cancel")
		var violations []string
		t.Run("order", func(t *testing.T) { violations = runEvents(t, cancel, drawn) })
		for _, text := range violations {
			r.Error(text)
		}
	})
}
