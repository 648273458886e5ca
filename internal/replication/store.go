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
	rejected uint64 // entries and messages
}

// NewStore returns a store that knows no origin but self.
func NewStore(self Origin, rules map[Topic]Rule, limits Limits) *Store {
	return &Store{
		validator: validator{rules: rules, limits: limits},
		self:      self,
		origins:   map[Origin]*originState{self: newOriginState(self, 0)},
		floors:    epochFloors{},
		rumours:   rumourQueue{capacity: limits.MaxQueuedRumours, sendings: limits.Transmissions},
	}
}

// Put writes a value under a topic and a subject. The error is that of the topic's check, or
// one of ErrUnknownTopic, ErrInvalidSubject, ErrValueTooLong and ErrSubjectLimit.
func (s *Store) Put(now time.Duration, topic Topic, subject string, value []byte) error {
	key := registerKey{topic, subject}
	if err := s.validate(key, value); err != nil {
		return err
	}
	local := s.origins[s.self]
	if local.registers[key] == nil && len(local.registers) >= s.limits.MaxEntries {
		return fmt.Errorf("%w: %d", ErrSubjectLimit, len(local.registers))
	}
	s.write(now, key, &register{value: value})
	return nil
}

// Withdraw replaces a value by a tombstone. It does nothing if there is no value.
func (s *Store) Withdraw(now time.Duration, topic Topic, subject string) {
	key := registerKey{topic, subject}
	r := s.origins[s.self].registers[key]
	if r != nil && !r.withdrawn {
		s.write(now, key, &register{withdrawn: true})
	}
}

// write stores a local register under the next sequence number and passes it on.
func (s *Store) write(writtenAt time.Duration, key registerKey, r *register) {
	s.seq++
	r.seq, r.writtenAt = s.seq, writtenAt
	local := s.origins[s.self]
	local.set(key, r, s.rules[key.topic].Indexed)
	local.completeTo, local.updatedAt = s.seq, writtenAt
	s.rumours.add(s.self, key, r.seq)
}

// renumberAbove writes all local entries anew if another replica's vector has a higher sequence
// number for this incarnation than was ever assigned. Somebody has distributed entries in its
// name, and replicas that hold them would ignore entries with lower numbers.
func (s *Store) renumberAbove(now time.Duration, remote Vector) {
	if remote.Origin != s.self || remote.Have <= s.seq || remote.Have-s.seq > maxSeqGap {
		return
	}
	s.seq = remote.Have
	local := s.origins[s.self]
	keys := make([]registerKey, 0, len(local.registers))
	for key := range local.registers {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b registerKey) int {
		return cmp.Or(cmp.Compare(a.topic, b.topic), strings.Compare(a.subject, b.subject))
	})
	for _, key := range keys {
		r := local.registers[key]
		s.write(r.writtenAt, key, &register{withdrawn: r.withdrawn, value: r.value})
	}
	local.completeTo, local.updatedAt = s.seq, now
}

// admit reports whether an origin that is not known may be added.
func (s *Store) admit(id Origin) bool {
	return id.Name != "" && len(id.Name) <= s.limits.MaxSubjectBytes && s.floors.admit(id)
}

// findOrAddOrigin returns the state of an origin, a new one if it is not known, and nil if it
// may not be added or there is no capacity for it.
func (s *Store) findOrAddOrigin(now time.Duration, id Origin) *originState {
	if o := s.origins[id]; o != nil {
		return o
	}
	if !s.admit(id) || len(s.origins) >= s.limits.MaxOrigins {
		s.rejected++
		return nil
	}
	o := newOriginState(id, now)
	s.origins[id] = o
	return o
}

// mergeEntry merges a received entry and reports whether it was new.
func (s *Store) mergeEntry(now time.Duration, o *originState, e Entry) bool {
	if e.Seq <= o.completeTo {
		return false
	}
	if e.Seq-o.completeTo > maxSeqGap {
		s.rejected++
		return false
	}
	key := registerKey{e.Topic, e.Subject}
	old := o.registers[key]
	if old != nil && old.seq == e.Seq {
		old.writtenAt = min(old.writtenAt, now-max(0, e.Age))
	}
	if old != nil && old.seq >= e.Seq {
		return false
	}
	if !s.acceptable(e) {
		s.rejected++
		return false
	}
	if e.Age >= s.rules[e.Topic].TTL {
		o.remove(key) // the stored entry is older still
		return false
	}
	if old == nil && len(o.registers) >= s.limits.MaxEntries {
		s.rejected++
		return false
	}
	r := &register{seq: e.Seq, writtenAt: now - e.Age, withdrawn: e.Withdrawn}
	if !e.Withdrawn {
		r.value = e.Value
	}
	o.set(key, r, s.rules[e.Topic].Indexed)
	o.updatedAt = now
	return true
}

// Expire removes expired entries and forgets origins that were not heard from for
// Limits.ForgetAfter. It is to be called about every second.
func (s *Store) Expire(now time.Duration) {
	for id, o := range s.origins {
		o.removeExpired(now, s.rules)
		if id != s.self && now-o.updatedAt >= s.limits.ForgetAfter {
			delete(s.origins, id)
			s.floors.raise(id, now)
		}
	}
	s.floors.trim(s.limits.MaxOrigins)
}
