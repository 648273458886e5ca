package replication

import "time"

// queuedRumour is an entry to be forwarded.
type queuedRumour struct {
	origin    Origin
	key       registerKey
	seq       uint64
	remaining int // number of times that it will be sent
}

// rumourQueue holds the entries to be forwarded. An entry that must be sent again moves to the end.
type rumourQueue struct {
	queued        []queuedRumour
	capacity      int
	transmissions int // number of times that each entry is sent
}

// add queues an entry. If the queue is full, its first entry is discarded, and delivered by
// anti-entropy instead.
func (q *rumourQueue) add(origin Origin, key registerKey, seq uint64) {
	if len(q.queued) >= q.capacity {
		q.queued = q.queued[1:]
	}
	q.queued = append(q.queued, queuedRumour{
		origin:    origin,
		key:       key,
		seq:       seq,
		remaining: q.transmissions,
	})
}

// Rumours returns the entries to forward now, as many as fit into one message. The caller sends
// them to a few other instances.
func (s *Store) Rumours(now time.Duration) []Rumour {
	var batch []Rumour
	var resend []queuedRumour
	size := 0
	queue := &s.rumours
	for len(queue.queued) > 0 {
		next := queue.queued[0]
		current := s.currentRegister(next)
		if current == nil { // the entry has expired or was replaced
			queue.queued = queue.queued[1:]
			continue
		}
		size += rumourOverheadBytes + len(next.origin.Name) + len(next.key.subject) + len(current.value)
		if size > s.limits.MaxMessageBytes && len(batch) > 0 {
			break
		}
		queue.queued = queue.queued[1:]
		batch = append(batch, Rumour{Origin: next.origin, Entry: current.entry(now, next.key)})
		next.remaining--
		if next.remaining > 0 {
			resend = append(resend, next)
		}
	}
	queue.queued = append(queue.queued, resend...)
	return batch
}

// currentRegister returns the register of a queued entry, nil if the register has another entry now.
func (s *Store) currentRegister(queued queuedRumour) *register {
	state := s.origins[queued.origin]
	if state == nil {
		return nil
	}
	stored := state.registers[queued.key]
	if stored == nil || stored.seq != queued.seq {
		return nil
	}
	return stored
}

// HandleRumour merges a received rumour, and forwards it if it was new.
func (s *Store) HandleRumour(now time.Duration, rumour Rumour) {
	if rumour.Origin == s.self {
		return
	}
	state := s.findOrAddOrigin(now, rumour.Origin)
	if state == nil {
		return
	}
	entry := rumour.Entry
	isNew := s.mergeEntry(now, state, entry)
	if entry.Seq == state.completeTo+1 {
		state.completeTo++
	}
	if isNew {
		s.rumours.add(rumour.Origin, registerKey{entry.Topic, entry.Subject}, entry.Seq)
	}
}
