package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
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
)

// event is one step of an eventRun.
type event struct {
	kind   eventKind
	choice int // of a class or a request, taken modulo their number
}

// eventKind is what happens in a step.
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

// drawnKinds are the kinds that a run is drawn from; those that occur twice or more are likelier.
var drawnKinds = []eventKind{
	requestArrives, requestArrives, requestArrives, requestStarts, requestCompletes, clientDisconnects,
	dialsPass, dialsBlock, endpointServes, endpointServes, endpointFails, endpointResets, endpointIsFull,
	endpointDrains, sourceSwitches, shutdownBegins,
}

// eventRun is a sidecar with clients and endpoints that act only when an event says so.
type eventRun struct {
	*harness
	hosts        []fakediscovery.Host
	inOrder      []*clientRequest
	shuttingDown bool

	mu           sync.Mutex
	requests     map[string]*clientRequest // by id
	dialsPass    bool                      // else connections to endpoints are not established
	blockedDials []chan struct{}
	openAttempts []*endpointAttempt // in the order of their arrival
	violations   []string
}

// clientRequest is a request of a client.
type clientRequest struct {
	id, class    string
	conn         net.Conn
	complete     bool   // all its bytes have been sent
	rest         string // not sent yet
	disconnected bool
	ended        chan struct{} // closed once no more response is read

	// Under eventRun.mu.
	disconnectSeen bool // by the balancer
	codes          []int
	attempts       int
	mayHaveRun     int // of the attempts
}

// endpointAttempt is an attempt that an endpoint has received.
type endpointAttempt struct {
	request *clientRequest
	name    string
	conn    net.Conn
	done    chan struct{}
}

// addViolation records an invariant that does not hold. It is called under mu, or once all has ended.
func (o *eventRun) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// startEndpoint starts an endpoint that receives requests and responds when respond is called.
func (o *eventRun) startEndpoint(name string) fakediscovery.Host {
	e := scriptedconn.New(o.t, func(e *scriptedconn.Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.Next(in); r != nil; r = e.Next(in) {
			<-o.receive(name, conn, r).done
		}
	})
	return fakediscovery.Ready(name, e.Address)
}

// receive records an attempt that an endpoint has received, and checks that it was permitted.
func (o *eventRun) receive(name string, conn net.Conn, r *http.Request) *endpointAttempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	request := o.requests[r.Header.Get("X-Correlation-Id")]
	if request.disconnectSeen {
		o.addViolation("%s (%s) was sent to %s after its client had disconnected", request.id, request.class, name)
	}
	request.attempts++
	request.mayHaveRun++
	if request.class == "order" && request.mayHaveRun > 1 {
		o.addViolation("%s is not idempotent and was sent while another attempt may run", request.id)
	}
	a := &endpointAttempt{request: request, name: name, conn: conn, done: make(chan struct{})}
	o.openAttempts = append(o.openAttempts, a)
	return a
}

// respond ends the oldest open attempt with this response, or with a reset if it is empty.
func (o *eventRun) respond(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.openAttempts) == 0 {
		return
	}
	a := o.openAttempts[0]
	o.openAttempts = o.openAttempts[1:]
	if text == scriptedconn.Full {
		a.request.mayHaveRun--
	}
	if text == "" {
		_ = a.conn.(*net.TCPConn).SetLinger(0)
		a.conn.Close()
	}
	_, _ = io.WriteString(a.conn, text) // after a reset nobody reads it
	close(a.done)
}

// setDialsPass lets connections to endpoints be established, those that are blocked and later ones, or
// blocks later ones.
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

// blockDial makes a connection to an endpoint wait until dials pass.
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

// disconnects counts the disconnects that the balancer was notified of.
func (o *eventRun) disconnects() (n int) {
	o.spy.record(func() {
		for _, e := range o.spy.events {
			if e == clientDisconnected {
				n++
			}
		}
	})
	return n
}

// sendRequest sends a request on a new connection, complete or without its last byte.
func (o *eventRun) sendRequest(class string, complete bool) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(o.url, "http://"))
	if err != nil {
		return // the sidecar has ended
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	text := o.requestText(class, "x")
	a := &clientRequest{class: class, conn: conn, complete: complete, ended: make(chan struct{})}
	for line := range strings.Lines(text) {
		if id, ok := strings.CutPrefix(line, "X-Correlation-Id: "); ok {
			a.id = strings.TrimSpace(id)
		}
	}
	o.mu.Lock()
	o.requests[a.id] = a
	o.mu.Unlock()
	o.inOrder = append(o.inOrder, a)
	if !complete {
		text, a.rest = text[:len(text)-1], text[len(text)-1:]
	}
	_, _ = io.WriteString(conn, text) // the sidecar may have ended
	go o.readResponses(a)
}

