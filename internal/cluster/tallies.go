package cluster

import (
	"slices"
	"sync"
	"time"

	"pinedale/balancer"
	"pinedale/internal/cluster/peerspb"
)

// maxTallies bounds the number of servers for which an instance counts attempts. Only changed
// tallies are advertised, so that in a large fleet servers with many outcomes come first.
const maxTallies = 200

// tally counts the outcomes of attempts at one incarnation of a server.
type tally struct {
	attempts  uint64
	failures  uint64
	slowStart uint64 // attempts while the server was warming up
	changed   bool   // since it was last advertised
	updated   time.Time
}

// tallies holds the tallies of all servers. The engine's goroutine updates them and the node's
// goroutine reads them.
type tallies struct {
	slowStartTime time.Duration

	mu            sync.Mutex
	byIncarnation map[string]*tally
	order         []string // incarnations in the order of advertisement, round robin
	observed      int64    // outcomes of attempts and health checks with any status
}

func newTallies(slowStartTime time.Duration) *tallies {
	return &tallies{slowStartTime: slowStartTime, byIncarnation: map[string]*tally{}}
}

// observe counts the outcome of one attempt. An attempt that was not sent or was cancelled counts
// only for the rate.
func (t *tallies) observe(now time.Time, incarnation string, started time.Time, status balancer.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observed++
	if status == balancer.NotSent || status == balancer.Cancelled {
		return
	}
	entry := t.entry(incarnation)
	entry.attempts++
	if isServerFailure(status) {
		entry.failures++
	}
	if !started.IsZero() && now.Sub(started) < t.slowStartTime {
		entry.slowStart++
	}
	entry.changed = true
	entry.updated = now
}

// isServerFailure reports whether a status is evidence that the server fails. A rejection because
// of load is not, and neither is a timeout: the deadline may have been too short.
func isServerFailure(status balancer.Status) bool {
	return status == balancer.Error || status == balancer.Reset || status == balancer.ConnectFailed
}

// entry returns the tally of an incarnation. A new tally replaces the least recently updated one if
// there are too many.
func (t *tallies) entry(incarnation string) *tally {
	if entry := t.byIncarnation[incarnation]; entry != nil {
		return entry
	}
	if len(t.byIncarnation) >= maxTallies {
		t.dropOldest()
	}
	entry := &tally{}
	t.byIncarnation[incarnation] = entry
	t.order = append(t.order, incarnation)
	return entry
}

// dropOldest deletes the least recently updated tally.
func (t *tallies) dropOldest() {
	oldest := ""
	for incarnation, entry := range t.byIncarnation {
		if oldest == "" || entry.updated.Before(t.byIncarnation[oldest].updated) {
			oldest = incarnation
		}
	}
	delete(t.byIncarnation, oldest)
	t.order = slices.DeleteFunc(t.order, func(incarnation string) bool { return incarnation == oldest })
}

// next returns the next changed tally as a record to advertise, nil if none has changed.
func (t *tallies) next() (incarnation string, record *peerspb.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range len(t.order) {
		incarnation = t.order[0]
		t.order = append(t.order[1:], incarnation)
		entry := t.byIncarnation[incarnation]
		if !entry.changed {
			continue
		}
		entry.changed = false
		return incarnation, &peerspb.Server{
			Attempts: entry.attempts,
			Failures: entry.failures,
			Cold:     entry.slowStart,
		}
	}
	return "", nil
}

// rate returns the mean number of outcomes per second since the start.
func (t *tallies) rate(uptime time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.observed) / max(1, uptime.Seconds())
}
