package replication

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

var rules = map[Topic]Rule{
	1: {TTL: time.Minute, Check: func(v []byte) error {
		if len(v) == 0 || v[0] == 0xff {
			return errors.New("not a value")
		}
		return nil
	}},
	2: {TTL: 10 * time.Minute, Check: func([]byte) error { return nil }},
}

func id(n int) Origin { return Origin{Name: fmt.Sprint("i-", n), Epoch: 1000} }

// same says how two views differ, "" if they don't. Ages are not compared.
func same(a, b []Record) string {
	for i := range max(len(a), len(b)) {
		switch {
		case i >= len(a):
			return fmt.Sprintf("one lacks %v", b[i])
		case i >= len(b):
			return fmt.Sprintf("one has %v", a[i])
		case a[i].Origin != b[i].Origin || a[i].Subject != b[i].Subject || a[i].Seq != b[i].Seq || !bytes.Equal(a[i].Value, b[i].Value):
			return fmt.Sprintf("%v and %v", a[i], b[i])
		}
	}
	return ""
}

// talk has two stores compare until neither has anything for the other. drop loses messages.
func talk(now time.Duration, a, b *Store, drop func() bool) {
	for start := range 8 {
		v := b.HandleDigest(a.Digest(), start)
		if v == nil {
			return
		}
		if drop() {
			continue
		}
		deltas, own := a.HandleVectors(now, v)
		for _, d := range deltas {
			if !drop() {
				b.Merge(now, d)
			}
		}
		if own != nil && !drop() {
			back, _ := b.HandleVectors(now, own)
			for _, d := range back {
				if !drop() {
					a.Merge(now, d)
				}
			}
		}
	}
}

// In small worlds every order counts: up to six messages, each lost, or once or twice
// delivered, in each order, at a store that may have heard of some already. Whatever came, a
// comparison then brings it to what the author holds, and nothing withdrawn is back.
func TestEveryOrderOfMessages(t *testing.T) {
	author := New(id(1), rules, Defaults)
	var sent []Rumour
	tell := func() {
		for _, r := range author.Rumours(0) {
			if !slices.ContainsFunc(sent, func(s Rumour) bool { return s.Entry.Seq == r.Entry.Seq }) {
				sent = append(sent, r)
			}
		}
	}
	for _, x := range []string{"a=1", "b=1", "a=2", "-b", "c=1", "b=2"} {
		if x[0] == '-' {
			author.Withdraw(0, 1, x[1:])
		} else if err := author.Put(0, 1, x[:1], []byte(x[2:])); err != nil {
			t.Fatal(err)
		}
		tell()
	}
	if len(sent) != 6 {
		t.Fatalf("%d messages", len(sent))
	}
	want := author.View(0, 1)
	worlds := 0
	// Each permutation of each multiset in which a message is there 0, 1 or 2 times, at most
	// six deliveries in all: the deliveries are chosen one after the other.
	var deliver func(s *Store, left int, times [6]int)
	deliver = func(s *Store, left int, times [6]int) {
		worlds++
		done := copyOf(s)
		talk(0, done, author, func() bool { return false })
		if why := same(done.View(0, 1), want); why != "" {
			t.Fatalf("after %v: %s", times, why)
		}
		if left == 0 {
			return
		}
		for i, r := range sent {
			if times[i] < 2 {
				next, n := copyOf(s), times
				n[i]++
				next.HandleRumour(0, r)
				deliver(next, left-1, n)
			}
		}
	}
	most := 6
	if raced {
		most = 4
	}
	deliver(New(id(2), rules, Defaults), most, [6]int{})
	t.Logf("%d worlds", worlds)
}

var raced bool

func copyOf(s *Store) *Store {
	c := New(s.self, s.rules, s.limits)
	c.seq, c.refused, c.hot = s.seq, s.refused, slices.Clone(s.hot)
	for id, o := range s.origins {
		n := *o
		n.entries = map[subject]*kept{}
		for k, e := range o.entries {
			x := *e
			n.entries[k] = &x
		}
		c.origins[id] = &n
	}
	for n, f := range s.floors {
		c.floors[n] = f
	}
	return c
}

