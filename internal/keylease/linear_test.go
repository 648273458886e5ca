package keylease

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// onceWritten is what a key is to those who claim it and release nothing: a register that is
// written once. Whoever is told nothing may have written it or not.
var onceWritten = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		was, wish, told := state.(string), input.(string), output.(string)
		switch {
		case told == "" && was == "":
			return []any{"", wish}
		case told == "" || told == was:
			return []any{was}
		case was == "" && told == wish:
			return []any{wish}
		}
		return nil
	},
}

// underWay is one message of the simulated network.
type underWay struct {
	at     time.Duration
	ask    *Request
	answer *Response
	from   int // claimant of an ask, witness of an answer
	to     int
}

// Claims are linearizable: with messages late, lost and doubled, and witnesses that start
// anew, what claimants are told could have been told one after the other.
func TestClaimsAreLinearizable(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		const hold = time.Minute // no hold ends within a play
		limits := Limits{Keys: 4, Holders: 8, MaxDuration: hold}
		roll := VoterSetHash(names)
		var witnesses []*Acceptor
		for range names {
			witnesses = append(witnesses, NewAcceptor(-hold, limits, roll))
		}
		n := rapid.IntRange(2, 6).Draw(t, "claimants")
		var net []underWay
		post := func(now time.Duration, m underWay) {
			for range rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(t, "copies") {
				m.at = now + time.Duration(rapid.IntRange(1, 50).Draw(t, "late"))*time.Millisecond
				net = append(net, m)
			}
		}
		type claimant struct {
			claim         *Lease
			begins, until time.Duration
			over          bool
			op            porcupine.Operation
		}
		claimants := make([]*claimant, n)
		for i := range claimants {
			c := &claimant{begins: time.Duration(rapid.IntRange(0, 200).Draw(t, "begins")) * time.Millisecond}
			c.until = c.begins + time.Duration(rapid.IntRange(20, 200).Draw(t, "waits"))*time.Millisecond
			wish := fmt.Sprint("pod ", rapid.IntRange(0, 2).Draw(t, "wish"))
			c.claim = NewLease(Request{Key: Key{1}, Owner: Owner{Name: fmt.Sprint(i), Request: 1}, Term: 1, Group: wish, Duration: hold, VoterSet: roll}, names)
			c.op = porcupine.Operation{ClientId: i, Input: wish, Call: int64(c.begins), Output: "", Return: math.MaxInt64}
			claimants[i] = c
		}
		anew := time.Duration(rapid.IntRange(0, 1000).Draw(t, "anew")) * time.Millisecond
		for now := time.Duration(0); now < 500*time.Millisecond; now += time.Millisecond {
			if now == anew {
				w := rapid.IntRange(0, 2).Draw(t, "which")
				witnesses[w] = NewAcceptor(now, limits, roll)
			}
			for i, c := range claimants {
				if c.over || now < c.begins {
					continue
				}
				if (now-c.begins)%(20*time.Millisecond) == 0 {
					c.claim.Retry()
					for w := range names {
						if slices.Contains(c.claim.Unanswered(), names[w]) {
							post(now, underWay{ask: &c.claim.Request, from: i, to: w})
						}
					}
				}
				o, group, _ := c.claim.State()
				if o == Exclusive || o == Shared {
					c.over, c.op.Output, c.op.Return = true, group, int64(now)
				} else if o == SplitVote || now >= c.until {
					c.over = true // it is told nothing, and may have been counted
				}
			}
			slices.SortStableFunc(net, func(a, b underWay) int { return cmp.Compare(a.at, b.at) })
			for len(net) > 0 && net[0].at <= now {
				m := net[0]
				net = net[1:]
				if m.ask != nil {
					if a, ok := witnesses[m.to].HandleRequest(now, *m.ask); ok {
						post(now, underWay{answer: &a, from: m.to, to: m.from})
					}
				} else {
					claimants[m.to].claim.HandleResponse(claimants[m.to].begins, names[m.from], *m.answer)
				}
			}
		}
		var history []porcupine.Operation
		for _, c := range claimants {
			history = append(history, c.op)
		}
		if !porcupine.CheckOperations(onceWritten.ToModel(), history) {
			t.Fatalf("no order explains %+v", history)
		}
	})
}

// The check finds a register that was written twice.
func TestTwoGroupsAreNotLinearizable(t *testing.T) {
	twice := []porcupine.Operation{{ClientId: 0, Input: "a", Output: "a", Call: 0, Return: 10}, {ClientId: 1, Input: "b", Output: "b", Call: 20, Return: 30}}
	if porcupine.CheckOperations(onceWritten.ToModel(), twice) {
		t.Error("a key that was given to two groups passes")
	}
}
