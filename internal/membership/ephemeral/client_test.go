package ephemeral

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/standin/fakezookeeper"
)

func TestNodesAreReportedAsTheyChange(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	h.put("c", nodeData(1, ""))
	h.waitNames("a b c")
	h.remove("a")
	h.waitNames("b c")
	h.put("b", nodeData(2, `,"draining":true,"started_ms":5000`))
	h.waitUntil("the new data", func() bool { return h.recorder.node("b").StartedMS == 5000 })
	want := engine.Host{
		Name: "b", Address: "127.0.0.1:2", Site: "arusha", Weight: 1, StartedMS: 5000, State: balancer.Draining,
	}
	if got := h.recorder.node("b"); got != want {
		t.Errorf("node b is %+v, want %+v", got, want)
	}
	// Each read sets the watch again.
	for range 20 {
		h.remove("c")
		h.waitNames("b")
		h.put("c", nodeData(1, ""))
		h.waitNames("b c")
	}
}

func TestCreationOfMissingDirectoryIsNoticed(t *testing.T) {
	h := start(t, 1, nil)
	h.waitUntil("an empty list", func() bool { return h.recorder.snapshotCount() == 1 })
	h.put("a", nodeData(1, ""))
	h.waitNames("a")
}

// Invalid data is logged once and does not affect other nodes. Corrected data is accepted.
func TestInvalidDataIsRejectedOnce(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	h.put("c", []byte("{"))
	h.put("d", nodeData(4, ""))
	h.waitNames("a b d")
	h.put("a", []byte(`{"address":"here"}`))
	h.waitNames("b d")
	for i := range 10 { // other changes do not cause invalid data to be read or logged again
		h.put("b", nodeData(100+i, ""))
		h.remove("d")
		h.waitNames("b")
		h.put("d", nodeData(4, ""))
		h.waitNames("b d")
	}
	if n := h.log.Count("invalid data"); n != 2 {
		t.Errorf("%d lines about invalid data, want 2", n)
	}
	h.put("a", nodeData(1, ""))
	h.put("c", nodeData(3, ""))
	h.waitNames("a b c d")
}

// After a broken connection the list remains, changes that were missed are read, and watches are
// set again.
func TestBrokenConnectionIsReplaced(t *testing.T) {
	h := start(t, 2, longSession, "a", "b")
	h.waitNames("a b")
	for i := range 3 {
		added := fmt.Sprint("n", i)
		h.breakConnections()
		h.put(added, nodeData(1, ""))
		h.remove("b")
		h.waitUntil("the new list", func() bool {
			names := h.recorder.names()
			return strings.Contains(names, added) && !strings.Contains(names, "b")
		})
		h.put("b", nodeData(2, ""))
		h.waitUntil("the watch", func() bool { return strings.Contains(h.recorder.names(), "b") })
		h.remove(added)
		h.waitNames("a b")
	}
	if h.recorder.outageCount() < 3 {
		t.Error("the outages were not reported")
	}
}

// If the client's own session expires, as after a long pause, the directory is read and watched
// again.
func TestExpiredSessionIsReplaced(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	for range 2 {
		snapshots := h.recorder.snapshotCount()
		h.remove("b")
		h.service.ExpireSession(h.service.Sessions()[0])
		h.waitSnapshotAfter(snapshots)
		h.waitNames("a")
		h.put("b", nodeData(1, ""))
		h.waitNames("a b")
	}
}

// A service that stops responding on open connections is reported as unavailable within the
// session timeout. The list remains, and the directory is read once the service responds again.
func TestUnresponsiveServiceIsReported(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	h.service.SetUnresponsive(true)
	h.waitUntil("the outage", func() bool { return h.recorder.outageCount() == 1 })
	h.remove("a")
	h.put("c", nodeData(1, ""))
	if got := h.recorder.names(); got != "a b" {
		t.Errorf("listed in the outage: %q, want the list before it", got)
	}
	h.service.SetUnresponsive(false)
	h.waitNames("b c")
}

func TestSlowServiceIsAvailable(t *testing.T) {
	h := start(t, 2, nil, "a")
	h.waitNames("a")
	h.service.SetDelay(100 * time.Millisecond)
	h.put("b", nodeData(1, ""))
	h.waitNames("a b")
	if n := h.recorder.outageCount(); n != 0 {
		t.Errorf("%d outages of a slow service, want 0", n)
	}
}

