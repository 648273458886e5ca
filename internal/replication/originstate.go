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

// entry returns the register as it is sent to others, with its age.
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

// originState is what a replica knows about one origin.
type originState struct {
	id Origin
	// completeTo is the sequence number up to which the replica is complete: of each subject it
	// has the latest entry up to this number, unless that has expired.
	completeTo uint64
	updatedAt  time.Duration // when it was last heard from
	registers  map[registerKey]*register
	indexed    map[registerKey]*register // the registers whose topics are Indexed; nil if there are none
	partial    partialDelta
}

func newOriginState(id Origin, now time.Duration) *originState {
	return &originState{id: id, updatedAt: now, registers: map[registerKey]*register{}}
}

// set stores a register. indexed says whether its topic is.
func (o *originState) set(key registerKey, r *register, indexed bool) {
	o.registers[key] = r
	if !indexed {
		return
	}
	if o.indexed == nil {
		o.indexed = map[registerKey]*register{}
	}
	o.indexed[key] = r
}

// remove removes a register.
func (o *originState) remove(key registerKey) {
	delete(o.registers, key)
	delete(o.indexed, key)
}

// vector returns the state of the origin in short.
func (o *originState) vector() Vector {
	v := Vector{Origin: o.id, Have: o.completeTo}
	for _, r := range o.registers {
		if r.seq > o.completeTo {
			v.More += splitmix.Mix(r.seq)
		}
	}
	return v
}

// contains reports whether the entry of a sequence number is stored, or was and has been
// replaced or has expired.
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

// entriesAbove returns the entries above a sequence number up to completeTo, and those beyond
// completeTo, in no order.
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

// add records a part and reports whether the delta is complete with it. A part of another
// delta than the recorded one starts anew.
func (p *partialDelta) add(d Delta) (complete bool) {
	same := p.from == d.From && p.to == d.To && p.checksum == d.Checksum && len(p.merged) == d.Parts
	if !same {
		*p = partialDelta{
			from:      d.From,
			to:        d.To,
			checksum:  d.Checksum,
			merged:    make([]bool, d.Parts),
			remaining: d.Parts,
		}
	}
	if p.merged[d.Part] {
		return false
	}
	p.merged[d.Part] = true
	p.remaining--
	return p.remaining == 0
}
