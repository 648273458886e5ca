// Package replica decides, without I/O, how instances hold copies of what each of them
// tells: who is there, and how servers have fared with it.
//
// Everything has one author. An entry is written by one life of one instance (an Origin)
// under a topic and a subject, with that origin's next number; a later number replaces an
// earlier one of the same subject. Copies are merged by taking, for each origin and subject,
// the highest number. That is a join of a lattice (a map of single-writer registers; Almeida,
// Shoker and Baquero, "Delta state replicated data types", 2018): the order of messages, and
// how often they come, make no difference, and what an origin counts is in its own entries
// alone, so that no sum over origins counts anything twice.
//
// For each origin a copy knows up to which number it has everything. A rumour carries single
// entries as they are written. Whatever rumours have missed is found by comparing: a digest
// of 64 buckets of origins, then the numbers of the buckets that differ, then the entries
// above the number that the other has. All messages fit into one datagram.
//
// The rule for copies that differ:
//
// | two copies of an entry | what holds |
// | --- | --- |
// | numbers differ | the higher number, whichever came first |
// | same number | they are the same; the greater age holds |
// | one is withdrawn | as above: withdrawing writes a number, too |
// | origins differ in their epoch (the same name started anew, a copied folder, a paused process that goes on) | both hold, as of two instances, until each is over by its age |
// | ages differ since clocks do | none tells an instant: each holder counts on from the age it was told by its own clock |
// | one is of an origin that was forgotten | it stays forgotten: epochs of that name up to the forgotten one are refused |
// | an own entry comes back | it changes nothing: nobody else writes for this life |
// | a value that the topic's check refuses (not a number, too long, too old) | it is left out, and counted against the sender |
//
// What is over does not rise again. An entry lives for its topic's Life and is then dropped by
// each copy by itself; what was withdrawn is kept as withdrawn for as long. A copy that has
// dropped it still knows the origin's number, and takes nothing up to it. Origins of which
// nothing is heard for Forget are dropped whole, and their epoch is kept as the floor of their
// name: 8 bytes a name, with room for Origins names, the one longest unheard going first.
// Only a message that was under way for longer than Forget, from a name whose floor has gone,
// could come in as new, and would then live for its topic's Life.
package replication

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"pinedale/internal/splitmix"
)

// Origin is one life of an instance.
type Origin struct {
	Name  string `json:"Name"`
	Epoch uint64 `json:"Epoch"` // Unix microseconds of its start by its own clock; a later life has a higher one
}

func (o Origin) compare(p Origin) int {
	if c := strings.Compare(o.Name, p.Name); c != 0 {
		return c
	}
	switch {
	case o.Epoch < p.Epoch:
		return -1
	case o.Epoch > p.Epoch:
		return 1
	}
	return 0
}

// Topic is what an entry is about.
type Topic uint8

// Entry is one thing that an origin has told.
type Entry struct {
	Topic     Topic
	Subject   string
	Seq       uint64        // the origin's number for it
	Age       time.Duration // since it was written, as far as is known
	Withdrawn bool          // it is withdrawn; there is no value
	Value     []byte
}

// Rule is what holds for the entries of a topic.
type Rule struct {
	TTL     time.Duration // for which an entry counts after it was written
	Indexed bool          // it is viewed often, and has few entries: a view costs no walk over those of other topics
	Check   func(value []byte) error
}

// Limits bound what a store keeps, whatever it is sent.
type Limits struct {
	Origins     int           // that are known, and names whose floor is kept
	Entries     int           // of one origin
	Subject     int           // bytes
	Value       int           // bytes
	Message     int           // bytes of entries in one message, about
	ForgetAfter time.Duration // an origin of which nothing is heard
	Repeats     int           // times that an entry is passed on as a rumour
	Rumours     int           // entries waiting to be passed on
	Messages    int           // that one vectors message may have as its answer
}

// Defaults keep a store under 64 MB with 4,096 origins of 256 entries of 64 bytes.
var Defaults = Limits{Origins: 4096, Entries: 256, Subject: 128, Value: 256, Message: 1100,
	ForgetAfter: time.Hour, Repeats: 2, Rumours: 4096, Messages: 16}

type subject struct {
	topic Topic
	name  string
}

// kept is an entry as it is held.
type kept struct {
	seq     uint64
	written time.Duration // by the store's clock
	gone    bool
	value   []byte
}

// origin is what is held of one.
type origin struct {
	id      Origin
	have    uint64 // of all up to this number the latest of each subject is held, or over
	heard   time.Duration
	entries map[subject]*kept
	often   map[subject]*kept // those of them whose topics are viewed often
	coming  coming
}