// A fleet of some stores that tell, withdraw, pass on, lose, double, delay, start anew and are
// away: once all is quiet, each comparison's partner is random and nothing is lost any more,
// every copy is what the authors hold, and sums over origins count each thing once.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "stores")
		limits := Defaults
		limits.Message = rapid.IntRange(60, 1100).Draw(t, "message")
		var now time.Duration
		stores := make([]*Store, n)
		epoch := make([]uint64, n)
		author := map[Origin]*Store{} // the reference: what each life has told itself,
		type number struct {
			Origin
			seq uint64
		}
		wrote := map[number]time.Duration{} // and when
		begin := func(i int) {
			epoch[i] += 10
			stores[i] = New(Origin{fmt.Sprint("i-", i), epoch[i]}, rules, limits)
			author[stores[i].Self()] = stores[i]
		}
		for i := range n {
			begin(i)
		}
		type flying struct {
			to int
			r  Rumour
		}
		var net []flying
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i, j := rapid.IntRange(0, n-1).Draw(t, "one"), rapid.IntRange(0, n-1).Draw(t, "other")
			s := stores[i]
			name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "subject"))
			switch rapid.SampledFrom([]string{"put", "put", "put", "withdraw", "rumours", "rumours", "deliver", "deliver", "talk", "wait", "anew", "sweep"}).Draw(t, "step") {
			case "put":
				if err := s.Put(now, 1, name, []byte{byte(rapid.IntRange(0, 200).Draw(t, "value")), 1}); err != nil {
					t.Fatal(err)
				}
				wrote[number{s.Self(), s.seq}] = now
			case "withdraw":
				s.Withdraw(now, 1, name)
			case "rumours":
				for _, r := range s.Rumours(now) {
					net = append(net, flying{j, r})
				}
			case "deliver":
				if len(net) > 0 { // any of them, and it may come again
					f := net[rapid.IntRange(0, len(net)-1).Draw(t, "which")]
					stores[f.to].HandleRumour(now, f.r)
				}
			case "talk":
				talk(now, s, stores[j], func() bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 })
			case "wait":
				now += time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
			case "anew":
				begin(i)
			case "sweep":
				s.Expire(now)
			}
		}
		// What is still under way comes late, and then all compare with all.
		for _, f := range net {
			stores[f.to].HandleRumour(now, f.r)
		}
		for range n {
			for _, a := range stores {
				for _, b := range stores {
					if a != b {
						talk(now, a, b, func() bool { return false })
					}
				}
			}
		}
		// Time under way is in no age: what came late may be there for as much longer. What is
		// not over by its author's clock must be the same everywhere.
		view := func(s *Store) []Record {
			return slices.DeleteFunc(s.View(now, 1), func(x Record) bool { return now-wrote[number{x.Origin, x.Seq}] >= time.Minute })
		}
		for i, s := range stores {
			if why := same(view(s), view(stores[0])); why != "" {
				t.Fatalf("copies 0 and %d: %s", i, why)
			}
			for _, x := range view(s) {
				real := author[x.Origin].origins[x.Origin].entries[subject{1, x.Subject}]
				// An earlier life is over: of it the last that anybody heard holds.
				if alive := author[x.Origin] == stores[slices.IndexFunc(stores, func(s *Store) bool { return s.Self().Name == x.Origin.Name })]; !alive {
					continue
				}
				if real == nil || real.gone || real.seq != x.Seq {
					t.Fatalf("copy %d holds %v, its author %v", i, x, real)
				}
			}
			for _, live := range stores {
				for key, e := range live.origins[live.Self()].entries {
					if !e.gone && now-e.written < time.Minute && !slices.ContainsFunc(s.View(now, 1), func(x Record) bool { return x.Origin == live.Self() && x.Subject == key.name && x.Seq == e.seq }) {
						t.Fatalf("copy %d lacks %v of %v", i, key, live.Self())
					}
				}
			}
		}
	})
}

// What was withdrawn or is over stays away, whatever comes late: a rumour recorded before, a
// copy that was away for an hour, the old life of an instance that started anew.
func TestNothingRisesAgain(t *testing.T) {
	limits := Defaults
	limits.ForgetAfter = 30 * time.Minute
	a, b, away := New(id(1), rules, limits), New(id(2), rules, limits), New(id(3), rules, limits)
	never := func() bool { return false }
	a.Put(0, 1, "s", []byte("1"))
	old := a.Rumours(0)
	talk(0, a, b, never)
	talk(0, a, away, never)
	a.Withdraw(time.Second, 1, "s")
	talk(time.Second, a, b, never)
	if v := b.View(time.Second, 1); len(v) != 0 {
		t.Fatalf("withdrawn, and there: %v", v)
	}
	back := func(now time.Duration, when string) {
		t.Helper()
		for _, r := range old {
			b.HandleRumour(now, r)
		}
		talk(now, b, away, never)
		if v := b.View(now, 1); len(v) != 0 {
			t.Errorf("%s: %v is back", when, v)
		}
	}
	back(2*time.Second, "two seconds later")
	for now := 10 * time.Second; now < 2*time.Minute; now += 10 * time.Second {
		b.Expire(now)
	}
	if n := len(b.origins[id(1)].entries); n != 0 {
		t.Errorf("%d entries are kept of what was withdrawn and is over", n)
	}
	back(2*time.Minute, "once it is no longer kept as withdrawn")
	b.Expire(time.Hour)
	if b.Origins() != 1 {
		t.Fatalf("%d origins are known after an hour", b.Origins())
	}
	back(time.Hour, "once its origin is forgotten")
	anew := New(Origin{"i-1", 2000}, rules, limits)
	anew.Put(time.Hour, 1, "s", []byte("2"))
	talk(time.Hour, anew, b, never)
	if v := b.View(time.Hour, 1); len(v) != 1 || string(v[0].Value) != "2" {
		t.Errorf("its next life is not heard: %v", v)
	}
}

