package admission

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
)

const second = balancer.Micros(1_000_000)

// load plays Poisson arrivals of some tenants for a while and counts what is let in,
// after a first second.
func load(a *Admission, rates []float64, from, seconds int, class func(n int) uint8) (asked, in []float64) {
	rng := rand.New(rand.NewPCG(1, uint64(from)))
	asked, in = make([]float64, len(rates)), make([]float64, len(rates))
	next := make([]float64, len(rates))
	for i, r := range rates {
		next[i] = float64(from)*1e6 + rng.ExpFloat64()/r*1e6
	}
	for {
		first := 0
		for i := range next {
			if next[i] < next[first] {
				first = i
			}
		}
		now := balancer.Micros(next[first])
		if now >= balancer.Micros(from+seconds)*second {
			return
		}
		next[first] += rng.ExpFloat64() / rates[first] * 1e6
		r := balancer.Request{Tenant: uint16(first)}
		if class != nil {
			r.Class = class(int(asked[first]))
		}
		_, ok := a.Admit(now, &r)
		if ok {
			a.Release(&r)
		}
		if now >= balancer.Micros(from+1)*second {
			asked[first]++
			if ok {
				in[first]++
			}
		}
	}
}

// One tenant asks for ten times its share: the others have in all that they ask for,
// which is under theirs, and the first has the rest.
func TestOneOverItsShareCostsTheOthersNothing(t *testing.T) {
	a := New(Config{Rate: 3000, Tenants: []Tenant{{Weight: 1}, {Weight: 1}, {Weight: 1}}, Classes: []Class{{}}})
	asked, in := load(a, []float64{10_000, 800, 800}, 0, 11, nil)
	for i := 1; i < 3; i++ {
		if in[i] < 0.98*asked[i] {
			t.Errorf("tenant %d: %v of %v let in", i, in[i], asked[i])
		}
	}
	if rest := 10 * (3000.0 - 1600); math.Abs(in[0]-rest) > 0.05*rest {
		t.Errorf("the first: %v let in, want about %v", in[0], rest)
	}
}

// Shares are by weight where all want more.
func TestSharesByWeight(t *testing.T) {
	a := New(Config{Rate: 6000, Tenants: []Tenant{{Weight: 1}, {Weight: 2}, {Weight: 3}}, Classes: []Class{{}}})
	_, in := load(a, []float64{9000, 9000, 9000}, 0, 6, nil)
	for i, want := range []float64{5000, 10_000, 15_000} {
		if math.Abs(in[i]-want) > 0.02*want {
			t.Errorf("tenant %d: %v let in, want %v", i, in[i], want)
		}
	}
}

// A tenant that comes back has its share at once, whatever the others got meanwhile.
func TestBackAtOnce(t *testing.T) {
	a := New(Config{Rate: 1000, Tenants: []Tenant{{Weight: 1}, {Weight: 1}}, Classes: []Class{{}}})
	load(a, []float64{5000, 1e-9}, 0, 3, nil)
	in := 0
	for i := range 40 { // 40 in 100 ms are 400 a second, under its 500
		if _, ok := a.Admit(3*second+balancer.Micros(i)*2500, &balancer.Request{Tenant: 1}); ok {
			in++
		}
	}
	if in != 40 {
		t.Errorf("%d of 40 let in", in)
	}
}

// Under overload classes are cut in order, the last first; else none.
func TestBrownOut(t *testing.T) {
	three := []Class{{BrownOut: 0}, {BrownOut: 1}, {BrownOut: 2}}
	for _, c := range []struct {
		rate float64
		want [3]float64 // share of each that is let in, at 3000 a second in equal parts
	}{{4000, [3]float64{1, 1, 1}}, {2100, [3]float64{1, 1, 0.1}}, {1050, [3]float64{1, 0, 0}}} {
		a := New(Config{Rate: c.rate, Classes: three})
		var asked, in [3]float64
		for i := range 30_000 {
			now, k := balancer.Micros(i)*second/3000, i%3
			r := balancer.Request{Class: uint8(k)}
			_, ok := a.Admit(now, &r)
			if now >= second {
				asked[k]++
				if ok {
					in[k]++
				}
			}
		}
		for k := range in {
			if got := in[k] / asked[k]; math.Abs(got-c.want[k]) > 0.05 {
				t.Errorf("rate %v, class %d: %.2f let in, want %.2f", c.rate, k, got, c.want[k])
			}
		}
	}
}

