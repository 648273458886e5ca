package cluster

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinedale/balancer"
	"pinedale/internal/cluster/peerspb"
	"pinedale/internal/replication"
)

// The topics that instances tell of.
const (
	topicInstance replication.Topic = iota + 1 // one entry: who and where it is
	topicServer                                // one for each life of a server: how it has fared
	topicDrain                                 // one for each life of a server that the origin's own source lists as draining; no value
)

// recordLife is for how long an entry counts. Each is told anew well within it.
const recordLife = 5 * time.Minute

var topics = map[replication.Topic]replication.Rule{
	topicInstance: {TTL: recordLife, Check: func(b []byte) error {
		v := &peerspb.Instance{}
		if err := proto.Unmarshal(b, v); err != nil {
			return err
		}
		if r := v.GetRequests(); math.IsNaN(r) || math.IsInf(r, 0) || r < 0 {
			return fmt.Errorf("requests: %v a second", r)
		}
		return nil
	}},
	topicDrain: {TTL: recordLife, Indexed: true, Check: func(b []byte) error {
		if len(b) > 0 {
			return fmt.Errorf("%d bytes where there is no value", len(b))
		}
		return nil
	}},
	topicServer: {TTL: recordLife, Check: func(b []byte) error {
		v := &peerspb.Server{}
		if err := proto.Unmarshal(b, v); err != nil {
			return err
		}
		if v.GetFailures() > v.GetAttempts() || v.GetCold() > v.GetAttempts() {
			return errors.New("more failures than attempts")
		}
		return nil
	}},
}

// tally counts what came of the attempts at one life of a server. It only grows.
type tally struct {
	attempts, failures, cold uint64
	changed                  bool // since it was told last
	at                       time.Time
}

// tallies are those of one instance. The engine's goroutine adds to them, and the host's
// tells them: the lock is held for a few instructions.
type tallies struct {
	warmWithin time.Duration
	of         map[string]*tally
	order      []string // in which they are told, in turns
}

// talliesMost bounds the servers that are told of: those of a large fleet that fare badly
// show up first, since they are told of when something changes.
const talliesMost = 200

// serverLife names one life of a server.
func serverLife(name string, born int64) string { return fmt.Sprintf("%s@%d", name, born) }

// add counts one end. What was never sent counts nothing.
func (t *tallies) add(now time.Time, life string, born time.Time, s balancer.Status) {
	if s == balancer.NotSent || s == balancer.Cancelled {
		return
	}
	x := t.of[life]
	if x == nil {
		if len(t.of) >= talliesMost {
			t.dropOldest()
		}
		x = &tally{}
		t.of[life], t.order = x, append(t.order, life)
	}
	x.attempts++
	// A full server and a client that had too little time say nothing of how well it does.
	if s == balancer.Error || s == balancer.Reset || s == balancer.ConnectFailed {
		x.failures++
	}
	if !born.IsZero() && now.Sub(born) < t.warmWithin {
		x.cold++
	}
	x.changed, x.at = true, now
}

func (t *tallies) dropOldest() {
	oldest := ""
	for life, x := range t.of {
		if oldest == "" || x.at.Before(t.of[oldest].at) {
			oldest = life
		}
	}
	delete(t.of, oldest)
	t.order = slices.DeleteFunc(t.order, func(l string) bool { return l == oldest })
}

// next returns the next server of which there is news, in turns.
func (t *tallies) next() (life string, v *peerspb.Server, ok bool) {
	for range len(t.order) {
		life = t.order[0]
		t.order = append(t.order[1:], life)
		if x := t.of[life]; x.changed {
			x.changed = false
			return life, &peerspb.Server{Attempts: x.attempts, Failures: x.failures, Cold: x.cold}, true
		}
	}
	return "", nil, false
}
