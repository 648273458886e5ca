package replication

import (
	"cmp"
	"slices"
	"time"

	"pinedale/internal/splitmix"
)

// deltas returns all entries of an origin above a sequence number, in parts of one message
// each, and those beyond a gap as an incomplete delta.
func (s *Store) deltas(now time.Duration, o *originState, above uint64) []Delta {
	complete, beyond := o.entriesAbove(now, above)
	var deltas []Delta
	if above < o.completeTo {
		header := Delta{Origin: o.id, From: above, To: o.completeTo}
		deltas = splitDelta(header, complete, s.limits.MaxMessageBytes)
	}
	if len(beyond) > 0 {
		header := Delta{Origin: o.id, From: o.completeTo, To: o.completeTo, Incomplete: true}
		deltas = append(deltas, splitDelta(header, beyond, s.limits.MaxMessageBytes)...)
	}
	return deltas
}

// splitDelta returns a delta of the entries as parts of about maxBytes each. There is at least
// one part, and at least one entry in each part if there are any.
func splitDelta(header Delta, entries []Entry, maxBytes int) []Delta {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, e := range entries {
		header.Checksum += splitmix.Mix(e.Seq)
	}
	parts := []Delta{header}
	size := 0
	for _, e := range entries {
		entrySize := entryOverheadBytes + len(e.Subject) + len(e.Value)
		size += entrySize
		if size > maxBytes && len(parts[len(parts)-1].Entries) > 0 {
			parts = append(parts, header)
			size = entrySize
		}
		last := &parts[len(parts)-1]
		last.Entries = append(last.Entries, e)
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}

// Merge merges one part of a delta. A part that leaves a gap is merged as well, and the next
// comparison repairs the gap.
func (s *Store) Merge(now time.Duration, d Delta) {
	if d.Origin == s.self {
		return
	}
	if d.To < d.From || d.Parts < 1 || d.Parts > s.limits.MaxEntries || d.Part < 0 || d.Part >= d.Parts {
		s.rejected++
		return
	}
	o := s.findOrAddOrigin(now, d.Origin)
	if o == nil {
		return
	}
	if !d.consistent() {
		s.rejected++
		return
	}
	for _, e := range d.Entries {
		s.mergeEntry(now, o, e)
	}
	advances := !d.Incomplete && d.From <= o.completeTo && d.To > o.completeTo && d.To-o.completeTo <= maxSeqGap
	if advances && o.partial.add(d) {
		o.completeTo, o.updatedAt, o.partial = d.To, now, partialDelta{}
	}
}

// consistent reports whether all entries are within the range that the delta declares.
func (d Delta) consistent() bool {
	for _, e := range d.Entries {
		if e.Seq <= d.From || !d.Incomplete && e.Seq > d.To {
			return false
		}
	}
	return true
}