// Two lives of one name that both go on are two instances: neither's word is the other's.
func TestTwoOfOneName(t *testing.T) {
	first, second, other := New(Origin{"i-1", 1}, rules, Defaults), New(Origin{"i-1", 2}, rules, Defaults), New(id(2), rules, Defaults)
	first.Put(0, 2, "s", []byte("1"))
	second.Put(0, 2, "s", []byte("2"))
	for range 3 {
		talk(0, first, other, func() bool { return false })
		talk(0, second, other, func() bool { return false })
	}
	if v := other.View(0, 2); len(v) != 2 || string(v[0].Value) != "1" || string(v[1].Value) != "2" {
		t.Errorf("held: %v", v)
	}
	if why := same(first.View(0, 2), second.View(0, 2)); why != "" {
		t.Errorf("they differ: %s", why)
	}
}

// A peer that tells more than it may, in another's name or of no value, changes nothing that
// its author does not put right, and takes no more room than the limits give.
func TestPeersThatLie(t *testing.T) {
	limits := Defaults
	limits.Origins, limits.Entries = 50, 10
	a, b := New(id(1), rules, limits), New(id(2), rules, limits)
	a.Put(0, 1, "s", []byte("true"))
	never := func() bool { return false }
	talk(0, a, b, never)
	// In a's name, with numbers that a has not given.
	b.Merge(0, Delta{Origin: id(1), From: 0, To: 900, Parts: 1, Entries: []Entry{{Topic: 1, Subject: "s", Seq: 900, Value: []byte("lie")}}})
	b.Merge(0, Delta{Origin: id(1), From: 900, To: 1 << 60, Parts: 1})
	talk(0, a, b, never)
	talk(0, a, b, never)
	if v := b.View(0, 1); len(v) != 1 || string(v[0].Value) != "true" {
		t.Errorf("what a tells is %v", v)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 2000 {
		b.HandleRumour(0, Rumour{Origin: Origin{fmt.Sprint("x-", n%200), uint64(n)}, Entry: Entry{Topic: Topic(random.IntN(4)), Subject: fmt.Sprint(n % 31),
			Seq: random.Uint64() >> random.IntN(64), Age: time.Duration(random.Int64()) - time.Duration(random.Int64()), Value: []byte{byte(random.IntN(256))}}})
	}
	for id, o := range b.origins {
		if len(o.entries) > limits.Entries {
			t.Errorf("%d entries of %v", len(o.entries), id)
		}
	}
	if b.Origins() > limits.Origins || len(b.hot) > limits.Rumours || b.RejectedCount() == 0 {
		t.Errorf("%d origins, %d rumours, %d refused", b.Origins(), len(b.hot), b.RejectedCount())
	}
	if v := a.View(0, 1); len(v) != 1 || string(v[0].Value) != "true" {
		t.Errorf("a's own: %v", v)
	}
}

// A topic that is viewed often shows what it would show otherwise, whatever was told, heard,
// withdrawn and let go of.
func TestViewedOften(t *testing.T) {
	often := map[Topic]Rule{1: rules[1], 2: rules[2]}
	few := often[2]
	few.Indexed = true
	often[2] = few
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(id(0), rules, Defaults), New(id(0), often, Defaults)
		now, seq := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			topic, name := Topic(rapid.IntRange(1, 2).Draw(t, "topic")), fmt.Sprint("s-", rapid.IntRange(0, 3).Draw(t, "subject"))
			what := rapid.IntRange(0, 4).Draw(t, "what")
			from, jump := id(rapid.IntRange(1, 3).Draw(t, "origin")), rapid.IntRange(0, 2).Draw(t, "jump")
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			seq += uint64(jump)
			for _, s := range []*Store{a, b} {
				switch what {
				case 0:
					s.Put(now, topic, name, []byte{1})
				case 1:
					s.Withdraw(now, topic, name)
				case 2, 3:
					s.HandleRumour(now, Rumour{from, Entry{Topic: topic, Subject: name, Seq: seq + 1, Withdrawn: what == 3, Value: []byte{2}, Age: time.Duration(jump) * 5 * time.Minute}})
				case 4:
					s.Expire(now)
				}
			}
			for topic := Topic(1); topic <= 2; topic++ {
				if why := same(a.View(now, topic), b.View(now, topic)); why != "" {
					t.Fatalf("topic %d: %s", topic, why)
				}
			}
		}
	})
}
