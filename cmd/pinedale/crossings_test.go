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

// latestAnswer is how long after SIGTERM every request is still answered by its outcome. The program ends what is in
// flight after 3.45 s, since the longest deadline of its classes is over 3 s. On a busy machine, a test that responds
// later than this may rightly see a rejection or a failure.
const latestAnswer = 3 * time.Second

// attemptEnd is how an attempt ends.
type attemptEnd struct {
	name     string
	response string
	mayRun   bool // as far as the program can know
	code     int  // that the client receives if the request is not idempotent
}

var attemptEnds = []attemptEnd{
	{"served", scriptedconn.Served, true, http.StatusOK},
	{"failing", scriptedconn.Failing, true, http.StatusBadGateway},
	{"full", scriptedconn.Full, false, 0},
	{"reset", testfleet.ResetConnection, true, http.StatusBadGateway},
	{"truncated body", testfleet.TruncatedBody, true, http.StatusBadGateway},
	{"truncated head", testfleet.TruncatedHead, true, http.StatusBadGateway},
}

// crossing is what happens while an attempt is in flight.
type crossing string

const (
	noCrossing       crossing = "nothing"
	shutdown         crossing = "SIGTERM"
	secondShutdown   crossing = "SIGTERM twice and the end of the listener"
	reload           crossing = "SIGHUP"
	reloadShutdown   crossing = "SIGHUP and SIGTERM"
	clientDisconnect crossing = "a client's disconnect"
)

var crossings = []crossing{
	noCrossing, shutdown, secondShutdown, reload, reloadShutdown, clientDisconnect,
}

// shutsDown reports whether the program is shutting down when the attempt ends.
func (c crossing) shutsDown() bool {
	return c == shutdown || c == secondShutdown || c == reloadShutdown
}

// crossingCase is one combination of what TestCrossings varies.
type crossingCase struct {
	class        string
	end          attemptEnd
	crossing     crossing
	cancel       bool // the settings permit to cancel attempts
	singleThread bool // as the platform runs the program
}

// crossingCases returns all combinations of class, end and crossing. The other fields alternate.
func crossingCases() []crossingCase {
	var cases []crossingCase
	for _, class := range classes {
		for _, end := range attemptEnds {
			for _, crossing := range crossings {
				number := len(cases) + 1
				cases = append(cases, crossingCase{
					class:        class,
					end:          end,
					crossing:     crossing,
					cancel:       number%2 == 0,
					singleThread: number%4 < 2,
				})
			}
		}
	}
	return cases
}

// Whatever the end of an attempt, and whatever happens while it is in flight, an accepted request gets one final
// answer. A request that is not idempotent is retried only if it never ran, nothing is sent for a client that has
// disconnected, and no connection stays open.
func TestCrossings(t *testing.T) {
	for _, test := range crossingCases() {
		name := fmt.Sprintf("%s ends %s crossed by %s", test.class, test.end.name, test.crossing)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.run(t)
		})
	}
}

// run sends a request, lets the crossing happen while its first attempt is in flight, and checks what follows.
func (test crossingCase) run(t *testing.T) {
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
	crossed := time.Now()
	h.cross(test.crossing, client)
	attempt.Respond(test.end.response)
	h.endAfter(test.crossing, client)
	if test.crossing != clientDisconnect {
		test.checkAnswer(t, client, time.Since(crossed))
	}
	h.waitForExit()
	test.checkAttempts(t, h.attempts(id), client.StatusCodes())
	wait.Until(t, "connections to backends to end", func() bool { return h.backends.OpenConnCount() == 0 })
}

// cross has a crossing happen and waits until the program knows of it.
func (h *harness) cross(c crossing, client *testfleet.Client) {
	h.t.Helper()
	switch c {
	case noCrossing:
	case reload, reloadShutdown:
		other := fakediscovery.New(h.t, h.config.Hosts...)
		h.switchDiscovery(other)
		if c == reloadShutdown {
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
		wait.Until(h.t, "the program to notice", func() bool { return !h.hasConnection(client.LocalAddr()) })
	}
}

// endAfter has the program end after a crossing. It returns once the client's connection has ended, if the client is
// still there.
func (h *harness) endAfter(c crossing, client *testfleet.Client) {
	h.t.Helper()
	switch c {
	case clientDisconnect:
		h.process.Signal(syscall.SIGTERM)
		return
	case noCrossing, reload:
		// The request is answered and its connection becomes idle: shutdown closes it.
		select {
		case <-client.Responded():
		case <-client.Closed():
		}
		h.process.Signal(syscall.SIGTERM)
	}
	<-client.Closed()
}

// checkAnswer checks that the client got one answer, of the code that the case requires. took is the time since
// the crossing.
func (test crossingCase) checkAnswer(t *testing.T, client *testfleet.Client, took time.Duration) {
	t.Helper()
	want := http.StatusOK
	if test.class == "order" && test.end.mayRun {
		want = test.end.code
	}
	late := test.crossing.shutsDown() && took > latestAnswer
	codes := client.StatusCodes()
	if len(codes) != 1 || codes[0] != want && !late || client.Err() != nil {
		t.Errorf("answers %v, %v; want %d", codes, client.Err(), want)
	}
}

// checkAttempts checks the number of attempts of a request whose client got these answers.
func (test crossingCase) checkAttempts(t *testing.T, attempts int, codes []int) {
	t.Helper()
	minAttempts, maxAttempts := 1, 3
	switch {
	case test.crossing == clientDisconnect, test.class == "order" && test.end.mayRun:
		maxAttempts = 1
	case test.end.response != scriptedconn.Served && len(codes) == 1 && codes[0] == http.StatusOK:
		minAttempts = 2
	}
	if attempts < minAttempts || attempts > maxAttempts {
		t.Errorf("%d attempts, want %d to %d", attempts, minAttempts, maxAttempts)
	}
}
