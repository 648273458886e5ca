package main

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/scriptedconn"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// A watch connection stays open but delivers nothing any more. The program opens a new watch, and an endpoint that has
// begun to drain meanwhile gets no new request once the program has received the new list.
func TestDrainIsHonouredAfterWatchStalled(t *testing.T) {
	t.Parallel()
	h := newHarness(t, true)
	h.start()
	wait.Until(t, "the watch", func() bool { return h.discovery.CallCount() > 1 })
	h.discovery.Silence()
	hosts := slices.Clone(h.config.Hosts)
	draining := map[string]bool{}
	for n := range 2 {
		hosts[n].State = fakediscovery.StateTerminating
		draining[hosts[n].Address] = true
	}
	callsBefore := h.discovery.CallCount()
	h.discovery.SetHosts(2, hosts...)
	// A call for lists newer than a version acknowledges that version.
	wait.Until(t, "a new watch that has received version 2", func() bool {
		return slices.ContainsFunc(h.discovery.Queries()[callsBefore:], func(query string) bool {
			return strings.HasPrefix(query, "after=2&")
		})
	})

	const requests = 20
	client := h.dial()
	for range requests {
		h.send(client, "read")
		attempt := h.nextAttempt()
		if draining[attempt.Address] {
			t.Errorf("a request was sent to the draining endpoint %s", attempt.Address)
		}
		attempt.Respond(scriptedconn.Served)
	}
	h.process.Signal(syscall.SIGTERM)
	<-client.Closed()
	h.waitForExit()
	if codes := client.StatusCodes(); len(codes) != requests || client.Err() != nil {
		t.Errorf("%d answers, error %v", len(codes), client.Err())
	}
}

// A program that has no list yet, and whose new configuration is half written, rejects requests and exits on SIGTERM.
func TestEndsWithoutAList(t *testing.T) {
	t.Parallel()
	h := newHarness(t, true)
	discovery := scriptedconn.New(t, scriptedconn.Unresponsive)
	h.config.Hosts = nil
	h.config.Discovery = discovery.Address
	h.startUntil("a query for the list", func() bool { return discovery.RequestCount() > 0 })
	if h.isReady() {
		t.Error("the program is ready without a list")
	}
	testfleet.WriteFile(t, h.configPath, h.config.JSON(t)[:200])
	h.process.Signal(syscall.SIGHUP)
	wait.Until(t, "the log line of the incomplete file", func() bool {
		return h.process.Log.Count("configuration reload failed") == 1
	})
	client := h.dial()
	h.send(client, "read")
	h.process.Signal(syscall.SIGTERM)
	<-client.Closed()
	h.waitForExit()
	codes := client.StatusCodes()
	if len(codes) != 1 || codes[0] != http.StatusServiceUnavailable || client.Err() != nil {
		t.Errorf("answers %v, error %v; want one rejection", codes, client.Err())
	}
}

// Each of many configurations names a discovery service that does not answer. Neither connections nor goroutines of the
// replaced ones may pile up, and the last one is read.
func TestManyReloadsLeaveFewDescriptors(t *testing.T) {
	t.Parallel()
	const (
		reloads        = 40
		maxDescriptors = 8 // two connections each of the current service and two replaced ones, and the file being read
	)
	h := newHarness(t, true)
	h.config.Settings.Discovery = testfleet.DiscoveryPolled
	h.start()
	wait.Until(t, "the watch", func() bool { return h.discovery.CallCount() > 1 })
	before := h.descriptors()
	for range reloads {
		unresponsive := scriptedconn.New(t, scriptedconn.Unresponsive)
		h.reload(unresponsive.Address)
		wait.Until(t, "a call", func() bool { return unresponsive.RequestCount() > 0 })
		if n := h.descriptors() - before; n > maxDescriptors {
			t.Fatalf("%d more descriptors than before the reloads, want at most %d", n, maxDescriptors)
		}
	}
	last := fakediscovery.New(t, h.config.Hosts...)
	h.switchDiscovery(last)
	wait.Until(t, "the watch of the last service", func() bool { return last.CallCount() > 1 })
	wait.Until(t, "the connections to the others to be closed", func() bool { return h.descriptors() <= before+1 })
	h.process.Signal(syscall.SIGTERM)
	h.waitForExit()
}