// coming is a delta of which some parts are in.
type coming struct {
	from, to, sum uint64
	parts         []bool
	left          int
}

// rumour is an entry to pass on.
type rumour struct {
	origin Origin
	entry  subject
	seq    uint64
	left   int
}

// Store holds one instance's copy of what all tell. One goroutine owns it. Instants are by
// its owner's clock, which never runs backwards.
type Store struct {
	self    Origin
	rules   map[Topic]Rule
	limits  Limits
	seq     uint64
	origins map[Origin]*origin
	floors  map[string]floor
	hot     []rumour
	refused uint64
}

type floor struct {
	epoch uint64
	at    time.Duration
}

// New returns a store that knows itself alone.
func New(self Origin, rules map[Topic]Rule, l Limits) *Store {
	s := &Store{self: self, rules: rules, limits: l, origins: map[Origin]*origin{}, floors: map[string]floor{}}
	s.origins[self] = &origin{id: self, entries: map[subject]*kept{}}
	return s
}

// hold keeps an entry of an origin's.
func (s *Store) hold(o *origin, key subject, e *kept) {
	o.entries[key] = e
	if s.rules[key.topic].Indexed {
		if o.often == nil {
			o.often = map[subject]*kept{}
		}
		o.often[key] = e
	}
}

// drop lets go of one.
func (o *origin) drop(key subject) {
	delete(o.entries, key)
	delete(o.often, key)
}

// Self is this instance's life.
func (s *Store) Self() Origin { return s.self }

// RejectedCount counts entries and messages that were left out.
func (s *Store) RejectedCount() uint64 { return s.refused }

// Origins counts the lives that are known, this one included.
func (s *Store) Origins() int { return len(s.origins) }

// Put tells a value. It is an error if there is no room for another subject, or the value is
// not as its topic's rule wants it.
func (s *Store) Put(now time.Duration, t Topic, name string, value []byte) error {
	o, key := s.origins[s.self], subject{t, name}
	if err := s.check(t, name, value); err != nil {
		return err
	}
	if o.entries[key] == nil && len(o.entries) >= s.limits.Entries {
		return fmt.Errorf("replica: %d subjects are told already", len(o.entries))
	}
	s.write(now, o, key, &kept{value: value})
	return nil
}

// Withdraw takes back what was told of a subject, if anything was.
func (s *Store) Withdraw(now time.Duration, t Topic, name string) {
	o, key := s.origins[s.self], subject{t, name}
	if e := o.entries[key]; e != nil && !e.gone {
		s.write(now, o, key, &kept{gone: true})
	}
}

func (s *Store) write(now time.Duration, o *origin, key subject, e *kept) {
	s.seq++
	e.seq, e.written = s.seq, now
	s.hold(o, key, e)
	o.have, o.heard = s.seq, now
	s.spread(o.id, key, e.seq)
}

// spread has an entry passed on. Where there is no room the oldest rumour gives way:
// comparing finds what it would have told.
func (s *Store) spread(id Origin, key subject, seq uint64) {
	if len(s.hot) >= s.limits.Rumours {
		s.hot = s.hot[1:]
	}
	s.hot = append(s.hot, rumour{id, key, seq, s.limits.Repeats})
}

var errValue = errors.New("replica: a value is too long, or its subject is")

func (s *Store) check(t Topic, name string, value []byte) error {
	r, ok := s.rules[t]
	if !ok {
		return fmt.Errorf("replica: topic %d is not known", t)
	}
	if name == "" || len(name) > s.limits.Subject || len(value) > s.limits.Value {
		return errValue
	}
	return r.Check(value)
}

// Rumour is an entry with whom it is of.
type Rumour struct {
	Origin Origin
	Entry  Entry
}

// Delta is a part of all that an origin has told above From, up to To: one of Of parts, which
// only together bring a copy to To. For what is missing of a part may be the later word on
// what another part tells, and a copy that stopped there would hold what its author never
// held. Sum is that of the whole, so that parts of two wholes are not taken for one. Where it
// is Loose, it has entries above From with gaps that perhaps nobody can fill any more.
type Delta struct {
	Origin      Origin
	From, To    uint64
	Part, Parts int
	Checksum    uint64
	Incomplete  bool
	Entries     []Entry
}

// Vector says up to which number everything of an origin is had, and by a hash what else.
type Vector struct {
	Origin Origin `json:"Origin"`
	Have   uint64 `json:"Have"`
	More   uint64 `json:"More"`
}

