package model

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The cache is compared with a list of keys that has the most recently used key first.
func TestKeyCacheEvictsLeastRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 5).Draw(t, "capacity")
		ttl := time.Duration(rapid.IntRange(0, 30).Draw(t, "ttl"))
		var cache keyCache
		var list []uint64
		lastUsed := map[uint64]Time{}
		now := Time(0)
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			now += Time(rapid.IntRange(0, 9).Draw(t, "step"))
			key := uint64(rapid.IntRange(0, 8).Draw(t, "key"))
			i := slices.Index(list, key)
			want := key != 0 && i >= 0 && now-lastUsed[key] <= ttl
			if got := cache.touch(now, key, capacity, ttl); got != want {
				t.Fatalf("key %d at %d: cached %v, want %v; most recently used first: %v", key, now, got, want, list)
			}
			if key == 0 || capacity == 0 {
				continue
			}
			if i >= 0 {
				list = slices.Delete(list, i, i+1)
			}
			list, lastUsed[key] = slices.Insert(list, 0, key), now
			list = list[:min(len(list), capacity)]
			if len(cache.lastUsed) > capacity || len(cache.order) > 4*capacity+1 {
				t.Fatalf("%d cached keys and %d entries in their order, want at most %d keys",
					len(cache.lastUsed), len(cache.order), capacity)
			}
		}
	})
}

func TestCachedKeySavesWork(t *testing.T) {
	s := New(Options{
		Config: Config{
			Cores:           1,
			Speed:           1,
			SlotsPerCore:    1,
			QueuePerCore:    10,
			KeyCacheSize:    2,
			KeyCacheSavings: 0.75,
			KeyCacheTTL:     10 * time.Second,
		},
		Seed:  1,
		Dedup: NewDedupStore([]Class{{}}),
	})
	const full, saved = 400 * ms, 100 * ms
	now := Time(0)
	for i, test := range []struct {
		key  uint64
		want time.Duration
	}{{7, full}, {7, saved}, {8, full}, {9, full}, {7, full}, {9, saved}, {0, full}, {0, full}} {
		s.Arrive(now, Request{Number: uint64(i + 1), Work: full, AffinityKey: test.key})
		completed := s.Advance(now + time.Second)
		if len(completed) != 1 || math.Abs((completed[0].At-now-test.want).Seconds()) > 1e-6 {
			t.Errorf("request %d with key %d: completions %v, want one after %v", i, test.key, completed, test.want)
		}
		now += time.Second
	}
}
