package replication

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Store is one instance's replica of the entries of all instances. It is not safe for
// concurrent use: one goroutine owns it. Times are by the owner's monotonic clock.
type Store struct {
	validator
	self     Origin
	seq      uint64 // sequence number of the last local entry
	origins  map[Origin]*originState
	floors   epochFloors
	rumours  rumourQueue
	rejected uint64 // number of rejected entries and messages
}

// NewStore returns a store without entries. self is the incarnation whose entries it writes.
func NewStore(self Origin, rules map[Topic]Rule, limits Limits) *Store {
	return &Store{
		validator: validator{rules: rules, limits: limits},
		self:      self,
		origins:   map[Origin]*originState{self: newOriginState(self, 0)},
		floors:    epochFloors{},
		rumours:   rumourQueue{capacity: limits.MaxQueuedRumours, transmissions: limits.Transmissions},
	}
}

// Put writes a value under a topic and a subject. Its errors are ErrUnknownTopic,
// ErrInvalidSubject, ErrValueTooLong, ErrSubjectLimit and those of the topic's check.
func (s *Store) Put(now time.Duration, topic Topic, subject string, value []byte) error {
	key := registerKey{topic, subject}
	if err := s.validate(key, value); err != nil {
		return err
	}
	local := s.origins[s.self]
	if local.registers[key] == nil && len(local.registers) >= s.limits.MaxEntries {
		return fmt.Errorf("%w: %d subjects", ErrSubjectLimit, len(local.registers))
	}
	s.write(now, key, &register{value: value})
	return nil
}

// Withdraw replaces a value by a tombstone. It does nothing if there is no value.
func (s *Store) Withdraw(now time.Duration, topic Topic, subject string) {
	key := registerKey{topic, subject}
	stored := s.origins[s.self].registers[key]
	if stored != nil && !stored.withdrawn {
		s.write(now, key, &register{withdrawn: true})
	}
}

// write stores a local register under the next sequence number and queues it as a rumour.
func (s *Store) write(writtenAt time.Duration, key registerKey, value *register) {
	s.seq++
	value.seq = s.seq
	value.writtenAt = writtenAt
	local := s.origins[s.self]
	local.set(key, value, s.rules[key.topic].Indexed)
	local.completeTo = s.seq
	local.updatedAt = writtenAt
	s.rumours.add(s.self, key, s.seq)
}

// renumberAbove writes all local entries again if another replica's vector has a higher sequence
// number for this incarnation than this store has assigned. Another instance has then distributed
// entries in this one's name, and replicas that have them would ignore entries with lower numbers.
func (s *Store) renumberAbove(now time.Duration, remote Vector) {
	if remote.Origin != s.self || remote.CompleteTo <= s.seq || remote.CompleteTo-s.seq > maxSeqGap {
		return
	}
	s.seq = remote.CompleteTo
	local := s.origins[s.self]
	keys := make([]registerKey, 0, len(local.registers))
	for key := range local.registers {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b registerKey) int {
		return cmp.Or(cmp.Compare(a.topic, b.topic), strings.Compare(a.subject, b.subject))
	})
	for _, key := range keys {
		stored := local.registers[key]
		s.write(stored.writtenAt, key, &register{withdrawn: stored.withdrawn, value: stored.value})
	}
	local.completeTo = s.seq
	local.updatedAt = now
}

// admit reports whether an unknown origin may be added.
func (s *Store) admit(id Origin) bool {
	return id.Name != "" && len(id.Name) <= s.limits.MaxSubjectBytes && s.floors.admit(id)
}

// findOrAddOrigin returns the state of an origin. An unknown origin is added; the result is nil if
// it may not be added or there is no capacity for it.
func (s *Store) findOrAddOrigin(now time.Duration, id Origin) *originState {
	if known := s.origins[id]; known != nil {
		return known
	}
	if !s.admit(id) || len(s.origins) >= s.limits.MaxOrigins {
		s.rejected++
		return nil
	}
	added := newOriginState(id, now)
	s.origins[id] = added
	return added
}

// mergeEntry merges a received entry and reports whether it was new.
func (s *Store) mergeEntry(now time.Duration, state *originState, entry Entry) bool {
	if entry.Seq <= state.completeTo {
		return false
	}
	if entry.Seq-state.completeTo > maxSeqGap {
		s.rejected++
		return false
	}
	key := registerKey{entry.Topic, entry.Subject}
	stored := state.registers[key]
	if stored != nil && stored.seq == entry.Seq {
		stored.writtenAt = min(stored.writtenAt, now-max(0, entry.Age))
	}
	if stored != nil && stored.seq >= entry.Seq {
		return false
	}
	if !s.acceptable(entry) {
		s.rejected++
		return false
	}
	if entry.Age >= s.rules[entry.Topic].TTL {
		state.remove(key) // the stored entry was written before this one
		return false
	}
	if stored == nil && len(state.registers) >= s.limits.MaxEntries {
		s.rejected++
		return false
	}
	merged := &register{
		seq:       entry.Seq,
		writtenAt: now - entry.Age,
		withdrawn: entry.Withdrawn,
	}
	if !entry.Withdrawn {
		merged.value = entry.Value
	}
	state.set(key, merged, s.rules[entry.Topic].Indexed)
	state.updatedAt = now
	return true
}

// Expire removes expired entries, and evicts origins without a new entry for Limits.OriginTTL. It must
// be called about once per second.
func (s *Store) Expire(now time.Duration) {
	for id, state := range s.origins {
		state.removeExpired(now, s.rules)
		if id != s.self && now-state.updatedAt >= s.limits.OriginTTL {
			delete(s.origins, id)
			s.floors.raise(id, now)
		}
	}
	s.floors.trim(s.limits.MaxOrigins)
}
