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
	checkedTopic   Topic = 1 // values are validated
	uncheckedTopic Topic = 2 // any value is accepted
)

// errInvalidValue is returned by the check of checkedTopic.
var errInvalidValue = errors.New("invalid value")

// testRules are the rules of both topics.
var testRules = map[Topic]Rule{
	checkedTopic: {
		TTL: time.Minute,
		Check: func(value []byte) error {
			if len(value) == 0 || value[0] == 0xff {
				return errInvalidValue
			}
			return nil
		},
	},
	uncheckedTopic: {
		TTL:   10 * time.Minute,
		Check: func([]byte) error { return nil },
	},
}

// raceEnabled is set if the race detector is enabled, with which the full exploration takes minutes.
var raceEnabled bool

// testOrigin returns the origin of instance i-<number>.
func testOrigin(number int) Origin {
	return Origin{Name: fmt.Sprint("i-", number), Epoch: 1000}
}

func mustPut(t rapid.TB, s *Store, now time.Duration, topic Topic, subject, value string) {
	t.Helper()
	if err := s.Put(now, topic, subject, []byte(value)); err != nil {
		t.Fatal(err)
	}
}

// compareViews returns an error about the first difference between two views, nil if there is none.
// It does not compare ages.
func compareViews(a, b []Record) error {
	for i := range max(len(a), len(b)) {
		switch {
		case i >= len(a):
			return fmt.Errorf("the first is missing %v", b[i])
		case i >= len(b):
			return fmt.Errorf("the second is missing %v", a[i])
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

// maxComparisons bounds the comparisons of runAntiEntropy.
const maxComparisons = 8

// runAntiEntropy has two stores compare until they have the same digest, up to maxComparisons times.
// lose reports whether a message is lost.
func runAntiEntropy(now time.Duration, a, b *Store, lose func() bool) {
	for start := range maxComparisons {
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

// mergeDeltas delivers deltas to a store.
func mergeDeltas(now time.Duration, store *Store, deltas []Delta, lose func() bool) {
	for _, delta := range deltas {
		if !lose() {
			store.Merge(now, delta)
		}
	}
}

// cloneStore returns a copy of a store without indexed topics.
func cloneStore(original *Store) *Store {
	clone := NewStore(original.self, original.rules, original.limits)
	clone.seq = original.seq
	clone.rejected = original.rejected
	clone.rumours.queued = slices.Clone(original.rumours.queued)
	clone.floors = maps.Clone(original.floors)
	for id, state := range original.origins {
		clone.origins[id] = cloneOriginState(state)
	}
	return clone
}

func cloneOriginState(original *originState) *originState {
	clone := *original
	clone.partial.merged = slices.Clone(original.partial.merged)
	clone.registers = map[registerKey]*register{}
	for key, r := range original.registers {
		copied := *r
		clone.registers[key] = &copied
	}
	return &clone
}
