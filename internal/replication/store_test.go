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
	limits.MaxEntries, limits.MaxSubjectBytes, limits.MaxValueBytes = 1, 4, 4
	s := NewStore(testOrigin(1), testRules, limits)
	mustPut(t, s, 0, checkedTopic, "s", "1")
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
		if err := s.Put(0, c.topic, c.subject, []byte(c.value)); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
}

// What was withdrawn or has expired does not reappear, whatever arrives late: a recorded
// rumour, a replica that was disconnected for an hour, an earlier incarnation.
func TestWithdrawnEntryStaysWithdrawn(t *testing.T) {
	limits := DefaultLimits
	limits.ForgetAfter = 30 * time.Minute
	writer := NewStore(testOrigin(1), testRules, limits)
	replica := NewStore(testOrigin(2), testRules, limits)
	disconnected := NewStore(testOrigin(3), testRules, limits)
	mustPut(t, writer, 0, checkedTopic, "s", "1")
	recorded := writer.Rumours(0)
	runAntiEntropy(0, writer, replica, loseNothing)
	runAntiEntropy(0, writer, disconnected, loseNothing)
	writer.Withdraw(time.Second, checkedTopic, "s")
	runAntiEntropy(time.Second, writer, replica, loseNothing)
	if v := replica.View(time.Second, checkedTopic); len(v) != 0 {
		t.Fatalf("withdrawn, but visible: %v", v)
	}
	replay := func(now time.Duration, condition string) {
		t.Helper()
		for _, r := range recorded {
			replica.HandleRumour(now, r)
		}
		runAntiEntropy(now, replica, disconnected, loseNothing)
		if v := replica.View(now, checkedTopic); len(v) != 0 {
			t.Errorf("%s: %v reappeared", condition, v)
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
	replay(time.Hour, "after the origin was forgotten")
	restarted := NewStore(Origin{Name: "i-1", Epoch: 2000}, testRules, limits)
	mustPut(t, restarted, time.Hour, checkedTopic, "s", "2")
	runAntiEntropy(time.Hour, restarted, replica, loseNothing)
	if v := replica.View(time.Hour, checkedTopic); len(v) != 1 || string(v[0].Value) != "2" {
		t.Errorf("the next incarnation is not accepted: %v", v)
	}
}

// Two incarnations of one name that both run are two instances: neither replaces the other's
// entries.
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
	v := other.View(0, uncheckedTopic)
	if len(v) != 2 || string(v[0].Value) != "1" || string(v[1].Value) != "2" {
		t.Errorf("view %v, want both values", v)
	}
	if err := compareViews(first.View(0, uncheckedTopic), second.View(0, uncheckedTopic)); err != nil {
		t.Errorf("the incarnations' views: %v", err)
	}
}

// A faulty instance that sends more than permitted, in another's name or invalid, causes
// nothing that the writer does not correct, and uses no more memory than the limits permit.
func TestFaultyPeerIsCorrectedAndBounded(t *testing.T) {
	limits := DefaultLimits
	limits.MaxOrigins, limits.MaxEntries = 50, 10
	writer, replica := NewStore(testOrigin(1), testRules, limits), NewStore(testOrigin(2), testRules, limits)
	mustPut(t, writer, 0, checkedTopic, "s", "true")
	runAntiEntropy(0, writer, replica, loseNothing)
	// In the writer's name, with sequence numbers that it has not assigned.
	forged := Entry{Topic: checkedTopic, Subject: "s", Seq: 900, Value: []byte("forged")}
	replica.Merge(0, Delta{Origin: testOrigin(1), From: 0, To: 900, Parts: 1, Entries: []Entry{forged}})
	replica.Merge(0, Delta{Origin: testOrigin(1), From: 900, To: 1 << 60, Parts: 1})
	runAntiEntropy(0, writer, replica, loseNothing)
	runAntiEntropy(0, writer, replica, loseNothing)
	if v := replica.View(0, checkedTopic); len(v) != 1 || string(v[0].Value) != "true" {
		t.Errorf("the replica has %v", v)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 2000 {
		replica.HandleRumour(0, Rumour{
			Origin: Origin{Name: fmt.Sprint("x-", n%200), Epoch: uint64(n)},
			Entry:  randomEntry(random, fmt.Sprint(n%31)),
		})
	}
	for id, o := range replica.origins {
		if len(o.registers) > limits.MaxEntries {
			t.Errorf("%d entries of %v", len(o.registers), id)
		}
	}
	queued := len(replica.rumours.queued)
	if replica.Origins() > limits.MaxOrigins || queued > limits.MaxQueuedRumours || replica.RejectedCount() == 0 {
		t.Errorf("%d origins, %d rumours, %d rejected", replica.Origins(), queued, replica.RejectedCount())
	}
	if v := writer.View(0, checkedTopic); len(v) != 1 || string(v[0].Value) != "true" {
		t.Errorf("the writer has %v", v)
	}
}

// randomEntry returns an entry of which anything but the subject may be invalid. Its age is
// positive or negative.
func randomEntry(random *rand.Rand, subject string) Entry {
	e := Entry{Topic: Topic(random.IntN(4)), Subject: subject}
	e.Seq = random.Uint64() >> random.IntN(64)
	added, subtracted := time.Duration(random.Int64()), time.Duration(random.Int64())
	e.Age = added - subtracted
	e.Value = []byte{byte(random.IntN(256))}
	return e
}

// A store with an indexed topic has the same views as one without, whatever is written,
// received, withdrawn and expired.
func TestIndexedTopicHasTheSameView(t *testing.T) {
	indexedRule := testRules[uncheckedTopic]
	indexedRule.Indexed = true
	indexedRules := map[Topic]Rule{checkedTopic: testRules[checkedTopic], uncheckedTopic: indexedRule}
	rapid.Check(t, func(t *rapid.T) {
		plain, indexed := NewStore(testOrigin(0), testRules, DefaultLimits), NewStore(testOrigin(0), indexedRules, DefaultLimits)
		now, seq := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			topic := Topic(rapid.IntRange(1, 2).Draw(t, "topic"))
			subject := fmt.Sprint("s-", rapid.IntRange(0, 3).Draw(t, "subject"))
			event := rapid.IntRange(0, 4).Draw(t, "event")
			origin := testOrigin(rapid.IntRange(1, 3).Draw(t, "origin"))
			gap := rapid.IntRange(0, 2).Draw(t, "gap")
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			seq += uint64(gap)
			for _, s := range []*Store{plain, indexed} {
				switch event {
				case 0:
					mustPut(t, s, now, topic, subject, "\x01")
				case 1:
					s.Withdraw(now, topic, subject)
				case 2, 3:
					s.HandleRumour(now, Rumour{Origin: origin, Entry: Entry{
						Topic:     topic,
						Subject:   subject,
						Seq:       seq + 1,
						Age:       time.Duration(gap) * 5 * time.Minute,
						Withdrawn: event == 3,
						Value:     []byte{2},
					}})
				case 4:
					s.Expire(now)
				}
			}
			for _, topic := range []Topic{checkedTopic, uncheckedTopic} {
				if err := compareViews(plain.View(now, topic), indexed.View(now, topic)); err != nil {
					t.Fatalf("topic %d: %v", topic, err)
				}
			}
		}
	})
}
