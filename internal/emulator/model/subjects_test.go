package model

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// Held against the plainest list of what was met: the latest come first, and the rest falls off.
func TestSubjectsAreTheMostRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 5).Draw(t, "most")
		lasts := time.Duration(rapid.IntRange(0, 30).Draw(t, "lasts"))
		var m keyCache
		var list []uint64
		last := map[uint64]Time{}
		now := Time(0)
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			now += Time(rapid.IntRange(0, 9).Draw(t, "step"))
			subject := uint64(rapid.IntRange(0, 8).Draw(t, "subject"))
			at := slices.Index(list, subject)
			want := subject != 0 && at >= 0 && now-last[subject] <= lasts
			if got := m.touch(now, subject, capacity, lasts); got != want {
				t.Fatalf("subject %d at %d: %v, want %v of %v", subject, now, got, want, list)
			}
			if subject == 0 || capacity == 0 {
				continue
			}
			if at >= 0 {
				list = slices.Delete(list, at, at+1)
			}
			list, last[subject] = slices.Insert(list, 0, subject), now
			list = list[:min(len(list), capacity)]
			if len(m.lastUsed) > capacity || len(m.order) > 4*capacity+1 {
				t.Fatalf("%d subjects and %d places are kept of %d", len(m.lastUsed), len(m.order), capacity)
			}
		}
	})
}

// A server that slows by a factor and speeds up again does what the factor says, to the instant.
func TestSlowServer(t *testing.T) {
	s := New(Config{Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 10}, 1, 0, false, NewDedupStore([]Class{{}}), "",
		[]Fault{{From: time.Second, Until: 5 * time.Second, SlowdownFactor: 4}})
	s.Arrive(0, Request{Number: 1, Work: 3 * time.Second})
	// A second's work by 1 s, another in the four slow ones, and the last by 6 s.
	var ended []Completion
	for now := Time(0); now <= 7*time.Second; now += 100 * time.Millisecond {
		ended = append(ended, s.Advance(now)...)
	}
	if len(ended) != 1 || math.Abs((ended[0].At-6*time.Second).Seconds()) > 1e-6 {
		t.Errorf("ended %v, want one at 6 s", ended)
	}
}

// A request about what was met lately costs less, and one about something else does not.
func TestSubjectSavesWork(t *testing.T) {
	cfg := Config{Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 10, KeyCacheSize: 2, KeyCacheSavings: 0.75, KeyCacheTTL: 10 * time.Second}
	s := New(cfg, 1, 0, false, NewDedupStore([]Class{{}}), "", nil)
	now := Time(0)
	for i, c := range []struct {
		subject uint64
		want    time.Duration
	}{{7, 400}, {7, 100}, {8, 400}, {9, 400}, {7, 400}, {9, 100}, {0, 400}, {0, 400}} {
		s.Arrive(now, Request{Number: uint64(i + 1), Work: 400 * time.Millisecond, AffinityKey: c.subject})
		ended := s.Advance(now + time.Second)
		if len(ended) != 1 || math.Abs((ended[0].At-now-c.want*time.Millisecond).Seconds()) > 1e-6 {
			t.Errorf("request %d about %d ended %v, want after %d ms", i, c.subject, ended, c.want)
		}
		now += time.Second
	}
}
