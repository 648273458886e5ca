package keylease

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"
)

// The world that is explored: three witnesses, some claimants that each wish for a group
// of their own, and a network that may deliver anything that was ever sent, at any time and
// any number of times, or never: it loses, doubles and reorders. A claimant that is told a
// group sends there, or, where it was told that it is alone, may find that what it sent never
// ran, release the key, and claim the next group. A witness may start anew, and then answers
// nothing for as long as the key is held.
type world struct {
	roll      uint64
	asks      [][]Request // by claimant and round
	names     []string
	rounds    uint64
	forgetful bool            // the planted fault: a witness that started anew answers at once
	careless  bool            // the planted fault: a release counts whatever its round
	seen      map[uint64]bool // by hash: of a million states two meet with a chance of 1 in 10 million
	most      int
	broken    string
}

type state struct {
	witnesses []*Acceptor
	restarted []bool
	claimants []*claimant
}

type claimant struct {
	claim *Lease
	round uint64
	sent  string // the group that it sent to, "" for none
	first bool   // it was told that nobody else had
	over  bool   // what it sent never ran, and it wants no more
	gone  []uint64
}

const holdOf = time.Hour // the explored worlds end before any hold does

func (w *world) claim(n int, round uint64) *Lease {
	return NewLease(Request{Key: Key{1}, Owner: Owner{Name: fmt.Sprint(n), Request: 1}, Term: round,
		Group: fmt.Sprint((uint64(n) + round) % 3), Duration: holdOf, VoterSet: w.roll}, w.names)
}

func (w *world) start(claimants int) *state {
	s := &state{}
	for range w.names {
		s.witnesses = append(s.witnesses, NewAcceptor(-holdOf, Limits{Keys: 4, Holders: 8, MaxDuration: holdOf}, w.roll))
		s.restarted = append(s.restarted, false)
	}
	for n := range claimants {
		w.asks = append(w.asks, nil)
		for round := range w.rounds + 1 {
			w.asks[n] = append(w.asks[n], w.claim(n, round).Request)
		}
		s.claimants = append(s.claimants, &claimant{claim: w.claim(n, 1), round: 1})
	}
	return s
}

// clone shares witnesses and claimants, which witness and claimant copy before they change.
func (s *state) clone() *state {
	return &state{witnesses: slices.Clone(s.witnesses), restarted: s.restarted, claimants: slices.Clone(s.claimants)}
}

func (s *state) witness(i int) *Acceptor {
	n := *s.witnesses[i]
	n.keys, n.turn = map[Key]*held{}, nil
	for k, h := range s.witnesses[i].keys {
		hh := *h
		hh.holders = slices.Clone(h.holders)
		n.keys[k], n.turn = &hh, []*held{&hh}
	}
	s.witnesses[i] = &n
	return &n
}

func (s *state) claimant(n int) *claimant {
	x := *s.claimants[n]
	cl := *x.claim
	cl.answers = slices.Clone(x.claim.answers)
	x.claim, x.gone = &cl, slices.Clone(x.gone)
	s.claimants[n] = &x
	return &x
}

