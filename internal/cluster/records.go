package cluster

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/balancer"
	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/replication"
)

// The topics of replicated entries. Their numbers go over the wire.
const (
	// topicInstance has one entry: the origin itself.
	topicInstance replication.Topic = iota + 1
	// topicServer has one entry per server incarnation: how the origin's attempts fared.
	topicServer
	// topicDrain has one entry, without a value, per server incarnation that the origin's source
	// lists as draining.
	topicDrain
)

// entryTTL is how long an entry counts. Each is written anew well within it.
const entryTTL = 5 * time.Minute

var topics = map[replication.Topic]replication.Rule{
	topicInstance: {TTL: entryTTL, Check: checkInstance},
	topicServer:   {TTL: entryTTL, Check: checkServer},
	topicDrain:    {TTL: entryTTL, Check: checkDrain, Indexed: true},
}

func checkInstance(value []byte) error {
	instance := &peerspb.Instance{}
	if err := proto.Unmarshal(value, instance); err != nil {
		return err
	}
	if rate := instance.GetRequests(); math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return fmt.Errorf("requests: %v a second", rate)
	}
	return nil
}

func checkServer(value []byte) error {
	server := &peerspb.Server{}
	if err := proto.Unmarshal(value, server); err != nil {
		return err
	}
	if server.GetFailures() > server.GetAttempts() || server.GetCold() > server.GetAttempts() {
		return errors.New("more failures than attempts")
	}
	return nil
}

func checkDrain(value []byte) error {
	if len(value) > 0 {
		return fmt.Errorf("%d bytes where there is no value", len(value))
	}
	return nil
}

// incarnationOf names one incarnation of a server: a name started at an instant.
func incarnationOf(name string, startedMS int64) string { return fmt.Sprintf("%s@%d", name, startedMS) }

// maxTallies bounds the servers that an instance counts attempts for. In a large fleet those
// that fare badly are advertised first, since an entry is written when something changes.
const maxTallies = 200

// tally counts the ends of attempts at one incarnation of a server.
type tally struct {
	attempts  uint64
	failures  uint64
	slowStart uint64 // attempts while the server was warming up
	changed   bool   // since it was last advertised
	updated   time.Time
}

// tallies are those of all servers. The engine's goroutine adds to them and the node's reads
// them: the lock is held for a few instructions.
type tallies struct {
	slowStartTime time.Duration

	mu            sync.Mutex
	byIncarnation map[string]*tally
	order         []string // in which they are advertised, round robin
	observed      int64    // ends of attempts and probes of any status
}

func newTallies(slowStartTime time.Duration) *tallies {
	return &tallies{slowStartTime: slowStartTime, byIncarnation: map[string]*tally{}}
}

// observe counts the end of one attempt. One that was not sent or was cancelled counts for the
// rate alone.
func (t *tallies) observe(now time.Time, incarnation string, started time.Time, status balancer.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observed++
	if status == balancer.NotSent || status == balancer.Cancelled {
		return
	}
	entry := t.entry(incarnation)
	entry.attempts++
	// A rejection for load or a deadline that was too short says nothing of the server's health.
	if status == balancer.Error || status == balancer.Reset || status == balancer.ConnectFailed {
		entry.failures++
	}
	if !started.IsZero() && now.Sub(started) < t.slowStartTime {
		entry.slowStart++
	}
	entry.changed = true
	entry.updated = now
}

// entry returns an incarnation's tally, a new one in place of the one longest unchanged if there
// is none.
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

// next returns the next tally that has changed as a record to advertise, nil if none has.
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
		return incarnation, &peerspb.Server{Attempts: entry.attempts, Failures: entry.failures, Cold: entry.slowStart}
	}
	return "", nil
}

// rate returns the ends of attempts and probes a second since the start.
func (t *tallies) rate(uptime time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.observed) / max(1, uptime.Seconds())
}
