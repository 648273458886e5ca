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
	h.drop("a")
	h.waitNames("b c")
	h.put("b", nodeData(2, `,"draining":true,"started_ms":5000`))
	h.waitUntil("the new data", func() bool { return h.recorder.node("b").Host.StartedMS == 5000 })
	want := engine.Host{
		Name: "b", Address: "127.0.0.1:2", Site: "arusha", Weight: 1, StartedMS: 5000, State: balancer.Draining,
	}
	if got := h.recorder.node("b").Host; got != want {
		t.Errorf("b is %+v, want %+v", got, want)
	}
	// Watches are set again each time.
	for range 20 {
		h.drop("c")
		h.waitNames("b")
		h.put("c", nodeData(1, ""))
		h.waitNames("b c")
	}
}

func TestMissingDirectoryIsWatchedFor(t *testing.T) {
	h := start(t, 1, nil)
	h.waitUntil("an empty list", func() bool { return h.recorder.snapshotCount() == 1 })
	h.put("a", nodeData(1, ""))
	h.waitNames("a")
}

// Invalid data is one line in the log and leaves the other nodes alone; corrected, it counts.
func TestInvalidDataIsRejectedOnce(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	h.put("c", []byte("{"))
	h.put("d", nodeData(4, ""))
	h.waitNames("a b d")
	h.put("a", []byte(`{"address":"here"}`))
	h.waitNames("b d")
	for i := range 10 { // other changes do not have it read, or logged, again
		h.put("b", nodeData(100+i, ""))
		h.drop("d")
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

// After a broken connection the list stands, what changed meanwhile is read, and watches
// are set again.
func TestBrokenConnectionIsReplaced(t *testing.T) {
	h := start(t, 2, longSession, "a", "b")
	h.waitNames("a b")
	for i := range 3 {
		h.breakConnections()
		h.put(fmt.Sprint("n", i), nodeData(1, ""))
		h.drop("b")
		h.waitUntil("the new list", func() bool {
			names := h.recorder.names()
			return strings.Contains(names, fmt.Sprint("n", i)) && !strings.Contains(names, "b")
		})
		h.put("b", nodeData(2, ""))
		h.waitUntil("the watch", func() bool { return strings.Contains(h.recorder.names(), "b") })
		h.drop(fmt.Sprint("n", i))
		h.waitNames("a b")
	}
	if h.recorder.outageCount() < 3 {
		t.Error("the outages were not reported")
	}
}

// If the client's own session expires, as after a long pause, all is read anew, and watched.
func TestExpiredSessionIsReplaced(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	for range 2 {
		snapshots := h.recorder.snapshotCount()
		h.drop("b")
		h.service.ExpireSession(h.service.Sessions()[0])
		h.waitSnapshotAfter(snapshots)
		h.waitNames("a")
		h.put("b", nodeData(1, ""))
		h.waitNames("a b")
	}
}

// A service that stops answering with its connections open is noticed within the session
// timeout, and reported; the list stands, and all is read when it answers again.
func TestUnresponsiveServiceIsReported(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	h.service.SetUnresponsive(true)
	h.waitUntil("the outage", func() bool { return h.recorder.outageCount() == 1 })
	h.drop("a")
	h.put("c", nodeData(1, ""))
	if got := h.recorder.names(); got != "a b" {
		t.Errorf("listed in the outage: %q", got)
	}
	h.service.SetUnresponsive(false)
	h.waitNames("b c")
}

// A service that rejects connections is unavailable; one that answers slowly is not.
func TestRejectedConnectionIsAnOutageAndDelayIsNot(t *testing.T) {
	h := start(t, 2, nil, "a")
	h.waitNames("a")
	h.service.SetDelay(100 * time.Millisecond)
	h.put("b", nodeData(1, ""))
	h.waitNames("a b")
	if n := h.recorder.outageCount(); n != 0 {
		t.Errorf("%d outages of a slow service", n)
	}
	h.service.SetDelay(0)
	h.service.SetRejecting(true)
	h.waitUntil("the outage", func() bool { return h.recorder.outageCount() > 0 })
	h.put("c", nodeData(1, ""))
	h.service.SetRejecting(false)
	h.waitNames("a b c")
}

// A service may restart with an older or a newer zxid, and lose every node with its
// sessions. What it then lists is reported, for package reconcile to decide on.
func TestRestartedServiceIsReadAnew(t *testing.T) {
	h := start(t, 1, nil, "a", "b")
	h.waitNames("a b")
	for _, by := range []int64{1000, -900, -100} {
		snapshots := h.recorder.snapshotCount()
		h.service.Restart(by, true)
		h.waitSnapshotAfter(snapshots)
		h.put("c", nodeData(1, ""))
		h.waitNames("a b c")
		h.drop("c")
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
	for range 64 { // the member is drawn anew each time: 8 were too few once in 128 runs
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

// A digest is presented if one is set, and again on each connection.
func TestDigestIsPresentedOnEachConnection(t *testing.T) {
	service := startService(t, 1)
	service.Put("/soko/a", nodeData(1, ""))
	service.Protect("/soko/a", "reader:secret")
	for digest, want := range map[string]string{"reader:secret": "a", "reader:wrong": ""} {
		h := newHarness(t, service)
		o := h.options()
		o.Digest = digest
		stop := h.run(o)
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

// Two thousand nodes are read in the time of a few round trips, and a burst of changes has
// the directory read no more often than minListInterval allows.
func TestBurstOfChangesReadsLargeDirectoryRarely(t *testing.T) {
	var names []string
	for i := range 2000 {
		names = append(names, fmt.Sprintf("n%04d", i))
	}
	h := start(t, 1, longSession, names...)
	h.waitUntil("all nodes", func() bool { return h.recorder.nodeCount() == 2000 })
	lists, reads, began := h.service.RequestCount(fakezookeeper.OpGetChildren2), h.service.RequestCount(fakezookeeper.OpGetData), time.Now()
	for i := range 200 { // removed and put a hundred times
		if i%2 == 0 {
			h.drop("n0000")
		} else {
			h.put("n0000", nodeData(1, ""))
		}
		time.Sleep(5 * time.Millisecond)
	}
	h.waitUntil("all nodes again", func() bool { return h.recorder.nodeCount() == 2000 })
	limit := int(time.Since(began)/minListInterval) + 2
	if n := h.service.RequestCount(fakezookeeper.OpGetChildren2) - lists; n > limit {
		t.Errorf("the directory was read %d times, want at most %d", n, limit)
	}
	if n := h.service.RequestCount(fakezookeeper.OpGetData) - reads; n > 220 {
		t.Errorf("%d nodes were read for 200 changes of one", n)
	}
}
