package model

import (
	"slices"
	"time"
)

// keyCache is a cache of affinity keys that evicts the least recently used key. The zero value is an empty cache.
type keyCache struct {
	lastUsed map[uint64]Time
	order    []uint64 // least recently used first; searched linearly, as a cache has only dozens of keys
}

// touch makes a key the most recently used one and reports whether it was cached and used within the TTL.
func (c *keyCache) touch(now Time, key uint64, capacity int, ttl time.Duration) bool {
	if key == 0 || capacity == 0 {
		return false
	}
	if c.lastUsed == nil {
		c.lastUsed = map[uint64]Time{}
	}
	lastUsed, cached := c.lastUsed[key]
	if cached {
		i := slices.Index(c.order, key)
		c.order = slices.Delete(c.order, i, i+1)
	} else if len(c.order) == capacity {
		delete(c.lastUsed, c.order[0])
		c.order = slices.Delete(c.order, 0, 1)
	}
	c.lastUsed[key] = now
	c.order = append(c.order, key)
	return cached && now-lastUsed <= ttl
}
