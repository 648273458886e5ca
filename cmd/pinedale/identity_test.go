package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// A request that is not idempotent and whose client has left may have run. It must not run again when a client sends
// its id once more.
func TestIDOfDisconnectedClientDoesNotRunTwice(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		h := newHarness(t, cancel)
		h.start("GOMAXPROCS=1")
		first := h.dial()
		request := testfleet.Request{
			ID:       testfleet.NewRequestID(),
			Class:    "order",
			Path:     "x",
			Body:     "body",
			TimeLeft: clientTimeout,
		}
		text := request.Text(t, h.config.Listen)
		first.MustWrite(t, text)
		attempt := h.nextAttempt()
		h.serveAtOnce.Store(true)
		first.Close()
		wait.Until(t, "the program to close the client's connection",
			func() bool { return !h.hasConnection(first.LocalAddr()) })
		second := h.dial()
		second.MustWrite(t, text)
		<-second.Closed()
		attempt.Respond(scriptedconn.Served)
		if n := h.attempts(request.ID); n != 1 {
			t.Errorf("cancelling permitted %v: the request was sent %d times, want once", cancel, n)
		}
		if codes := second.StatusCodes(); len(codes) != 1 || codes[0] != http.StatusConflict {
			t.Errorf("cancelling permitted %v: answers %v to the repeated id, want %d", cancel, codes, http.StatusConflict)
		}
	}
}

// forwardingGrace is how long after its client's close an attempt at a request may still begin.
const forwardingGrace = 100 * time.Millisecond

// Nothing is forwarded for a client that has closed its connection, however much of what it sent is still unread.
func TestUnreadRequestsOfClosedConnectionAreNotForwarded(t *testing.T) {
	for _, pipelined := range []int{0, 10, 2_000} {
		h := newHarness(t, true)
		h.start("GOMAXPROCS=1")
		client := h.dial()
		request := testfleet.Request{Class: "read", Path: "x", TimeLeft: clientTimeout}
		var ids []string
		var text strings.Builder
		for range 1 + pipelined {
			request.ID = testfleet.NewRequestID()
			ids = append(ids, request.ID)
			text.WriteString(request.Text(t, h.config.Listen))
		}
		client.MustWrite(t, text.String())
		client.Close()
		time.Sleep(forwardingGrace)
		before := map[string]int{}
		for _, id := range ids {
			before[id] = h.attempts(id)
		}
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for len(h.arrivals) > 0 {
				(<-h.arrivals).Respond(scriptedconn.Failing)
			}
		}
		for _, id := range ids {
			if n := h.attempts(id); n > before[id] {
				t.Errorf("%d requests behind: request %s was sent over %v after its client's close", pipelined, id, forwardingGrace)
			}
		}
	}
}

// A process that came up at the address of one that has gone is another endpoint. A request that may have run, and is
// deduplicated in its cell only, must not be retried at that address once the list names the new process there, in
// another cell.
func TestNewProcessAtOldAddressIsNotTakenForTheOldOne(t *testing.T) {
	h := newHarness(t, true)
	for i := range h.backends.Hosts {
		h.backends.Hosts[i].Cell = 1
	}
	h.config.Hosts = h.backends.Hosts[:2]
	h.discovery.SetHosts(1, h.config.Hosts...)
	h.start()
	client := h.dial()
	id := h.send(client, "close")
	attempt := h.nextAttempt()
	gone := h.config.Hosts[0]
	if attempt.Address == gone.Address {
		gone = h.config.Hosts[1]
	}

	successor := fakediscovery.Ready("s-successor", gone.Address)
	successor.Cell = 2
	successor.StartedMS = time.Now().UnixMilli()
	h.discovery.ApplyChanges(successor)
	wait.Until(t, "the change to be received", func() bool {
		_, received := h.discovery.Acknowledged(2)
		return received
	})
	h.serveAtOnce.Store(true)
	attempt.Respond(scriptedconn.Failing)
	<-client.Responded()
	if n := h.attempts(id); n != 1 {
		t.Errorf("the request was sent %d times, want once: its second attempt reached another process", n)
	}
	if codes := client.StatusCodes(); len(codes) != 1 || codes[0] != http.StatusBadGateway {
		t.Errorf("answers %v, want %d", codes, http.StatusBadGateway)
	}
}
