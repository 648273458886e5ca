package model

import (
	"slices"
	"time"
)

// Idempotency states the effect of a second run of a request.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // a second run is harmless
	IdempotentWithKey                    // servers drop a second run by its key
	NotIdempotent                        // a second run has a second effect
)

// Scope is the set of servers that share their record of idempotency keys.
type Scope uint8

// The scopes of a class with keys.
const (
	All Scope = iota
	Group
)

// Class is the part of a request class's configuration that servers have.
type Class struct {
	Idempotency Idempotency
	Scope       Scope
	Window      time.Duration // how long a key is recorded
}

// DedupStore is the record of idempotency keys of a fleet. It also counts effects: all runs with the same key are runs
// of the same effect.
type DedupStore struct {
	classes []Class
	lastRun map[scopedKey]Time
	effects map[string]*effect
	ran     int
	dropped int
}

// scopedKey is a key within one group of servers; the group is empty for a key that all servers share.
type scopedKey struct{ group, key string }

// effect is one effect and how often it happened.
type effect struct {
	class int
	count int
}

// NewDedupStore returns an empty store for these classes.
func NewDedupStore(classes []Class) *DedupStore {
	return &DedupStore{
		classes: classes,
		lastRun: map[scopedKey]Time{},
		effects: map[string]*effect{},
	}
}

// scoped returns the key within the scope of its class at a server of a group.
func (d *DedupStore) scoped(class int, key, group string) scopedKey {
	if d.classes[class].Scope == Group {
		return scopedKey{group: group, key: key}
	}
	return scopedKey{key: key}
}

// Execute records a run of a request and counts its effect. It returns false and records nothing if the request is a
// duplicate: its class has keys, and the key ran within the window.
func (d *DedupStore) Execute(now Time, class int, key, group string) bool {
	counted := d.effects[key]
	if counted == nil {
		counted = &effect{class: class}
		d.effects[key] = counted
	}
	if d.classes[class].Idempotency == IdempotentWithKey {
		scoped := d.scoped(class, key, group)
		lastRun, ran := d.lastRun[scoped]
		if ran && now < lastRun+d.classes[class].Window {
			d.dropped++
			return false
		}
		d.lastRun[scoped] = now
	}
	counted.count++
	d.ran++
	return true
}

// Revert removes the effect of a request that its server lost, and the record of the request's key.
func (d *DedupStore) Revert(class int, key, group string) {
	if counted := d.effects[key]; counted != nil {
		counted.count--
	}
	delete(d.lastRun, d.scoped(class, key, group))
}

// Counts returns how many requests with a key ran, and how many duplicates were dropped.
func (d *DedupStore) Counts() (ran, dropped int) { return d.ran, d.dropped }

// DuplicateEffects returns the keys of the effects that happened more than once though their class is not idempotent,
// sorted.
func (d *DedupStore) DuplicateEffects() []string {
	var keys []string
	for key, counted := range d.effects {
		if d.classes[counted.class].Idempotency != Idempotent && counted.count > 1 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// EffectCounts returns how often each effect happened, by its key.
func (d *DedupStore) EffectCounts() map[string]int {
	counts := make(map[string]int, len(d.effects))
	for key, counted := range d.effects {
		counts[key] = counted.count
	}
	return counts
}
