package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// latestAnswer is the time after SIGTERM within which every request is still answered by the outcome of its attempt.
// The program ends requests in flight after 3.45 s, since the longest deadline of its classes is over 3 s. If the test
// responds later than this on a busy machine, a rejection or a failure is correct.
const latestAnswer = 3 * time.Second

// attemptEnd is how an attempt ends.
type attemptEnd struct {
	name     string
	response string
	mayRun   bool // the endpoint may have processed the request, as far as the program can know
	code     int  // received by the client if the request is not idempotent
}

var attemptEnds = []attemptEnd{
	{"served", scriptedconn.Served, true, http.StatusOK},
	{"failing", scriptedconn.Failing, true, http.StatusBadGateway},
	{"full", scriptedconn.Full, false, 0},
	{"reset", testfleet.ResetConnection, true, http.StatusBadGateway},
	{"truncated body", testfleet.TruncatedBody, true, http.StatusBadGateway},
	{"truncated head", testfleet.TruncatedHead, true, http.StatusBadGateway},
}

// concurrentEvent is an event that occurs while an attempt is in flight.
type concurrentEvent string

const (
	noEvent          concurrentEvent = "nothing"
	shutdown         concurrentEvent = "SIGTERM"
	secondShutdown   concurrentEvent = "SIGTERM twice and the end of the listener"
	reload           concurrentEvent = "SIGHUP"
	reloadShutdown   concurrentEvent = "SIGHUP and SIGTERM"
	clientDisconnect concurrentEvent = "a client's disconnect"
)

var concurrentEvents = []concurrentEvent{
	noEvent, shutdown, secondShutdown, reload, reloadShutdown, clientDisconnect,
}

// shutsDown reports whether the program is shutting down when the attempt ends.
func (event concurrentEvent) shutsDown() bool {
	return event == shutdown || event == secondShutdown || event == reloadShutdown
}

// eventCase is one combination of the parameters of TestCrossings.
type eventCase struct {
	class        string
	end          attemptEnd
	event        concurrentEvent
	cancel       bool // the settings permit to cancel attempts
	singleThread bool // GOMAXPROCS is 1, as on the platform
}

// eventCases returns all combinations of class, end and event. The other fields alternate.
func eventCases() []eventCase {
	var cases []eventCase
	for _, class := range classes {
		for _, end := range attemptEnds {
			for _, event := range concurrentEvents {
				number := len(cases) + 1
				cases = append(cases, eventCase{
					class:        class,
					end:          end,
					event:        event,
					cancel:       number%2 == 0,
					singleThread: number%4 < 2,
				})
			}
		}
	}
	return cases
}

// Whatever event occurs while an attempt is in flight, and however the attempt ends, an accepted request gets one final
// answer. A request that is not idempotent is retried only if it never ran, nothing is sent for a client that has
// disconnected, and no connection stays open.
func TestCrossings(t *testing.T) {
	for _, test := range eventCases() {
		name := fmt.Sprintf("%s ends %s crossed by %s", test.class, test.end.name, test.event)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.run(t)
		})
	}
}

// run sends a request, triggers the event while its first attempt is in flight, and checks the answer and the attempts.
func (test eventCase) run(t *testing.T) {
	h := newHarness(t, test.cancel)
	var env []string
	if test.singleThread {
		env = append(env, "GOMAXPROCS=1")
	}
	h.start(env...)
	client := h.dial()
	id := h.send(client, test.class)
	attempt := h.nextAttempt()
	h.serveAtOnce.Store(true)
	eventTime := time.Now()
	h.triggerEvent(test.event, client)
	attempt.Respond(test.end.response)
	h.endAfter(test.event, client)
	if test.event != clientDisconnect {
		test.checkAnswer(t, client, time.Since(eventTime))
	}
	h.waitForExit()
	test.checkAttempts(t, h.attempts(id), client.StatusCodes())
	wait.Until(t, "connections to backends to end", func() bool { return h.backends.OpenConnCount() == 0 })
}

// triggerEvent triggers an event and waits until the program has observed it.
func (h *harness) triggerEvent(event concurrentEvent, client *testfleet.Client) {
	h.t.Helper()
	switch event {
	case noEvent:
	case reload, reloadShutdown:
		other := fakediscovery.New(h.t, h.config.Hosts...)
		h.switchDiscovery(other)
		if event == reloadShutdown {
			h.beginShutdown()
			return
		}
		wait.Until(h.t, "a query to the new address", func() bool { return other.CallCount() > 0 })
	case shutdown:
		h.beginShutdown()
	case secondShutdown:
		h.beginShutdown()
		h.process.Signal(syscall.SIGTERM)
		wait.Until(h.t, "connections to be rejected", func() bool {
			conn, err := net.Dial("tcp", h.config.Listen)
			if err == nil {
				conn.Close()
			}
			return err != nil
		})
	case clientDisconnect:
		client.Close()
		wait.Until(h.t, "the program to close the client's connection",
			func() bool { return !h.hasConnection(client.LocalAddr()) })
	}
}

// endAfter makes the program end after an event. It returns once the client's connection has ended, if the client is
// still connected.
func (h *harness) endAfter(event concurrentEvent, client *testfleet.Client) {
	h.t.Helper()
	switch event {
	case clientDisconnect:
		h.process.Signal(syscall.SIGTERM)
		return
	case noEvent, reload:
		// The request is answered and its connection becomes idle. Shutdown closes idle connections.
		select {
		case <-client.Responded():
		case <-client.Closed():
		}
		h.process.Signal(syscall.SIGTERM)
	}
	<-client.Closed()
}

// checkAnswer checks that the client received one answer, with the status code that the case requires. took is the time
// since the event.
func (test eventCase) checkAnswer(t *testing.T, client *testfleet.Client, took time.Duration) {
	t.Helper()
	want := http.StatusOK
	if test.class == "order" && test.end.mayRun {
		want = test.end.code
	}
	late := test.event.shutsDown() && took > latestAnswer
	codes := client.StatusCodes()
	if len(codes) != 1 || codes[0] != want && !late || client.Err() != nil {
		t.Errorf("answers %v, %v; want %d", codes, client.Err(), want)
	}
}

// checkAttempts checks the number of attempts of a request. codes are the status codes that its client received.
func (test eventCase) checkAttempts(t *testing.T, attempts int, codes []int) {
	t.Helper()
	minAttempts, maxAttempts := 1, 3
	switch {
	case test.event == clientDisconnect, test.class == "order" && test.end.mayRun:
		maxAttempts = 1
	case test.end.response != scriptedconn.Served && len(codes) == 1 && codes[0] == http.StatusOK:
		minAttempts = 2
	}
	if attempts < minAttempts || attempts > maxAttempts {
		t.Errorf("%d attempts, want %d to %d", attempts, minAttempts, maxAttempts)
	}
}
