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

// Memory is what a fleet remembers of keys, and counts of effects: one effect is all
// that runs under one key.
type Memory struct {
	classes []Class
	keys    map[memoryKey]Time // when it last ran in a scope
	effects map[string]*effect
	ran     int
	dropped int
}

type memoryKey struct{ scope, key string }

type effect struct {
	class int
	done  int
}

// NewMemory returns a memory for these classes.
func NewMemory(classes []Class) *Memory {
	return &Memory{classes: classes, keys: map[memoryKey]Time{}, effects: map[string]*effect{}}
}

// Run has an effect done, unless its scope remembers the key: then it is false.
func (m *Memory) Run(now Time, class int, key, group string) bool {
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
		at, ran := m.keys[memoryKey{scope, key}]
		if ran && now < at+c.Window {
			m.dropped++
			return false
		}
		m.keys[memoryKey{scope, key}] = now
	}
	e.done++
	m.ran++
	return true
}

// Undo takes back that an effect was done: its server ended with the request.
func (m *Memory) Undo(class int, key, group string) {
	if e := m.effects[key]; e != nil {
		e.done--
	}
	scope := ""
	if m.classes[class].Scope == Group {
		scope = group
	}
	delete(m.keys, memoryKey{scope, key})
}

// Counts returns how many requests with a key ran, and how many repeats were dropped.
func (m *Memory) Counts() (ran, dropped int) { return m.ran, m.dropped }

// Twice names the keys of effects of classes that must not be repeated and were done
// more than once.
func (m *Memory) Twice() (keys []string) {
	for key, e := range m.effects {
		if m.classes[e.class].Idempotency != Idempotent && e.done > 1 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Done says how often each effect was done.
func (m *Memory) Done() map[string]int {
	out := make(map[string]int, len(m.effects))
	for key, e := range m.effects {
		out[key] = e.done
	}
	return out
}