// readResponses records the status codes that a client receives, until its connection ends.
func (o *eventRun) readResponses(a *clientRequest) {
	defer close(a.ended)
	in := bufio.NewReader(a.conn)
	for {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		r.Body.Close()
		o.mu.Lock()
		a.codes = append(a.codes, r.StatusCode)
		o.mu.Unlock()
		if r.Close {
			return
		}
	}
}

// completeRequest sends the last byte of the oldest request that lacks it.
func (o *eventRun) completeRequest() {
	for _, a := range o.inOrder {
		if !a.complete && !a.disconnected {
			a.complete = true
			_, _ = io.WriteString(a.conn, a.rest) // the sidecar may have ended
			o.waitReceived(a)
			return
		}
	}
}

// waitReceived waits until the balancer has received all complete requests, the latest of which is a. On a
// busy machine the read timeout may have ended a's connection before.
func (o *eventRun) waitReceived(a *clientRequest) {
	complete := 0
	for _, a := range o.inOrder {
		if a.complete {
			complete++
		}
	}
	o.waitFor("the request to be received", func() (all bool) {
		ended := false
		select {
		case <-a.ended:
			ended = true
		default:
		}
		o.spy.record(func() { all = o.spy.requests == complete })
		if !all && ended {
			a.complete, a.disconnected = false, true
		}
		return all || ended
	})
}

// disconnect closes a client's connection. If its request is in flight, it waits until the sidecar has
// noticed: its connection has ended, unless a response was being written.
func (o *eventRun) disconnect(a *clientRequest) {
	if a.disconnected {
		return
	}
	conns, before := o.server.Connections(), o.disconnects()
	a.disconnected = true
	a.conn.Close()
	if !a.complete {
		return
	}
	o.waitFor("the disconnect", func() bool {
		o.mu.Lock()
		answered := len(a.codes) > 0
		o.mu.Unlock()
		return answered || o.disconnects() > before || o.server.Connections() < conns
	})
	o.inEngine(func() {})
	o.mu.Lock()
	a.disconnectSeen = o.disconnects() > before
	o.mu.Unlock()
}

// drain has the first endpoint drain, in a list of this version.
func (o *eventRun) drain(version uint64) {
	hosts := slices.Clone(o.hosts)
	hosts[0].Health = "Terminating"
	o.hosts = hosts
	lists := o.spy.listCount(balancer.ListFull)
	o.dir.Change(func() { o.dir.List = fakediscovery.Document{Seq: version, Complete: true, Hosts: hosts} })
	o.waitFor("the list", func() bool { return o.spy.listCount(balancer.ListFull) > lists })
}

// apply performs the nth event.
func (o *eventRun) apply(n int, e event) {
	classes := []string{"read", "pay", "close", "order"}
	switch e.kind {
	case requestArrives, requestStarts:
		if o.shuttingDown {
			return // it may not be accepted any more
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
		o.respond("")
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
	o.harness = &harness{t: t, dialControl: o.blockDial, adjustFront: func(f *httpfront.Options) {
		f.AcceptFor = time.Millisecond
		f.EndBy = func(time.Duration) time.Duration { return testTimeout } // it ends once all is answered
	}}
	o.hosts = []fakediscovery.Host{o.startEndpoint("s-1"), o.startEndpoint("s-2"), o.startEndpoint("s-3")}
	o.dir = fakediscovery.New(t, o.hosts...)
	o.startReady(func(settings map[string]any) {
		limits := settings["limits"].(map[string]any)
		limits["cancel"] = cancel
		limits["dial-timeout"] = time.Minute.Microseconds()
	}, o.hosts...)
	for n, e := range events {
		o.apply(n, e)
	}
	return o.finish()
}

// finish ends a run: blocked dials pass, open attempts are served, and the sidecar ends. It returns the
// invariants that did not hold.
func (o *eventRun) finish() []string {
	o.setDialsPass(true)
	if !o.shuttingDown {
		o.stop()
	}
	for _, a := range o.inOrder {
		if !a.complete && !a.disconnected {
			a.disconnected = true
			a.conn.Close()
		}
	}
	for running := true; running; {
		o.respond(scriptedconn.Served)
		select {
		case err := <-o.ended:
			running = false
			if err != nil {
				o.addViolation("the sidecar ended with %v", err)
			}
		case <-time.After(time.Millisecond):
		}
	}
	for _, a := range o.inOrder {
		if a.disconnected {
			continue
		}
		<-a.ended
		if len(a.codes) != 1 {
			o.addViolation("%s (%s) has responses %v, want one", a.id, a.class, a.codes)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.openAttempts {
		close(a.done)
	}
	return o.violations
}

// Whatever the order of events, an accepted request gets one response, nothing is sent once its client is
// known to have disconnected, a request that is not idempotent has at most one attempt that may run,
// nothing new goes to a draining endpoint, and nothing remains at the end.
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
