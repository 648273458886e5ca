package model

import (
	"slices"
	"time"
)

// Idempotency says what a second run of a request of a class does.
type Idempotency uint8

// The kinds of class.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NotIdempotent
)

// Scope is whose repeats of a key are dropped together.
type Scope uint8

// The scopes of a keyed class.
const (
	All Scope = iota
	Group
)

// Class is what a fleet knows of a class of requests.
type Class struct {
	Idempotency Idempotency
	Scope       Scope
	Window      time.Duration // for which a key is remembered
}

// DedupStore is what a fleet remembers of keys, and counts of effects: one effect is all
// that runs under one key.
type DedupStore struct {
	classes []Class
	keys    map[scopedKey]Time // when it last ran in a scope
	effects map[string]*effect
	ran     int
	dropped int
}

type scopedKey struct{ scope, key string }

type effect struct {
	class int
	done  int
}

// NewDedupStore returns a memory for these classes.
func NewDedupStore(classes []Class) *DedupStore {
	return &DedupStore{classes: classes, keys: map[scopedKey]Time{}, effects: map[string]*effect{}}
}

// Execute has an effect done, unless its scope remembers the key: then it is false.
func (m *DedupStore) Execute(now Time, class int, key, group string) bool {
	c := m.classes[class]
	e := m.effects[key]
	if e == nil {
		e = &effect{class: class}
		m.effects[key] = e
	}
	if c.Idempotency == IdempotentWithKey {
		scope := ""
		if c.Scope == Group {
			scope = group
		}
		at, ran := m.keys[scopedKey{scope, key}]
		if ran && now < at+c.Window {
			m.dropped++
			return false
		}
		m.keys[scopedKey{scope, key}] = now
	}
	e.done++
	m.ran++
	return true
}

// Revert takes back that an effect was done: its server ended with the request.
func (m *DedupStore) Revert(class int, key, group string) {
	if e := m.effects[key]; e != nil {
		e.done--
	}
	scope := ""
	if m.classes[class].Scope == Group {
		scope = group
	}
	delete(m.keys, scopedKey{scope, key})
}

// Counts returns how many requests with a key ran, and how many repeats were dropped.
func (m *DedupStore) Counts() (ran, dropped int) { return m.ran, m.dropped }

// DuplicateEffects names the keys of effects of classes that must not be repeated and were done
// more than once.
func (m *DedupStore) DuplicateEffects() (keys []string) {
	for key, e := range m.effects {
		if m.classes[e.class].Idempotency != Idempotent && e.done > 1 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// EffectCounts says how often each effect was done.
func (m *DedupStore) EffectCounts() map[string]int {
	out := make(map[string]int, len(m.effects))
	for key, e := range m.effects {
		out[key] = e.done
	}
	return out
}
