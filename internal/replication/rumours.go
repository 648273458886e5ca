package replication

import "time"

// queuedRumour is an entry that is still to be passed on.
type queuedRumour struct {
	origin   Origin
	key      registerKey
	seq      uint64
	sendings int // how often it is still to be sent
}

// rumourQueue has the entries to pass on, those sent least often first.
type rumourQueue struct {
	queued   []queuedRumour
	capacity int
	sendings int // how often each entry is sent
}

// add queues an entry. If the queue is full, its first entry is discarded: anti-entropy
// repairs what that would have delivered.
func (q *rumourQueue) add(origin Origin, key registerKey, seq uint64) {
	if len(q.queued) >= q.capacity {
		q.queued = q.queued[1:]
	}
	q.queued = append(q.queued, queuedRumour{origin: origin, key: key, seq: seq, sendings: q.sendings})
}

// Rumours returns the entries to pass on now, as many as one message holds. The caller sends
// them to a few other instances.
func (s *Store) Rumours(now time.Duration) []Rumour {
	var batch []Rumour
	var resend []queuedRumour
	size := 0
	q := &s.rumours
	for len(q.queued) > 0 {
		next := q.queued[0]
		if r := s.current(next); r != nil { // otherwise it has expired or been replaced
			size += rumourOverheadBytes + len(next.origin.Name) + len(next.key.subject) + len(r.value)
			if size > s.limits.MaxMessageBytes && len(batch) > 0 {
				break
			}
			batch = append(batch, Rumour{Origin: next.origin, Entry: r.entry(now, next.key)})
			next.sendings--
			if next.sendings > 0 {
				resend = append(resend, next)
			}
		}
		q.queued = q.queued[1:]
	}
	q.queued = append(q.queued, resend...)
	return batch
}

// current returns the register of a queued rumour, nil if that has another entry by now.
func (s *Store) current(queued queuedRumour) *register {
	o := s.origins[queued.origin]
	if o == nil {
		return nil
	}
	r := o.registers[queued.key]
	if r == nil || r.seq != queued.seq {
		return nil
	}
	return r
}

// HandleRumour merges a received rumour, and passes it on if it was new.
func (s *Store) HandleRumour(now time.Duration, r Rumour) {
	if r.Origin == s.self {
		return
	}
	o := s.findOrAddOrigin(now, r.Origin)
	if o == nil {
		return
	}
	isNew := s.mergeEntry(now, o, r.Entry)
	if r.Entry.Seq == o.completeTo+1 {
		o.completeTo++
	}
	if isNew {
		s.rumours.add(r.Origin, registerKey{r.Entry.Topic, r.Entry.Subject}, r.Entry.Seq)
	}
}