// Limits on what is in hand are kept by tenant and class, and given back.
func TestOpen(t *testing.T) {
	a := New(Config{Tenants: []Tenant{{Weight: 1, MaxInFlight: 2}, {Weight: 1}}, Classes: []Class{{MaxInFlight: 3}, {}}})
	admit := func(tenant uint16, class uint8) bool {
		after, ok := a.Admit(1, &balancer.Request{Tenant: tenant, Class: class})
		if !ok && (after <= 0 || after > 2*Window) {
			t.Errorf("told to come back after %d", after)
		}
		return ok
	}
	for i, c := range []struct {
		tenant uint16
		class  uint8
		ok     bool
	}{{0, 0, true}, {0, 0, true}, {0, 1, false}, {1, 0, true}, {1, 0, false}, {1, 1, true}} {
		if admit(c.tenant, c.class) != c.ok {
			t.Errorf("request %d: want %v", i, c.ok)
		}
	}
	if a.InFlight() != 4 {
		t.Errorf("%d in hand", a.InFlight())
	}
	a.Release(&balancer.Request{Tenant: 0, Class: 0})
	if !admit(0, 1) || !admit(1, 0) {
		t.Error("what is over still counts")
	}
	if _, ok := a.Admit(1, &balancer.Request{Tenant: 0, Class: 0, MayHaveRun: true}); !ok {
		t.Error("a request that may have run is turned away")
	}
	if _, ok := a.Admit(1, &balancer.Request{Tenant: 9, Class: 9}); !ok {
		t.Error("a request of an older table is turned away")
	}
}

// Whatever is asked and however limits change, what is in hand is counted right, each
// tenant gets its share of what it asks for, and nothing is allocated.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "tenants")
		c := Config{Rate: float64(rapid.IntRange(0, 3).Draw(t, "rate") * 500), Classes: make([]Class, 3)}
		weights := 0.0
		for i := range n {
			w := float64(rapid.IntRange(1, 5).Draw(t, "weight"))
			c.Tenants = append(c.Tenants, Tenant{Weight: w})
			weights += w
			_ = i
		}
		a := New(c)
		var held []balancer.Request
		now := balancer.Micros(0)
		inWindow, askedInWindow := make([]float64, n), make([]float64, n)
		ends := balancer.Micros(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += balancer.Micros(rapid.IntRange(0, 3000).Draw(t, "gap"))
			if now >= ends { // a window is over: nobody was denied its share
				for i := range n {
					if share := math.Floor(c.Rate * float64(Window) / 1e6 * c.Tenants[i].Weight / weights); c.Rate > 0 && inWindow[i] < min(askedInWindow[i], share) {
						t.Fatalf("tenant %d: %v of %v let in, its share is %v", i, inWindow[i], askedInWindow[i], share)
					}
					inWindow[i], askedInWindow[i] = 0, 0
				}
				ends = now - now%Window + Window
			}
			if len(held) > 0 && rapid.Bool().Draw(t, "over") {
				a.Release(&held[0])
				held = held[1:]
				continue
			}
			r := balancer.Request{Tenant: uint16(rapid.IntRange(0, n-1).Draw(t, "tenant")), Class: uint8(rapid.IntRange(0, 2).Draw(t, "class"))}
			askedInWindow[r.Tenant]++
			if _, ok := a.Admit(now, &r); ok {
				inWindow[r.Tenant]++
				held = append(held, r)
			} else if c.Rate == 0 {
				t.Fatal("refused without a limit")
			}
			if a.InFlight() != len(held) {
				t.Fatalf("%d in hand, counted %d", len(held), a.InFlight())
			}
		}
	})
}

func TestAllocatesNothing(t *testing.T) {
	a := New(Config{Rate: 1000, Tenants: make([]Tenant, 100), Classes: []Class{{MaxInFlight: 5}}})
	for i := range a.tenants {
		a.tenants[i].Weight = 1
	}
	now, r := balancer.Micros(0), balancer.Request{}
	if n := testing.AllocsPerRun(10_000, func() {
		now += 700
		r.Tenant = uint16(now % 100)
		if _, ok := a.Admit(now, &r); ok {
			a.Release(&r)
		}
	}); n != 0 {
		t.Errorf("%v allocations for a request", n)
	}
}

func BenchmarkAdmit(b *testing.B) {
	a := New(Config{Rate: 1000, Tenants: []Tenant{{Weight: 1}, {Weight: 1}, {Weight: 1}}, Classes: []Class{{}}})
	now, r := balancer.Micros(0), balancer.Request{}
	for b.Loop() {
		now += 100
		if _, ok := a.Admit(now, &r); ok {
			a.Release(&r)
		}
	}
}
