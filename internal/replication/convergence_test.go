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

// fleet is a number of stores in virtual time whose messages are lost, duplicated and delayed.
type fleet struct {
	t         *rapid.T
	now       time.Duration
	limits    Limits
	stores    []*Store
	epochs    []uint64
	writers   map[Origin]*Store         // store of each incarnation, which is the reference
	writtenAt map[entryID]time.Duration // by the writer's clock
	network   []delayedRumour
}

// newFleet draws the number of stores and the size of messages.
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

// events are the events of a fleet. One that is listed several times is drawn more often.
var events = []string{
	"put", "put", "put",
	"withdraw",
	"gossip", "gossip",
	"deliver", "deliver",
	"compare",
	"wait",
	"restart",
	"expire",
}

// step draws one event.
func (f *fleet) step() {
	t := f.t
	index := rapid.IntRange(0, len(f.stores)-1).Draw(t, "store")
	other := rapid.IntRange(0, len(f.stores)-1).Draw(t, "other")
	store := f.stores[index]
	subject := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "subject"))
	switch rapid.SampledFrom(events).Draw(t, "event") {
	case "put":
		value := byte(rapid.IntRange(0, 200).Draw(t, "value"))
		mustPut(t, store, f.now, checkedTopic, subject, string([]byte{value, 1}))
		f.writtenAt[entryID{store.Self(), store.seq}] = f.now
	case "withdraw":
		store.Withdraw(f.now, checkedTopic, subject)
	case "gossip":
		for _, rumour := range store.Rumours(f.now) {
			f.network = append(f.network, delayedRumour{to: other, rumour: rumour})
		}
	case "deliver":
		f.deliverAny()
	case "compare":
		lose := func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		runAntiEntropy(f.now, store, f.stores[other], lose)
	case "wait":
		f.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
	case "restart":
		f.start(index)
	case "expire":
		store.Expire(f.now)
	}
}

// deliverAny delivers any delayed message. The message may be delivered again later.
func (f *fleet) deliverAny() {
	if len(f.network) == 0 {
		return
	}
	message := f.network[rapid.IntRange(0, len(f.network)-1).Draw(f.t, "message")]
	f.stores[message.to].HandleRumour(f.now, message.rumour)
}

// settle delivers all delayed messages and has all stores compare with each other.
func (f *fleet) settle() {
	for _, message := range f.network {
		f.stores[message.to].HandleRumour(f.now, message.rumour)
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

// view returns the entries of a store that have not expired by their writers' clocks. An age does not
// include the time on the network, so that a store may keep a delayed entry for that much longer.
func (f *fleet) view(store *Store) []Record {
	return slices.DeleteFunc(store.View(f.now, checkedTopic), func(record Record) bool {
		writtenAt := f.writtenAt[entryID{record.Origin, record.Seq}]
		return f.now-writtenAt >= testRules[checkedTopic].TTL
	})
}

// checkAgainstWriters checks that a store has no entry of a running writer that the writer does not
// have. For an incarnation that has ended, any store may have its last entry.
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
			found := slices.ContainsFunc(view, func(record Record) bool {
				return record.Origin == writer.Self() && record.Subject == key.subject && record.Seq == r.seq
			})
			if !found {
				f.t.Fatalf("store %d is missing %v of %v", i, key, writer.Self())
			}
		}
	}
}

// Stores write and withdraw entries, restart and expire entries, while messages are lost, duplicated
// and delayed. After all messages are delivered and all stores have compared without loss, every store
// has the entries of the writers, so that a sum over origins counts each entry once.
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
