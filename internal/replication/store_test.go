package replication

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPutReturnsTypedErrors(t *testing.T) {
	limits := DefaultLimits
	limits.MaxEntries = 1
	limits.MaxSubjectBytes = 4
	limits.MaxValueBytes = 4
	store := NewStore(testOrigin(1), testRules, limits)
	mustPut(t, store, 0, checkedTopic, "s", "1")
	for name, c := range map[string]struct {
		topic          Topic
		subject, value string
		want           error
	}{
		"unknown topic":         {9, "s", "1", ErrUnknownTopic},
		"empty subject":         {checkedTopic, "", "1", ErrInvalidSubject},
		"subject too long":      {checkedTopic, "subject", "1", ErrInvalidSubject},
		"value too long":        {checkedTopic, "s", "12345", ErrValueTooLong},
		"value fails the check": {checkedTopic, "s", "", errInvalidValue},
		"too many subjects":     {checkedTopic, "t", "1", ErrSubjectLimit},
	} {
		if err := store.Put(0, c.topic, c.subject, []byte(c.value)); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
}

// An entry that was withdrawn or has expired does not reappear, even if a recorded rumour is
// delivered again or a replica returns that was disconnected for an hour.
func TestWithdrawnEntryStaysWithdrawn(t *testing.T) {
	limits := DefaultLimits
	limits.OriginTTL = 30 * time.Minute
	writer := NewStore(testOrigin(1), testRules, limits)
	replica := NewStore(testOrigin(2), testRules, limits)
	disconnected := NewStore(testOrigin(3), testRules, limits)
	mustPut(t, writer, 0, checkedTopic, "s", "1")
	recorded := writer.Rumours(0)
	runAntiEntropy(0, writer, replica, loseNothing)
	runAntiEntropy(0, writer, disconnected, loseNothing)
	writer.Withdraw(time.Second, checkedTopic, "s")
	runAntiEntropy(time.Second, writer, replica, loseNothing)
	if view := replica.View(time.Second, checkedTopic); len(view) != 0 {
		t.Fatalf("withdrawn entry is still in the view: %v", view)
	}
	replay := func(now time.Duration, condition string) {
		t.Helper()
		for _, rumour := range recorded {
			replica.HandleRumour(now, rumour)
		}
		runAntiEntropy(now, replica, disconnected, loseNothing)
		if view := replica.View(now, checkedTopic); len(view) != 0 {
			t.Errorf("%s: %v reappeared", condition, view)
		}
	}
	replay(2*time.Second, "two seconds later")
	for now := 10 * time.Second; now < 2*time.Minute; now += 10 * time.Second {
		replica.Expire(now)
	}
	if n := len(replica.origins[testOrigin(1)].registers); n != 0 {
		t.Errorf("%d entries are stored after the tombstone has expired, want 0", n)
	}
	replay(2*time.Minute, "after the tombstone has expired")
	replica.Expire(time.Hour)
	if replica.Origins() != 1 {
		t.Fatalf("%d origins are known after an hour, want 1", replica.Origins())
	}
	replay(time.Hour, "after the origin was evicted")
	restarted := NewStore(Origin{Name: "i-1", Epoch: 2000}, testRules, limits)
	mustPut(t, restarted, time.Hour, checkedTopic, "s", "2")
	runAntiEntropy(time.Hour, restarted, replica, loseNothing)
	if view := replica.View(time.Hour, checkedTopic); len(view) != 1 || string(view[0].Value) != "2" {
		t.Errorf("view after the origin restarted: %v, want only the value 2 of the new incarnation", view)
	}
}

// Two incarnations of one name that run at the same time do not replace each other's entries.
func TestIncarnationsOfOneNameAreIndependent(t *testing.T) {
	first := NewStore(Origin{Name: "i-1", Epoch: 1}, testRules, DefaultLimits)
	second := NewStore(Origin{Name: "i-1", Epoch: 2}, testRules, DefaultLimits)
	other := NewStore(testOrigin(2), testRules, DefaultLimits)
	mustPut(t, first, 0, uncheckedTopic, "s", "1")
	mustPut(t, second, 0, uncheckedTopic, "s", "2")
	for range 3 {
		runAntiEntropy(0, first, other, loseNothing)
		runAntiEntropy(0, second, other, loseNothing)
	}
	view := other.View(0, uncheckedTopic)
	if len(view) != 2 || string(view[0].Value) != "1" || string(view[1].Value) != "2" {
		t.Errorf("view %v, want both values", view)
	}
	if err := compareViews(first.View(0, uncheckedTopic), second.View(0, uncheckedTopic)); err != nil {
		t.Errorf("the views of the two incarnations differ: %v", err)
	}
}

// Entries that a faulty instance sends in a writer's name are corrected by the writer. Entries that
// are invalid or too many use no more memory than the limits permit.
func TestFaultyPeerIsCorrectedAndBounded(t *testing.T) {
	limits := DefaultLimits
	limits.MaxOrigins = 50
	limits.MaxEntries = 10
	writer := NewStore(testOrigin(1), testRules, limits)
	replica := NewStore(testOrigin(2), testRules, limits)
	mustPut(t, writer, 0, checkedTopic, "s", "true")
	runAntiEntropy(0, writer, replica, loseNothing)
	// The forged entry has the writer's name and a sequence number that the writer has not assigned.
	forged := Entry{Topic: checkedTopic, Subject: "s", Seq: 900, Value: []byte("forged")}
	replica.Merge(0, Delta{Origin: testOrigin(1), From: 0, To: 900, Parts: 1, Entries: []Entry{forged}})
	replica.Merge(0, Delta{Origin: testOrigin(1), From: 900, To: 1 << 60, Parts: 1})
	runAntiEntropy(0, writer, replica, loseNothing)
	runAntiEntropy(0, writer, replica, loseNothing)
	if view := replica.View(0, checkedTopic); len(view) != 1 || string(view[0].Value) != "true" {
		t.Errorf("the replica has %v, want the writer's value", view)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 2000 {
		replica.HandleRumour(0, Rumour{
			Origin: Origin{Name: fmt.Sprint("x-", n%200), Epoch: uint64(n)},
			Entry:  randomEntry(random, fmt.Sprint(n%31)),
		})
	}
	for id, state := range replica.origins {
		if len(state.registers) > limits.MaxEntries {
			t.Errorf("%d entries of %v exceed the limit", len(state.registers), id)
		}
	}
	queued := len(replica.rumours.queued)
	if replica.Origins() > limits.MaxOrigins || queued > limits.MaxQueuedRumours || replica.RejectedCount() == 0 {
		t.Errorf("%d origins, %d queued rumours, %d rejected, want the first two within the limits and rejections",
			replica.Origins(), queued, replica.RejectedCount())
	}
	if view := writer.View(0, checkedTopic); len(view) != 1 || string(view[0].Value) != "true" {
		t.Errorf("the writer has %v, want its own value", view)
	}
}

// randomEntry returns an entry whose topic, sequence number, age and value may be invalid.
func randomEntry(random *rand.Rand, subject string) Entry {
	entry := Entry{Topic: Topic(random.IntN(4)), Subject: subject}
	entry.Seq = random.Uint64() >> random.IntN(64)
	added, subtracted := time.Duration(random.Int64()), time.Duration(random.Int64())
	entry.Age = added - subtracted // positive or negative
	entry.Value = []byte{byte(random.IntN(256))}
	return entry
}

// A store with an indexed topic has the same views as a store without one after any sequence of
// entries that are written, received, withdrawn and expired.
func TestIndexedTopicHasTheSameView(t *testing.T) {
	indexedRule := testRules[uncheckedTopic]
	indexedRule.Indexed = true
	indexedRules := map[Topic]Rule{checkedTopic: testRules[checkedTopic], uncheckedTopic: indexedRule}
	rapid.Check(t, func(t *rapid.T) {
		plain := NewStore(testOrigin(0), testRules, DefaultLimits)
		indexed := NewStore(testOrigin(0), indexedRules, DefaultLimits)
		now := time.Duration(0)
		seq := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			topic := Topic(rapid.IntRange(1, 2).Draw(t, "topic"))
			subject := fmt.Sprint("s-", rapid.IntRange(0, 3).Draw(t, "subject"))
			event := rapid.IntRange(0, 4).Draw(t, "event")
			origin := testOrigin(rapid.IntRange(1, 3).Draw(t, "origin"))
			gap := rapid.IntRange(0, 2).Draw(t, "gap")
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			seq += uint64(gap)
			for _, store := range []*Store{plain, indexed} {
				switch event {
				case 0:
					mustPut(t, store, now, topic, subject, "\x01")
				case 1:
					store.Withdraw(now, topic, subject)
				case 2, 3:
					store.HandleRumour(now, Rumour{Origin: origin, Entry: Entry{
						Topic:     topic,
						Subject:   subject,
						Seq:       seq + 1,
						Age:       time.Duration(gap) * 5 * time.Minute,
						Withdrawn: event == 3,
						Value:     []byte{2},
					}})
				case 4:
					store.Expire(now)
				}
			}
			for _, topic := range []Topic{checkedTopic, uncheckedTopic} {
				if err := compareViews(plain.View(now, topic), indexed.View(now, topic)); err != nil {
					t.Fatalf("topic %d: the views of the plain store and the indexed store differ: %v", topic, err)
				}
			}
		}
	})
}