// Vectors are those of all origins of some buckets. Answer says that they were asked for:
// deltas may follow, and nothing else.
type Vectors struct {
	Buckets  []int
	Vectors  []Vector
	Response bool
}

// Buckets is how many a digest has: 512 bytes, and 64 origins a bucket where there are most.
const Buckets = 64

// Digest is a hash for each bucket of origins and what is had of them.
type Digest [Buckets]uint64

func bucketOf(o Origin) int {
	return int(hashOf(o) % Buckets)
}

func hashOf(o Origin) uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Name))
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], o.Epoch)
	h.Write(b[:])
	return h.Sum64()
}

// vector is that of one origin.
func (o *origin) vector() Vector {
	v := Vector{Origin: o.id, Have: o.have}
	for _, e := range o.entries {
		if e.seq > o.have {
			v.More += splitmix.Mix(e.seq)
		}
	}
	return v
}

// Digest says what is held, in short.
func (s *Store) Digest() (d Digest) {
	for id, o := range s.origins {
		// A sum, so that the order makes no difference; mixed, so that one number more here and
		// one fewer there do not make up for each other.
		v := o.vector()
		d[bucketOf(id)] += splitmix.Mix(hashOf(id) + v.Have*0x9e3779b97f4a7c15 + v.More)
	}
	return d
}

// HandleDigest takes another's digest in and returns the vectors of some buckets that differ, nil
// if none does. start says at which bucket to begin, so that one that can't be brought in
// line does not keep the others waiting.
func (s *Store) HandleDigest(d Digest, start int) *Vectors {
	own := s.Digest()
	var differ []int
	for i := range Buckets {
		if b := (start + i) % Buckets; own[b] != d[b] {
			differ = append(differ, b)
		}
	}
	if len(differ) == 0 {
		return nil
	}
	return s.vectors(differ, false)
}

// vectors are those of as many of the buckets as one message holds, one at least.
func (s *Store) vectors(buckets []int, answer bool) *Vectors {
	all := map[int][]Vector{}
	for id, o := range s.origins {
		b := bucketOf(id)
		all[b] = append(all[b], o.vector())
	}
	v := &Vectors{Response: answer}
	size := 0
	for _, b := range buckets {
		for _, x := range all[b] {
			size += len(x.Origin.Name) + 24
		}
		if len(v.Buckets) > 0 && size > s.limits.Message {
			break
		}
		slices.SortFunc(all[b], func(a, c Vector) int { return a.Origin.compare(c.Origin) })
		v.Buckets, v.Vectors = append(v.Buckets, b), append(v.Vectors, all[b]...)
	}
	return v
}

// HandleVectors takes another's vectors in: it returns what that one lacks, and the own vectors of
// the same buckets, so that it can send what is lacking here; nil if nothing is.
func (s *Store) HandleVectors(now time.Duration, v *Vectors) (deltas []Delta, own *Vectors) {
	theirs := map[Origin]Vector{}
	lacking := false
	for _, x := range v.Vectors {
		if x.Origin == s.self && x.Have > s.seq && x.Have-s.seq <= jumpMost {
			s.retell(now, x.Have)
		}
		theirs[x.Origin] = x
		o := s.origins[x.Origin]
		lacking = lacking || o == nil && s.welcome(x.Origin) || o != nil && o.id != s.self && (o.have < x.Have || o.vector().More != x.More)
	}
	named := map[int]bool{}
	var buckets []int
	for _, b := range v.Buckets {
		if b >= 0 && b < Buckets && !named[b] {
			named[b], buckets = true, append(buckets, b)
		}
	}
	var behind []*origin
	for id, o := range s.origins {
		their, known := theirs[id]
		if own := o.vector(); named[bucketOf(id)] && (!known || their.Have < own.Have || own.More != 0 && own.More != their.More) {
			behind = append(behind, o)
		}
	}
	slices.SortFunc(behind, func(a, b *origin) int { return a.id.compare(b.id) })
	for _, o := range behind {
		// The first goes whole, whatever its size, and others only while there is room.
		more := s.deltas(now, o, theirs[o.id].Have)
		if len(deltas) > 0 && len(deltas)+len(more) > s.limits.Messages {
			break
		}
		deltas = append(deltas, more...)
	}
	if lacking && !v.Response {
		own = s.vectors(buckets, true)
	}
	return deltas, own
}

// jumpMost is the most by which a number may be ahead of the one held: no instance tells so
// much in its life, and whoever claims it lies. It leaves room to go beyond what lies told.
const jumpMost = 1 << 32

