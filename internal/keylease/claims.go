// Package claims decides, without I/O, to which group of servers a keyed request may go
// that other instances may have sent, too.
//
// The servers of a group drop repeats of a key among themselves. A client that repeats its
// request at another instance must therefore meet the group that the first one chose, or
// the effect may be done twice. So before an instance sends a keyed request it claims the
// key for the group of the server it has picked, at a few witnesses: instances of the
// fleet, the same few for a key wherever it is asked. A witness gives a key to one group at
// a time and remembers who holds it. An instance may send only to the group that a majority
// of the witnesses has told it, and knows from their answers whether others hold the key
// with it: if none does, nobody has sent the request.
//
// Why that suffices. Two majorities of the same witnesses share one. A witness takes a group
// from a key only when each of its holders has released it (which a holder does only if it
// sent nothing that may have run, and will not) or when the hold is over (by which time no
// holder may send any more). So while anyone may still send to one group, no majority can be
// told another. And of two holders of one group the witness that they share has seen one
// first: the other one is told that it is not alone. Nothing is stored on disk: a witness
// that starts answers nothing until each hold that its life before may have given is over.
//
// Rounds. A holder that has released a key and claims it anew, for another group, counts a
// round. Messages may be late, doubled or lost: one of an earlier round changes nothing.
//
// | what comes | the witness has | what holds |
// | --- | --- | --- |
// | ask | nothing, or nobody holds it | the asker holds it, for its group |
// | ask | the asker holds it, same round | as it is; answered again |
// | ask | the asker alone holds it, earlier round | the asker holds it, for its new group |
// | ask | others hold it | the asker holds it with them, for their group |
// | ask | the asker has released this round or a later one | nothing changes, no answer |
// | release | the asker holds it, this round or an earlier one | the asker no longer holds it |
// | release | the asker holds it, a later round | nothing changes |
// | any | the hold is over | as if it had nothing |
package keylease

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"pinedale/internal/splitmix"
)

// Key stands for an idempotency key of a class.
type Key [16]byte

// KeyOf hashes a class and an idempotency key: SHA-256, cut. Two keys of a class that
// meet would have one request fail that might be served, and no effect done twice.
func KeyOf(class, key string) Key {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(class)))
	h.Write(size[:])
	h.Write([]byte(class))
	h.Write([]byte(key))
	return Key(h.Sum(nil)[:16])
}

// Owner is one request at one life of an instance.
type Owner struct {
	Name    string
	Epoch   uint64 // of the instance's life
	Request uint64
}

// Request is what a claimant sends to each witness, again and again until it is answered.
type Request struct {
	Key      Key
	Owner    Owner
	Term     uint64
	Group    string
	Duration time.Duration // for which the key is to be remembered
	VoterSet uint64        // of the witnesses, as the asker knows them
}

// ResponseKind says what an answer is.
type ResponseKind uint8

// The kinds of answers. Only Told counts; the others say why a witness can't tell.
const (
	Granted       ResponseKind = iota
	Recovering                 // the witness has started too lately to know
	UnknownVoters              // it knows of other witnesses than the asker
	AtCapacity                 // it has no room for another key, or the key for another holder
)

// Response is a witness's.
type Response struct {
	Key    Key
	Owner  Owner
	Term   uint64
	Kind   ResponseKind
	Group  string        // that the key is held for
	Age    time.Duration // since the first ask that this group was given for
	Shared bool          // others hold it with the asker
}

