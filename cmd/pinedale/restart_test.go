package main

import (
	"net/http"
	"syscall"
	"testing"

	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// A program that is killed with requests in flight and restarted under its name and address serves at once. It does not
// resend requests: its clients' connections were reset, and only the clients know what they retry.
func TestRestartAfterKillServes(t *testing.T) {
	t.Parallel()
	h := newHarness(t, true)
	h.start()
	var clients []*testfleet.Client
	classByID := map[string]string{}
	for _, class := range classes {
		client := h.dial()
		classByID[h.send(client, class)] = class
		clients = append(clients, client)
	}
	var inFlight []*testfleet.Attempt
	for range clients {
		inFlight = append(inFlight, h.nextAttempt())
	}
	h.process.Signal(syscall.SIGKILL)
	if err := h.process.Wait(wait.Timeout); err == nil {
		t.Error("the killed process exited without an error")
	}
	for _, client := range clients {
		<-client.Closed()
		if codes := client.StatusCodes(); len(codes) > 0 {
			t.Errorf("answers %v from the killed process, want none", codes)
		}
	}

	h.start("GOMAXPROCS=1")
	h.serveAtOnce.Store(true)
	for _, attempt := range inFlight {
		attempt.Respond(scriptedconn.Served)
	}
	client := h.dial()
	h.send(client, "pay")
	h.send(client, "order")
	<-client.Responded()
	h.process.Signal(syscall.SIGTERM)
	<-client.Closed()
	h.waitForExit()
	if codes := client.StatusCodes(); len(codes) == 0 || codes[0] != http.StatusOK {
		t.Errorf("after the restart: answers %v, error %v; want 200 first", codes, client.Err())
	}
	for id, class := range classByID {
		if n := h.attempts(id); n != 1 {
			t.Errorf("the request of class %s was sent %d times, want once", class, n)
		}
	}
}