// retell tells all own entries anew, with numbers beyond one that others hold for this life:
// someone has told them of numbers that it has not given, and would not take its own.
func (s *Store) retell(now time.Duration, above uint64) {
	s.seq = above
	o := s.origins[s.self]
	keys := make([]subject, 0, len(o.entries))
	for key := range o.entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b subject) int {
		if a.topic != b.topic {
			return int(a.topic) - int(b.topic)
		}
		return strings.Compare(a.name, b.name)
	})
	for _, key := range keys {
		was := o.entries[key]
		s.write(was.written, o, key, &kept{gone: was.gone, value: was.value})
	}
	o.have, o.heard = s.seq, now
}

// deltas are all that is held of an origin above a number, in parts of one message each.
func (s *Store) deltas(now time.Duration, o *origin, above uint64) (out []Delta) {
	var entries, loose []Entry
	for key, e := range o.entries {
		if e.seq > o.have {
			loose = append(loose, entry(now, key, e))
		} else if e.seq > above {
			entries = append(entries, entry(now, key, e))
		}
	}
	split := func(d Delta, of []Entry) {
		slices.SortFunc(of, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
		first, size := len(out), 0
		for _, e := range of {
			d.Checksum += splitmix.Mix(e.Seq)
		}
		for ; len(of) > 0; of = of[1:] {
			e := of[0]
			size += len(e.Subject) + len(e.Value) + 24
			if size > s.limits.Message && len(d.Entries) > 0 {
				out = append(out, d)
				d.Entries, size = nil, len(e.Subject)+len(e.Value)+24
			}
			d.Entries = append(d.Entries, e)
		}
		out = append(out, d)
		for i := first; i < len(out); i++ {
			out[i].Part, out[i].Parts = i-first, len(out)-first
		}
	}
	if above < o.have {
		split(Delta{Origin: o.id, From: above, To: o.have}, entries)
	}
	if len(loose) > 0 {
		split(Delta{Origin: o.id, From: o.have, To: o.have, Incomplete: true}, loose)
	}
	return out
}

func entry(now time.Duration, key subject, e *kept) Entry {
	return Entry{Topic: key.topic, Subject: key.name, Seq: e.seq, Age: max(0, now-e.written), Withdrawn: e.gone, Value: e.value}
}

// welcome says whether an origin that is not known may be.
func (s *Store) welcome(id Origin) bool {
	f, forgotten := s.floors[id.Name]
	return id.Name != "" && len(id.Name) <= s.limits.Subject && (!forgotten || id.Epoch > f.epoch)
}

// of returns what is held of an origin, and makes room for a new one if it is welcome.
func (s *Store) of(now time.Duration, id Origin) *origin {
	if o := s.origins[id]; o != nil {
		return o
	}
	if !s.welcome(id) || len(s.origins) >= s.limits.Origins {
		s.refused++
		return nil
	}
	o := &origin{id: id, heard: now, entries: map[subject]*kept{}}
	s.origins[id] = o
	return o
}

// take merges one entry, and says whether it was news.
func (s *Store) take(now time.Duration, o *origin, in Entry) bool {
	if in.Seq <= o.have {
		return false
	}
	if in.Seq-o.have > jumpMost {
		s.refused++
		return false
	}
	key := subject{in.Topic, in.Subject}
	old := o.entries[key]
	if old != nil && old.seq >= in.Seq {
		if old.seq == in.Seq {
			old.written = min(old.written, now-max(0, in.Age))
		}
		return false
	}
	rule, ok := s.rules[in.Topic]
	if !ok || in.Age < 0 || in.Subject == "" || len(in.Subject) > s.limits.Subject || !in.Withdrawn && s.check(in.Topic, in.Subject, in.Value) != nil {
		s.refused++
		return false
	}
	if in.Age >= rule.TTL {
		o.drop(key) // what is held is older still
		return false
	}
	if old == nil && len(o.entries) >= s.limits.Entries {
		s.refused++
		return false
	}
	e := &kept{seq: in.Seq, written: now - in.Age, gone: in.Withdrawn}
	if !in.Withdrawn {
		e.value = in.Value
	}
	s.hold(o, key, e)
	o.heard = now
	return true
}

// HandleRumour takes a rumour in, and passes it on if it was news.
func (s *Store) HandleRumour(now time.Duration, r Rumour) {
	if r.Origin == s.self {
		return
	}
	o := s.of(now, r.Origin)
	if o == nil {
		return
	}
	news := s.take(now, o, r.Entry)
	if r.Entry.Seq == o.have+1 {
		o.have++
	}
	if news {
		s.spread(r.Origin, subject{r.Entry.Topic, r.Entry.Subject}, r.Entry.Seq)
	}
}

// Merge takes a part of a delta in. One that leaves a gap is merged, and the gap asked for again.
func (s *Store) Merge(now time.Duration, d Delta) {
	if d.Origin == s.self {
		return
	}
	if d.To < d.From || d.Parts < 1 || d.Parts > s.limits.Entries || d.Part < 0 || d.Part >= d.Parts {
		s.refused++
		return
	}
	o := s.of(now, d.Origin)
	if o == nil {
		return
	}
	for _, e := range d.Entries {
		if e.Seq <= d.From || !d.Incomplete && e.Seq > d.To {
			s.refused++ // it is not of this delta, which then is not what it says
			return
		}
	}
	for _, e := range d.Entries {
		s.take(now, o, e)
	}
	if d.Incomplete || d.From > o.have || d.To <= o.have || d.To-o.have > jumpMost {
		return
	}
	if c := &o.coming; c.from != d.From || c.to != d.To || c.sum != d.Checksum || len(c.parts) != d.Parts {
		*c = coming{d.From, d.To, d.Checksum, make([]bool, d.Parts), d.Parts}
	}
	if c := &o.coming; !c.parts[d.Part] {
		c.parts[d.Part] = true
		if c.left--; c.left == 0 {
			o.have, o.heard, o.coming = d.To, now, coming{}
		}
	}
}

// Rumours are those to pass on now, in one message, those told least often first. The caller
// sends it to a few others.
func (s *Store) Rumours(now time.Duration) []Rumour {
	var out []Rumour
	var again []rumour
	size := 0
	for len(s.hot) > 0 {
		r := s.hot[0]
		o := s.origins[r.origin]
		var e *kept
		if o != nil {
			e = o.entries[r.entry]
		}
		if e != nil && e.seq == r.seq { // else it is over, or told anew
			size += len(r.origin.Name) + len(r.entry.name) + len(e.value) + 48
			if size > s.limits.Message && len(out) > 0 {
				break
			}
			out = append(out, Rumour{r.origin, entry(now, r.entry, e)})
			if r.left--; r.left > 0 {
				again = append(again, r)
			}
		}
		s.hot = s.hot[1:]
	}
	s.hot = append(s.hot, again...)
	return out
}

// Expire drops what is over. It is called every second or so.
func (s *Store) Expire(now time.Duration) {
	for id, o := range s.origins {
		for key, e := range o.entries {
			if now-e.written >= s.rules[key.topic].TTL {
				o.drop(key)
			}
		}
		if id != s.self && now-o.heard >= s.limits.ForgetAfter {
			delete(s.origins, id)
			if f := s.floors[id.Name]; id.Epoch >= f.epoch {
				s.floors[id.Name] = floor{id.Epoch, now}
			}
		}
	}
	for len(s.floors) > s.limits.Origins {
		oldest := ""
		for name, f := range s.floors {
			if oldest == "" || f.at < s.floors[oldest].at {
				oldest = name
			}
		}
		delete(s.floors, oldest)
	}
}

// Record is an entry with whom it is of.
type Record struct {
	Origin Origin
	Entry
}

// View returns what holds of a topic, by origin and subject. What is withdrawn or over is not
// in it.
func (s *Store) View(now time.Duration, t Topic) []Record {
	var out []Record
	for id, o := range s.origins {
		entries := o.entries
		if s.rules[t].Indexed {
			entries = o.often
		}
		for key, e := range entries {
			if key.topic == t && !e.gone && now-e.written < s.rules[t].TTL {
				out = append(out, Record{id, entry(now, key, e)})
			}
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		if c := a.Origin.compare(b.Origin); c != 0 {
			return c
		}
		return strings.Compare(a.Subject, b.Subject)
	})
	return out
}

// Contains says whether an origin's entry of this number is held, or known to be replaced or over.
func (s *Store) Contains(id Origin, seq uint64) bool {
	o := s.origins[id]
	if o == nil {
		return false
	}
	if seq <= o.have {
		return true
	}
	for _, e := range o.entries {
		if e.seq == seq {
			return true
		}
	}
	return false
}

// Vectors is up to which number everything of each origin is held.
func (s *Store) Vectors() []Vector {
	var out []Vector
	for _, o := range s.origins {
		out = append(out, o.vector())
	}
	slices.SortFunc(out, func(a, b Vector) int { return a.Origin.compare(b.Origin) })
	return out
}