// VoterSetHash is a number for a list of witnesses: the same for the same names in any order.
func VoterSetHash(names []string) uint64 {
	names = slices.Sorted(slices.Values(names))
	h := fnv.New64a()
	for _, n := range names {
		h.Write([]byte(n))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// Voters returns the k witnesses of a key, by rendezvous hashing (Thaler and Ravishankar,
// 1998): all instances with the same names find the same.
func Voters(names []string, key Key, k int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, n := range names {
		h := fnv.New64a()
		h.Write([]byte(n))
		h.Write(key[:])
		all[i] = scored{n, splitmix.Mix(h.Sum64())} // FNV leaves the last bytes' difference in the low bits
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	out := make([]string, 0, k)
	for i := range min(k, len(all)) {
		out = append(out, all[i].name)
	}
	return out
}

// Limits bound what a witness keeps, whatever it is sent.
type Limits struct {
	Keys        int           // at once; one takes some 200 bytes
	Holders     int           // of one key
	MaxDuration time.Duration // the longest that is given
}

// holder is one that asked for a key. A released one stays until the hold is over, so that
// what comes late of it finds that it is over.
type holder struct {
	owner    Owner
	round    uint64
	released bool
}

type held struct {
	key     Key
	group   string
	first   time.Duration
	until   time.Duration
	holders []holder
}

// Acceptor keeps the keys that others claim. One goroutine owns it. Times are by the
// owner's clock, which never runs backwards.
type Acceptor struct {
	limits Limits
	roll   uint64
	quiet  time.Duration // until then it does not know what its life before has told
	keys   map[Key]*held
	turn   []*held // in the order first asked for, to let go of what is over
}

// NewAcceptor starts a witness. It answers nothing until the longest hold is over.
func NewAcceptor(now time.Duration, l Limits, roll uint64) *Acceptor {
	return &Acceptor{limits: l, roll: roll, quiet: now + l.MaxDuration, keys: map[Key]*held{}}
}

// KeyCount counts what is kept.
func (w *Acceptor) KeyCount() int { return len(w.keys) }

// RecoveringFor is how long it will go on not answering.
func (w *Acceptor) RecoveringFor(now time.Duration) time.Duration { return max(0, w.quiet-now) }

// sweep lets go of a few keys whose hold is over: two for each that comes, so that what is
// over goes faster than new ones come, and no call walks over all.
func (w *Acceptor) sweep(now time.Duration) {
	for range 2 {
		if len(w.turn) == 0 {
			return
		}
		h := w.turn[0]
		w.turn = w.turn[1:]
		if now < h.until {
			w.turn = append(w.turn, h)
		} else if w.keys[h.key] == h {
			delete(w.keys, h.key)
		}
	}
}

// HandleRequest takes a claim in. ok is false where nothing is to be answered.
func (w *Acceptor) HandleRequest(now time.Duration, a Request) (out Response, ok bool) {
	w.sweep(now)
	out = Response{Key: a.Key, Owner: a.Owner, Term: a.Term}
	switch {
	case a.VoterSet != w.roll:
		out.Kind = UnknownVoters
		return out, true
	case now < w.quiet:
		out.Kind = Recovering
		return out, true
	}
	h := w.keys[a.Key]
	if h != nil && now >= h.until {
		h = nil
	}
	if h == nil {
		if len(w.keys) >= w.limits.Keys && w.keys[a.Key] == nil {
			out.Kind = AtCapacity
			return out, true
		}
		h = &held{key: a.Key}
		w.keys[a.Key] = h
		w.turn = append(w.turn, h)
	}
	at := slices.IndexFunc(h.holders, func(o holder) bool { return o.owner == a.Owner })
	if at >= 0 && (h.holders[at].round > a.Term || h.holders[at].released && h.holders[at].round >= a.Term) {
		return out, false
	}
	if at < 0 && len(h.holders) >= w.limits.Holders {
		out.Kind = AtCapacity
		return out, true
	}
	for i, o := range h.holders {
		out.Shared = out.Shared || i != at && !o.released
	}
	again := at >= 0 && !h.holders[at].released && h.holders[at].round == a.Term
	if !out.Shared && !again {
		h.group, h.first = a.Group, now
	}
	if at < 0 {
		h.holders = append(h.holders, holder{})
		at = len(h.holders) - 1
	}
	h.holders[at] = holder{owner: a.Owner, round: a.Term}
	h.until = max(h.until, now+min(max(0, a.Duration), w.limits.MaxDuration))
	out.Group, out.Age = h.group, now-h.first
	return out, true
}

// HandleRelease takes back a claim of this round and those before it.
func (w *Acceptor) HandleRelease(now time.Duration, key Key, owner Owner, round uint64) {
	h := w.keys[key]
	if h == nil || now >= h.until {
		return
	}
	for i := range h.holders {
		if o := &h.holders[i]; o.owner == owner && o.round <= round {
			o.round, o.released = round, true
		}
	}
}
