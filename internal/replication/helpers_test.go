package replication

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

const (
	checkedTopic   Topic = 1 // its values are validated
	uncheckedTopic Topic = 2 // it accepts any value
)

var errInvalidValue = errors.New("invalid value")

var testRules = map[Topic]Rule{
	checkedTopic: {TTL: time.Minute, Check: func(value []byte) error {
		if len(value) == 0 || value[0] == 0xff {
			return errInvalidValue
		}
		return nil
	}},
	uncheckedTopic: {TTL: 10 * time.Minute, Check: func([]byte) error { return nil }},
}

// raceEnabled is set if the race detector is on: the full exploration then takes minutes.
var raceEnabled bool

func testOrigin(number int) Origin {
	return Origin{Name: fmt.Sprint("i-", number), Epoch: 1000}
}

func mustPut(t rapid.TB, s *Store, now time.Duration, topic Topic, subject, value string) {
	t.Helper()
	if err := s.Put(now, topic, subject, []byte(value)); err != nil {
		t.Fatal(err)
	}
}

// compareViews returns an error that names the first difference of two views. Ages are not
// compared.
func compareViews(a, b []Record) error {
	for i := range max(len(a), len(b)) {
		switch {
		case i >= len(a):
			return fmt.Errorf("the first lacks %v", b[i])
		case i >= len(b):
			return fmt.Errorf("the second lacks %v", a[i])
		case !sameRecord(a[i], b[i]):
			return fmt.Errorf("%v and %v differ", a[i], b[i])
		}
	}
	return nil
}

func sameRecord(a, b Record) bool {
	return a.Origin == b.Origin && a.Subject == b.Subject && a.Seq == b.Seq && bytes.Equal(a.Value, b.Value)
}

// loseNothing is a network that delivers every message.
func loseNothing() bool { return false }

// runAntiEntropy has two stores compare until neither has anything for the other, or eight
// times at most. lose says of each message whether it is lost.
func runAntiEntropy(now time.Duration, a, b *Store, lose func() bool) {
	for start := range 8 {
		vectors := b.HandleDigest(a.Digest(), start)
		if vectors == nil {
			return
		}
		if lose() {
			continue
		}
		deltas, response := a.HandleVectors(now, vectors)
		mergeDeltas(now, b, deltas, lose)
		if response != nil && !lose() {
			deltas, _ = b.HandleVectors(now, response)
			mergeDeltas(now, a, deltas, lose)
		}
	}
}

func mergeDeltas(now time.Duration, s *Store, deltas []Delta, lose func() bool) {
	for _, d := range deltas {
		if !lose() {
			s.Merge(now, d)
		}
	}
}

// cloneStore returns a copy of a store without indexed topics.
func cloneStore(s *Store) *Store {
	c := NewStore(s.self, s.rules, s.limits)
	c.seq, c.rejected = s.seq, s.rejected
	c.rumours.queued = slices.Clone(s.rumours.queued)
	c.floors = maps.Clone(s.floors)
	for id, original := range s.origins {
		o := *original
		o.partial.merged = slices.Clone(original.partial.merged)
		o.registers = map[registerKey]*register{}
		for key, r := range original.registers {
			copied := *r
			o.registers[key] = &copied
		}
		c.origins[id] = &o
	}
	return c
}