// print is the same for states from which the same can follow.
func (s *state) print() uint64 {
	var b []byte
	flag := func(yes bool) {
		if b = append(b, 'n'); yes {
			b[len(b)-1] = 'y'
		}
	}
	for i, w := range s.witnesses {
		flag(s.restarted[i])
		if h := w.keys[Key{1}]; h != nil {
			holders := slices.Clone(h.holders)
			slices.SortFunc(holders, func(a, b holder) int { return strings.Compare(a.owner.Name, b.owner.Name) })
			b = append(append(b, 'g'), h.group...)
			for _, o := range holders {
				b = append(append(b, o.owner.Name...), byte(o.round))
				flag(o.released)
			}
		}
	}
	for _, c := range s.claimants {
		b = append(append(b, '|', byte(c.round), byte(len(c.gone))), c.sent...)
		flag(c.first)
		flag(c.over)
		if c.sent != "" || c.over {
			continue // what it was told no longer matters
		}
		for _, a := range c.claim.answers {
			flag(a.came)
			flag(a.others)
			b = append(b, a.group...)
		}
	}
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// judge is what must hold in every state.
func (s *state) judge() string {
	group, firsts := "", 0
	for _, c := range s.claimants {
		if c.sent == "" {
			continue
		}
		if group != "" && c.sent != group {
			return "sent to two groups"
		}
		if group = c.sent; c.first {
			firsts++
		}
	}
	if firsts > 1 {
		return "two were told that they are alone"
	}
	return ""
}

// label says what a step was, in words only if they are asked for.
type label struct {
	what string
	of   []any
}

// explore goes through all that can follow. It returns once something is broken.
func (w *world) explore(s *state, path []label) {
	if w.broken != "" || len(w.seen) >= w.most {
		return
	}
	if why := s.judge(); why != "" {
		w.broken = why
		for _, l := range path {
			w.broken += "\n  " + fmt.Sprintf(l.what, l.of...)
		}
		return
	}
	id := s.print()
	if w.seen[id] {
		return
	}
	w.seen[id] = true
	step := func(do func(*state), what string, of ...any) {
		next := s.clone()
		do(next)
		w.explore(next, append(path[:len(path):len(path)], label{what, of}))
	}
	for n, c := range s.claimants {
		for i, name := range w.names {
			if s.restarted[i] && !w.forgetful {
				continue // it says that it can't tell, which changes nothing
			}
			// An ask may come late: of a round that is over, or once its claimant waits no more.
			for round := uint64(1); round <= c.round; round++ {
				ask, waits := w.asks[n][round], round == c.round && c.sent == "" && !c.over
				if waits && c.claim.answers[i].came {
					continue // asked again it says the same, or has started anew and says nothing
				}
				step(func(s *state) {
					if a, ok := s.witness(i).HandleRequest(0, ask); ok && waits {
						s.claimant(n).claim.HandleResponse(0, name, a)
					}
				}, "ask of %d round %d comes to %s", n, round, name)
			}
			for _, round := range c.gone {
				if w.careless {
					round += 100
				}
				step(func(s *state) { s.witness(i).HandleRelease(0, Key{1}, c.claim.Request.Owner, round) }, "release of %d round %d comes to %s", n, round, name)
			}
		}
		if o, group, _ := c.claim.State(); c.sent == "" && !c.over && (o == Exclusive || o == Shared) {
			step(func(s *state) {
				x := s.claimant(n)
				x.sent, x.first = group, o == Exclusive
			}, "%d sends to %s", n, group)
			if o == Exclusive && c.round < w.rounds {
				step(func(s *state) {
					x := s.claimant(n)
					x.gone, x.round = append(x.gone, x.round), x.round+1
					x.claim = w.claim(n, x.round)
				}, "what %d sent to %s never ran; the next round", n, group)
			}
			if o == Exclusive {
				step(func(s *state) {
					x := s.claimant(n)
					x.gone, x.over = append(x.gone, x.round), true
				}, "what %d sent to %s never ran, and it gives up", n, group)
			}
		}
	}
	for i, name := range w.names {
		if !s.restarted[i] && !slices.Contains(s.restarted, true) {
			step(func(s *state) {
				s.restarted = slices.Clone(s.restarted)
				s.restarted[i] = true
				s.witnesses[i] = NewAcceptor(0, Limits{Keys: 4, Holders: 8, MaxDuration: holdOf}, w.roll)
				if w.forgetful {
					s.witnesses[i].quiet = 0
				}
			}, "%s starts anew", name)
		}
	}
}

func explored(claimants int, rounds uint64, plant func(*world)) *world {
	w := &world{names: []string{"a", "b", "c"}, rounds: rounds, most: 3_000_000, seen: map[uint64]bool{}}
	w.roll = VoterSetHash(w.names)
	if plant != nil {
		plant(w)
	}
	w.explore(w.start(claimants), nil)
	return w
}

// raced says that the race detector is on, with which the larger worlds take minutes.
var raced bool

// In every order of messages, with losses, copies and a witness that starts anew: what is
// sent goes to one group, and one alone is told that it is the first.
func TestEveryOrder(t *testing.T) {
	for _, x := range []struct {
		claimants int
		rounds    uint64
	}{{2, 1}, {2, 2}, {3, 1}} {
		if raced && x.claimants*int(x.rounds) > 2 {
			t.Skip("explored without the race detector")
		}
		w := explored(x.claimants, x.rounds, nil)
		if w.broken != "" {
			t.Fatal(w.broken)
		}
		t.Logf("%d claimants, %d rounds: %d states", x.claimants, x.rounds, len(w.seen))
		if len(w.seen) < 100 {
			t.Errorf("only %d states: the world does not move", len(w.seen))
		}
	}
}

// The explorer finds faults that are planted on purpose.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, plant := range map[string]func(*world){
		"a witness that starts anew answers at once": func(w *world) { w.forgetful = true },
		"a release of any round counts":              func(w *world) { w.careless = true },
	} {
		if w := explored(2, 2, plant); w.broken == "" {
			t.Errorf("%s: nothing was found in %d states", name, len(w.seen))
		}
	}
}
