package replication

import (
	"cmp"
	"slices"
	"time"

	"pinedale/internal/splitmix"
)

// deltas returns all entries of an origin above a sequence number, in parts of one message
// each. Entries beyond a gap are in an incomplete delta.
func (s *Store) deltas(now time.Duration, state *originState, above uint64) []Delta {
	complete, beyond := state.entriesAbove(now, above)
	var deltas []Delta
	if above < state.completeTo {
		header := Delta{Origin: state.id, From: above, To: state.completeTo}
		deltas = splitDelta(header, complete, s.limits.MaxMessageBytes)
	}
	if len(beyond) > 0 {
		header := Delta{Origin: state.id, From: state.completeTo, To: state.completeTo, Incomplete: true}
		deltas = append(deltas, splitDelta(header, beyond, s.limits.MaxMessageBytes)...)
	}
	return deltas
}

// splitDelta splits the entries into parts of about maxBytes each. header has the fields that all
// parts have in common. There is at least one part, and each part has at least one entry if there
// are any.
func splitDelta(header Delta, entries []Entry, maxBytes int) []Delta {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, entry := range entries {
		header.Checksum += splitmix.Mix(entry.Seq)
	}
	parts := []Delta{header}
	size := 0
	for _, entry := range entries {
		entrySize := entryOverheadBytes + len(entry.Subject) + len(entry.Value)
		size += entrySize
		if size > maxBytes && len(parts[len(parts)-1].Entries) > 0 {
			parts = append(parts, header)
			size = entrySize
		}
		last := &parts[len(parts)-1]
		last.Entries = append(last.Entries, entry)
	}
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}

// Merge merges one part of a delta. A part that leaves a gap is merged as well; the next
// comparison repairs the gap.
func (s *Store) Merge(now time.Duration, delta Delta) {
	if delta.Origin == s.self {
		return
	}
	if !delta.validRange(s.limits.MaxEntries) {
		s.rejected++
		return
	}
	state := s.findOrAddOrigin(now, delta.Origin)
	if state == nil {
		return
	}
	if !delta.consistent() {
		s.rejected++
		return
	}
	for _, entry := range delta.Entries {
		s.mergeEntry(now, state, entry)
	}
	if state.advancesWith(delta) && state.partial.add(delta) {
		state.completeTo = delta.To
		state.updatedAt = now
		state.partial = partialDelta{}
	}
}

// validRange reports whether the sequence numbers and the numbers of parts are possible.
func (d Delta) validRange(maxParts int) bool {
	return d.From <= d.To && 1 <= d.Parts && d.Parts <= maxParts && 0 <= d.Part && d.Part < d.Parts
}

// advancesWith reports whether the replica is complete up to delta.To once it has merged all parts.
func (o *originState) advancesWith(delta Delta) bool {
	if delta.Incomplete || delta.From > o.completeTo || delta.To <= o.completeTo {
		return false
	}
	return delta.To-o.completeTo <= maxSeqGap
}

// consistent reports whether the sequence numbers of all entries are within the delta's range.
func (d Delta) consistent() bool {
	for _, entry := range d.Entries {
		if entry.Seq <= d.From || !d.Incomplete && entry.Seq > d.To {
			return false
		}
	}
	return true
}
