package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// entryID identifies an entry across all stores.
type entryID struct {
	origin Origin
	seq    uint64
}

// delayedRumour is a rumour that the simulated network has not delivered yet.
type delayedRumour struct {
	to     int
	rumour Rumour
}

// fleet is a number of stores on virtual time whose messages are lost, duplicated and delayed.
type fleet struct {
	t         *rapid.T
	now       time.Duration
	limits    Limits
	stores    []*Store
	epochs    []uint64
	writers   map[Origin]*Store         // the reference: the store of each incarnation
	writtenAt map[entryID]time.Duration // by the writer's clock
	network   []delayedRumour
}

func newFleet(t *rapid.T) *fleet {
	size := rapid.IntRange(2, 6).Draw(t, "stores")
	f := &fleet{
		t:         t,
		limits:    DefaultLimits,
		stores:    make([]*Store, size),
		epochs:    make([]uint64, size),
		writers:   map[Origin]*Store{},
		writtenAt: map[entryID]time.Duration{},
	}
	f.limits.MaxMessageBytes = rapid.IntRange(60, 1100).Draw(t, "message")
	for i := range size {
		f.start(i)
	}
	return f
}

// start starts the next incarnation of an instance.
func (f *fleet) start(i int) {
	f.epochs[i] += 10
	s := NewStore(Origin{Name: fmt.Sprint("i-", i), Epoch: f.epochs[i]}, testRules, f.limits)
	f.stores[i] = s
	f.writers[s.Self()] = s
}

// step draws one event.
func (f *fleet) step() {
	t := f.t
	i := rapid.IntRange(0, len(f.stores)-1).Draw(t, "store")
	other := rapid.IntRange(0, len(f.stores)-1).Draw(t, "other")
	s := f.stores[i]
	subject := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "subject"))
	events := []string{"put", "put", "put", "withdraw", "gossip", "gossip", "deliver", "deliver",
		"compare", "wait", "restart", "expire"}
	switch rapid.SampledFrom(events).Draw(t, "event") {
	case "put":
		value := byte(rapid.IntRange(0, 200).Draw(t, "value"))
		mustPut(t, s, f.now, checkedTopic, subject, string([]byte{value, 1}))
		f.writtenAt[entryID{s.Self(), s.seq}] = f.now
	case "withdraw":
		s.Withdraw(f.now, checkedTopic, subject)
	case "gossip":
		for _, r := range s.Rumours(f.now) {
			f.network = append(f.network, delayedRumour{to: other, rumour: r})
		}
	case "deliver":
		if len(f.network) > 0 { // any message, which may be delivered again later
			m := f.network[rapid.IntRange(0, len(f.network)-1).Draw(t, "message")]
			f.stores[m.to].HandleRumour(f.now, m.rumour)
		}
	case "compare":
		runAntiEntropy(f.now, s, f.stores[other], func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 })
	case "wait":
		f.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
	case "restart":
		f.start(i)
	case "expire":
		s.Expire(f.now)
	}
}

// settle delivers all delayed messages and has all stores compare with each other.
func (f *fleet) settle() {
	for _, m := range f.network {
		f.stores[m.to].HandleRumour(f.now, m.rumour)
	}
	for range f.stores {
		for _, a := range f.stores {
			for _, b := range f.stores {
				if a != b {
					runAntiEntropy(f.now, a, b, loseNothing)
				}
			}
		}
	}
}

// view returns the entries of a store that have not expired by their writers' clocks. Time on
// the network counts in no age: an entry that was delayed may be stored longer by as much.
func (f *fleet) view(s *Store) []Record {
	return slices.DeleteFunc(s.View(f.now, checkedTopic), func(r Record) bool {
		return f.now-f.writtenAt[entryID{r.Origin, r.Seq}] >= testRules[checkedTopic].TTL
	})
}

// checkAgainstWriters checks that a store has nothing of a running writer that the writer does
// not have. Of an incarnation that has ended, the last entry that anybody received is valid.
func (f *fleet) checkAgainstWriters(i int) {
	for _, r := range f.view(f.stores[i]) {
		writer := f.writers[r.Origin]
		if writer == nil {
			f.t.Fatalf("store %d has %v of an unknown origin", i, r)
		}
		if !slices.Contains(f.stores, writer) {
			continue
		}
		written := writer.origins[r.Origin].registers[registerKey{checkedTopic, r.Subject}]
		if written == nil || written.withdrawn || written.seq != r.Seq {
			f.t.Fatalf("store %d has %v, its writer %v", i, r, written)
		}
	}
}

// checkComplete checks that a store has every valid entry of the running writers.
func (f *fleet) checkComplete(i int) {
	view := f.stores[i].View(f.now, checkedTopic)
	for _, writer := range f.stores {
		for key, r := range writer.origins[writer.Self()].registers {
			if r.withdrawn || f.now-r.writtenAt >= testRules[checkedTopic].TTL {
				continue
			}
			if !slices.ContainsFunc(view, func(x Record) bool {
				return x.Origin == writer.Self() && x.Subject == key.subject && x.Seq == r.seq
			}) {
				f.t.Fatalf("store %d lacks %v of %v", i, key, writer.Self())
			}
		}
	}
}

// Stores write, withdraw, gossip, lose, duplicate and delay messages, restart and expire. Once
// all messages are delivered and all have compared without loss, every store is equal to the
// writers, so that a sum over origins counts each entry once.
func TestReplicasConvergeAfterLossAndRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.step()
		}
		f.settle()
		for i, s := range f.stores {
			if err := compareViews(f.view(s), f.view(f.stores[0])); err != nil {
				t.Fatalf("stores %d and 0: %v", i, err)
			}
			f.checkAgainstWriters(i)
			f.checkComplete(i)
		}
	})
}
