package replication

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// View returns the valid entries of a topic, sorted by origin and subject. It does not return
// tombstones and expired entries.
func (s *Store) View(now time.Duration, topic Topic) []Record {
	rule := s.rules[topic]
	var records []Record
	for id, state := range s.origins {
		registers := state.registers
		if rule.Indexed {
			registers = state.indexed
		}
		for key, r := range registers {
			if key.topic == topic && !r.withdrawn && now-r.writtenAt < rule.TTL {
				records = append(records, Record{Origin: id, Entry: r.entry(now, key)})
			}
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.Origin.compare(b.Origin), strings.Compare(a.Subject, b.Subject))
	})
	return records
}

// Contains reports whether an origin's entry of a sequence number is stored, or the replica is
// complete up to that number; in the latter case the entry may have been replaced or have expired.
func (s *Store) Contains(id Origin, seq uint64) bool {
	state := s.origins[id]
	return state != nil && state.contains(seq)
}

// Self returns this instance's incarnation.
func (s *Store) Self() Origin { return s.self }

// Origins returns the number of known incarnations, including this one.
func (s *Store) Origins() int { return len(s.origins) }

// RejectedCount returns the number of entries and messages that were rejected as invalid or
// for lack of capacity.
func (s *Store) RejectedCount() uint64 { return s.rejected }
