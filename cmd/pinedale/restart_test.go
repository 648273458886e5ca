package main

import (
	"net/http"
	"syscall"
	"testing"

	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// A program that is killed with requests in flight and started again under its name and address serves at once, and
// sends nothing again: the connections of its clients were reset, and only they know what they retry.
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
		t.Error("a process that was killed ended without an error")
	}
	for _, client := range clients {
		<-client.Closed()
		if codes := client.StatusCodes(); len(codes) > 0 {
			t.Errorf("answers %v from a process that was killed", codes)
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
		t.Errorf("after the restart: answers %v, %v", codes, client.Err())
	}
	for id, class := range classByID {
		if n := h.attempts(id); n != 1 {
			t.Errorf("%s was sent %d times", class, n)
		}
	}
}
