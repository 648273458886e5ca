package handshake

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// start is the first instant of the tests' virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newBudget returns a budget with a valid configuration.
func newBudget(t interface{ Fatal(...any) }, c Config) *Budget {
	b, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var testConfig = Config{PerServer: 10, All: 40, InitialWarmupRatio: 0.2, WarmWithin: 10 * time.Second, Burst: 5}

// Tests each row of the table in the package comment.
func TestTurnsByKindAndMaxWait(t *testing.T) {
	turn := func(b *Budget, k Kind, maxWait time.Duration) (wait time.Duration, ok bool) {
		begin, ok := b.RequestTurn(start, "a", time.Time{}, k, maxWait)
		if !ok {
			return 0, false
		}
		return begin.Sub(start), true
	}
	b := newBudget(t, testConfig)
	for i := range 5 {
		if wait, ok := turn(b, Request, time.Second); !ok || wait != 0 {
			t.Fatalf("request %d of the burst: wait %v, granted %v", i, wait, ok)
		}
	}
	if wait, ok := turn(b, Request, time.Second); !ok || math.Abs(wait.Seconds()-0.1) > 1e-6 {
		t.Errorf("first request beyond the burst: wait %v, granted %v; want 100 ms at 10 a second", wait, ok)
	}
	if _, ok := turn(b, Request, 150*time.Millisecond); ok {
		t.Error("a turn in 200 ms was granted for a maximum wait of 150 ms")
	}
	if wait, ok := turn(b, Request, 210*time.Millisecond); !ok || math.Abs(wait.Seconds()-0.2) > 1e-6 {
		t.Errorf("wait %v, granted %v; want 200 ms, since a rejected request uses up no turn", wait, ok)
	}

	b = newBudget(t, testConfig)
	for i := range 3 {
		if _, ok := turn(b, Background, time.Hour); !ok {
			t.Fatalf("background handshake %d was rejected with more than half a burst left", i)
		}
	}
	if _, ok := turn(b, Background, time.Hour); ok {
		t.Error("background work has used up turns that are reserved for requests")
	}
	for range 2 {
		if wait, ok := turn(b, Request, 0); !ok || wait != 0 {
			t.Errorf("request: wait %v, granted %v; want a turn now, reserved from background work", wait, ok)
		}
	}
	if got := b.Counts(); got != (Counts{Immediate: 5, Deferred: 1}) {
		t.Errorf("counts %+v, want 5 immediate and 1 deferred", got)
	}
}

// A server that has just started gets part of its rate, and all of it once it has warmed up.
func TestRateRisesWhileServerWarmsUp(t *testing.T) {
	rate := func(age time.Duration, startedAt time.Time) float64 {
		b := newBudget(t, testConfig)
		at := start.Add(age)
		var turns []time.Time
		for range 25 {
			begin, ok := b.RequestTurn(at, "a", startedAt, Request, time.Hour)
			if !ok {
				t.Fatal("request was rejected within a maximum wait of an hour")
			}
			turns = append(turns, begin)
		}
		return 10 / turns[24].Sub(turns[14]).Seconds() // turns 14 to 24 are well beyond the burst
	}
	for age, want := range map[time.Duration]float64{
		-time.Hour:       2,
		0:                2,
		5 * time.Second:  6,
		10 * time.Second: 10,
		time.Hour:        10,
	} {
		if got := rate(age, start); math.Abs(got-want) > 1e-3 {
			t.Errorf("%v after its start a server gets %v turns a second, want %v", age, got, want)
		}
	}
	if got := rate(0, time.Time{}); math.Abs(got-10) > 1e-6 {
		t.Errorf("a server that is past its slow start gets %v turns a second, want 10", got)
	}
}

// The total rate is limited, however many servers there are, and idle servers are removed.
func TestTotalRateHoldsForManyServers(t *testing.T) {
	b := newBudget(t, testConfig)
	turns := 0
	for n := range 2000 {
		begin, ok := b.RequestTurn(start, fmt.Sprint("s", n), time.Time{}, Request, time.Second)
		if ok && begin.Sub(start) <= time.Second {
			turns++
		}
	}
	if turns != 80 { // the burst of one second's rate, plus one second's rate
		t.Errorf("%d turns within a second, want 80", turns)
	}
	for n := range 10_000 {
		b.RequestTurn(start.Add(time.Duration(n)*time.Second), fmt.Sprint("t", n), time.Time{}, Request, 0)
	}
	if len(b.servers) > 2*minSweepServers {
		t.Errorf("%d servers are stored, nearly all of them idle, want at most %d", len(b.servers), 2*minSweepServers)
	}
}

// In no time span do one server, or all servers together, get more turns than burst and rate allow; no request
// waits longer than its maximum wait, and background work never waits.
func TestTurnsStayWithinBurstAndRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			PerServer:          rapid.Float64Range(0.5, 50).Draw(t, "rate"),
			InitialWarmupRatio: rapid.Float64Range(0.1, 1).Draw(t, "cold"),
			WarmWithin:         time.Duration(rapid.IntRange(0, 20).Draw(t, "warm")) * time.Second,
			Burst:              rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		c.All = c.PerServer * rapid.Float64Range(1, 4).Draw(t, "all")
		b := newBudget(t, c)
		turns := map[string][]float64{}
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			server := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
			kind := rapid.SampledFrom([]Kind{Request, Background}).Draw(t, "kind")
			maxWait := time.Duration(rapid.IntRange(0, 2000).Draw(t, "patience")) * time.Millisecond
			startedAt := time.Time{}
			if server == "c" {
				startedAt = start
			}
			begin, ok := b.RequestTurn(now, server, startedAt, kind, maxWait)
			if !ok {
				continue
			}
			if wait := begin.Sub(now); wait < 0 || wait > maxWait || kind == Background && wait > 0 {
				t.Fatalf("kind %d waits %v, allowed %v", kind, wait, maxWait)
			}
			for _, name := range []string{server, "all"} {
				turns[name] = append(turns[name], begin.Sub(start).Seconds())
			}
		}
		for name, at := range turns {
			rate, burst := c.PerServer, c.Burst
			if name == "all" {
				rate, burst = c.All, max(1, c.All)
			}
			for i := range at {
				for j := i; j < len(at); j++ {
					if at[j] < at[i] {
						continue // with another server: turns are not granted in the order of their instants
					}
					n := 0
					for _, instant := range at {
						if instant >= at[i] && instant <= at[j] {
							n++
						}
					}
					if limit := burst + rate*(at[j]-at[i]) + 1e-6; float64(n) > limit {
						t.Fatalf("%s: %d turns in %v s, want at most %v", name, n, at[j]-at[i], limit)
					}
				}
			}
		}
	})
}

func TestInvalidConfigErrorNamesField(t *testing.T) {
	for key, invalidate := range map[string]func(*Config){
		"PerServer":  func(c *Config) { c.PerServer = 0 },
		"All":        func(c *Config) { c.All = 1 },
		"ColdFrom":   func(c *Config) { c.InitialWarmupRatio = math.NaN() },
		"WarmWithin": func(c *Config) { c.WarmWithin = -1 },
		"Burst":      func(c *Config) { c.Burst = 0.5 },
	} {
		c := testConfig
		invalidate(&c)
		if _, err := New(c); err == nil || err.Error()[:len("handshake: "+key)] != "handshake: "+key {
			t.Errorf("invalid %s: error %v does not name the field", key, err)
		}
	}
}
