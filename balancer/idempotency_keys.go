package balancer

import "slices"

// A client that was rejected or has given up may send its request again: under a new request ID, but with
// the same idempotency key. To the endpoints both requests have one effect, which they run once within the
// deduplication window. The window therefore counts from the first attempt under the key, whichever request
// it was made for. Each class records the attempts under its keys for as long as a client may still send
// them again.

// possibleRun is an attempt that may have run, as far as it restricts later attempts with the same effect.
type possibleRun struct {
	sentAt Micros
	zone   uint8
	cell   uint16
}

// maxIdempotencyKeys bounds the recorded keys of all classes together. At the limit, requests under other
// keys are rejected: a key that was dropped too early could have its effect twice.
const maxIdempotencyKeys = 32 << 10

// idempotencyRecord holds the attempts under one key that may have run, in the order of sending.
type idempotencyRecord struct {
	runs []*possibleRun
	open int // requests with the key that are not complete
}

// add records an attempt. The record refers to run until remove is called.
func (r *idempotencyRecord) add(run *possibleRun) { r.runs = append(r.runs, run) }

// remove removes an attempt that never ran.
func (r *idempotencyRecord) remove(run *possibleRun) {
	r.runs = slices.DeleteFunc(r.runs, func(other *possibleRun) bool { return other == run })
}

// first returns the first attempt that may have run, or nil if there is none.
func (r *idempotencyRecord) first() *possibleRun {
	if len(r.runs) == 0 {
		return nil
	}
	return r.runs[0]
}

// useIdempotencyKey returns the record of r's key, or nil if r has none. r uses it until
// releaseIdempotencyKey is called. A record that no open request uses is dropped after one to two times
// keyRetention, or at once if nothing was sent under its key.
func (b *Balancer) useIdempotencyKey(now Micros, r *request) *idempotencyRecord {
	class := b.classOf(r)
	if r.IdempotencyKey == 0 || class.Idempotency != IdempotentWithKey {
		return nil
	}
	keys := &b.classes[r.Class].idempotencyKeys
	if keys.current == nil || now-keys.rotatedAt > class.keyRetention() {
		b.rotateIdempotencyKeys(now, r.Class)
	}
	record := keys.use(r.IdempotencyKey)
	if record == nil {
		record = &idempotencyRecord{}
		keys.current[r.IdempotencyKey] = record
	}
	record.open++
	return record
}

// releaseIdempotencyKey ends r's use of the record of its key.
func (b *Balancer) releaseIdempotencyKey(r *request) {
	record := r.idempotency
	if record == nil {
		return
	}
	r.idempotency = nil
	record.open--
	if record.open == 0 && len(record.runs) == 0 {
		keys := &b.classes[r.Class].idempotencyKeys
		delete(keys.current, r.IdempotencyKey)
		delete(keys.previous, r.IdempotencyKey)
	}
}

// exceedsKeyLimit reports whether r's key must not be recorded, since too many others are.
func (b *Balancer) exceedsKeyLimit(r *request) bool {
	if r.idempotency == nil || len(r.idempotency.runs) > 0 {
		return false
	}
	recorded := 0
	for i := range b.classes {
		keys := &b.classes[i].idempotencyKeys
		recorded += len(keys.current) + len(keys.previous)
	}
	return recorded > maxIdempotencyKeys
}

// keyRetention is how long a key is recorded after its last attempt: until its window is over, and for as
// long as a client goes on retrying.
func (c *Class) keyRetention() Micros { return c.DedupWindow + c.ClientTimeout }

// rotateIdempotencyKeys starts a new generation of a class's records. Those of open requests are carried
// over.
func (b *Balancer) rotateIdempotencyKeys(now Micros, class uint8) {
	keys := &b.classes[class].idempotencyKeys
	if now-keys.rotatedAt > 2*b.settings.Classes[class].keyRetention() {
		keys.current = nil
	}
	keys.rotate(now)
	for _, r := range b.ledger.requests {
		if r.Class == class && r.idempotency != nil {
			keys.current[r.IdempotencyKey] = r.idempotency
		}
	}
}

// firstMayHaveRun returns the first attempt with r's effect that may have run, or nil if there is none: one
// made before this balancer received r, one under the same idempotency key, or one of r's own.
func (r *request) firstMayHaveRun() *possibleRun {
	var first *possibleRun
	if r.MayHaveRun {
		first = &r.previous
	}
	if recorded := r.firstRecorded(); first == nil || recorded != nil && recorded.sentAt < first.sentAt {
		first = recorded
	}
	return first
}

// firstRecorded returns the first attempt of this balancer with r's effect that may have run, or nil.
func (r *request) firstRecorded() *possibleRun {
	if r.idempotency != nil {
		return r.idempotency.first()
	}
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i].possibleRun
	}
	return nil
}
