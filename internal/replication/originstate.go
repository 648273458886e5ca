package replication

import (
	"time"

	"pinedale/internal/splitmix"
)

// registerKey identifies one register of an origin.
type registerKey struct {
	topic   Topic
	subject string
}

// register is the latest known value that an origin has written under a key.
type register struct {
	seq       uint64
	writtenAt time.Duration // by the store's clock
	withdrawn bool
	value     []byte
}

// entry returns the register's entry with its current age.
func (r *register) entry(now time.Duration, key registerKey) Entry {
	return Entry{
		Topic:     key.topic,
		Subject:   key.subject,
		Seq:       r.seq,
		Age:       max(0, now-r.writtenAt),
		Withdrawn: r.withdrawn,
		Value:     r.value,
	}
}

// originState is a replica's state of one origin.
type originState struct {
	id Origin
	// completeTo is the sequence number up to which the replica is complete. For each subject it
	// has the latest entry up to this number, unless that has expired.
	completeTo uint64
	updatedAt  time.Duration // when the last new entry was received
	registers  map[registerKey]*register
	indexed    map[registerKey]*register // registers whose topics are Indexed; nil if there are none
	partial    partialDelta
}

func newOriginState(id Origin, now time.Duration) *originState {
	return &originState{id: id, updatedAt: now, registers: map[registerKey]*register{}}
}

// set stores a register. indexed is whether its topic is Indexed.
func (o *originState) set(key registerKey, value *register, indexed bool) {
	o.registers[key] = value
	if !indexed {
		return
	}
	if o.indexed == nil {
		o.indexed = map[registerKey]*register{}
	}
	o.indexed[key] = value
}

// remove deletes a register.
func (o *originState) remove(key registerKey) {
	delete(o.registers, key)
	delete(o.indexed, key)
}

// vector returns the vector of the origin.
func (o *originState) vector() Vector {
	vector := Vector{Origin: o.id, CompleteTo: o.completeTo}
	for _, r := range o.registers {
		if r.seq > o.completeTo {
			vector.BeyondHash += splitmix.Mix(r.seq)
		}
	}
	return vector
}

// contains reports whether the entry of a sequence number is stored, or the replica is complete up
// to that number; in the latter case the entry may have been replaced or have expired.
func (o *originState) contains(seq uint64) bool {
	if seq <= o.completeTo {
		return true
	}
	for _, r := range o.registers {
		if r.seq == seq {
			return true
		}
	}
	return false
}

// entriesAbove returns the entries above a sequence number up to completeTo, and the entries beyond
// completeTo, in no particular order.
func (o *originState) entriesAbove(now time.Duration, seq uint64) (complete, beyond []Entry) {
	for key, r := range o.registers {
		switch {
		case r.seq > o.completeTo:
			beyond = append(beyond, r.entry(now, key))
		case r.seq > seq:
			complete = append(complete, r.entry(now, key))
		}
	}
	return complete, beyond
}

// removeExpired removes the registers that are older than their topics' TTL.
func (o *originState) removeExpired(now time.Duration, rules map[Topic]Rule) {
	for key, r := range o.registers {
		if now-r.writtenAt >= rules[key.topic].TTL {
			o.remove(key)
		}
	}
}

// partialDelta records which parts of a delta have been merged.
type partialDelta struct {
	from, to, checksum uint64
	merged             []bool // by part
	remaining          int
}

// add records a part and reports whether it was the last missing one. A part of another delta than
// the recorded one replaces the record.
func (p *partialDelta) add(part Delta) (complete bool) {
	if !p.matches(part) {
		*p = partialDelta{
			from:      part.From,
			to:        part.To,
			checksum:  part.Checksum,
			merged:    make([]bool, part.Parts),
			remaining: part.Parts,
		}
	}
	if p.merged[part.Part] {
		return false
	}
	p.merged[part.Part] = true
	p.remaining--
	return p.remaining == 0
}

// matches reports whether a part belongs to the recorded delta.
func (p *partialDelta) matches(part Delta) bool {
	return p.from == part.From && p.to == part.To && p.checksum == part.Checksum && len(p.merged) == part.Parts
}
