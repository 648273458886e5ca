package model

import (
	"slices"
	"time"
)

// keyCache is what a server remembers of what its requests were about: the latest ones met.
// The zero value remembers none.
type keyCache struct {
	lastUsed map[uint64]Time
	order    []uint64 // the one met longest ago first; a server remembers dozens
}

// touch says whether a subject is remembered, and remembers it as met now.
func (m *keyCache) touch(now Time, subject uint64, capacity int, lasts time.Duration) bool {
	if subject == 0 || capacity == 0 {
		return false
	}
	if m.lastUsed == nil {
		m.lastUsed = map[uint64]Time{}
	}
	at, known := m.lastUsed[subject]
	if known {
		i := slices.Index(m.order, subject)
		m.order = slices.Delete(m.order, i, i+1)
	} else if len(m.order) == capacity {
		delete(m.lastUsed, m.order[0])
		m.order = slices.Delete(m.order, 0, 1)
	}
	m.lastUsed[subject], m.order = now, append(m.order, subject)
	return known && now-at <= lasts
}