func TestServiceThatRejectsConnectionsIsUnavailable(t *testing.T) {
	h := start(t, 2, nil, "a", "b")
	h.waitNames("a b")
	h.service.SetRejecting(true)
	h.waitUntil("the outage", func() bool { return h.recorder.outageCount() > 0 })
	h.put("c", nodeData(1, ""))
	h.service.SetRejecting(false)
	h.waitNames("a b c")
}

// A service may restart with an older or a newer zxid and without its nodes. The list that it
// then has is reported; package reconcile decides about the missing nodes.
func TestRestartedServiceIsReadCompletely(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	for _, zxidChange := range []int64{1000, -900, -100} {
		snapshots := h.recorder.snapshotCount()
		h.service.Restart(zxidChange, true)
		h.waitSnapshotAfter(snapshots)
		h.put("c", nodeData(1, ""))
		h.waitNames("a b c")
		h.remove("c")
		h.waitNames("a b")
	}
}

// If two members have different lists, each is reported as a snapshot.
func TestSplitServiceIsReportedAsEachMemberLists(t *testing.T) {
	h := start(t, 2, longSession, "a", "b", "c")
	h.waitNames("a b c")
	h.service.Member(0).SetStaleView(true, "/soko/a", "/soko/b")
	h.service.Member(1).SetStaleView(true, "/soko/c")
	seen := map[string]bool{}
	for range 64 { // each connection is to a random member: with 8 connections, 1 run in 128 saw one list only
		snapshots := h.recorder.snapshotCount()
		h.breakConnections()
		h.waitSnapshotAfter(snapshots)
		seen[h.recorder.names()] = true
		if len(seen) == 2 {
			break
		}
	}
	if !seen["c"] || !seen["a b"] {
		t.Errorf("seen %v, want both lists", seen)
	}
}

// The digest is sent on each connection. If it is wrong, the node cannot be read.
func TestDigestIsSentOnEachConnection(t *testing.T) {
	service := startService(t, 1)
	service.Put("/soko/a", nodeData(1, ""))
	service.Protect("/soko/a", "reader:secret")
	for digest, want := range map[string]string{"reader:secret": "a", "reader:wrong": ""} {
		h := newHarness(t, service)
		options := h.options()
		options.Digest = digest
		stop := h.run(options)
		if want != "" {
			h.waitNames(want)
			service.Member(0).CloseConnections()
			h.waitUntil("a second list", func() bool { return h.recorder.snapshotCount() == 2 })
		} else {
			h.waitUntil("the rejection", func() bool { return h.log.Count("not authenticated") > 0 })
		}
		h.waitNames(want)
		stop()
	}
	service.Close()
	goleak.VerifyNone(t)
}

// A burst of changes causes no more reads of a large directory than minListInterval allows, and
// reads of nodes only for those that changed.
func TestBurstOfChangesReadsLargeDirectoryRarely(t *testing.T) {
	const nodeCount = 2000
	var names []string
	for i := range nodeCount {
		names = append(names, fmt.Sprintf("n%04d", i))
	}
	h := start(t, 1, longSession, names...)
	h.waitUntil("all nodes", func() bool { return h.recorder.nodeCount() == nodeCount })
	lists := h.service.RequestCount(fakezookeeper.OpGetChildren2)
	reads := h.service.RequestCount(fakezookeeper.OpGetData)
	burstStart := time.Now()
	for range 100 {
		h.remove("n0000")
		time.Sleep(5 * time.Millisecond)
		h.put("n0000", nodeData(1, ""))
		time.Sleep(5 * time.Millisecond)
	}
	h.waitUntil("all nodes again", func() bool { return h.recorder.nodeCount() == nodeCount })
	limit := int(time.Since(burstStart)/minListInterval) + 2
	if n := h.service.RequestCount(fakezookeeper.OpGetChildren2) - lists; n > limit {
		t.Errorf("the directory was read %d times, want at most %d", n, limit)
	}
	if n := h.service.RequestCount(fakezookeeper.OpGetData) - reads; n > 220 {
		t.Errorf("%d nodes were read for 200 changes of one node, want at most 220", n)
	}
}
