package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
)

// counts holds numbers of requests by tenant.
type counts struct {
	requested []float64
	admitted  []float64
}

// simulateArrivals simulates Poisson arrivals of each tenant at rates per second. start and seconds are in seconds.
// Each request is released at once. Requests of the first second are not counted.
func simulateArrivals(a *Admission, rates []float64, start, seconds int) counts {
	rng := rand.New(rand.NewPCG(1, uint64(start)))
	result := counts{make([]float64, len(rates)), make([]float64, len(rates))}
	arrivals := make([]float64, len(rates)) // time of each tenant's next arrival, in microseconds
	for i, rate := range rates {
		arrivals[i] = float64(start)*1e6 + rng.ExpFloat64()/rate*1e6
	}
	countFrom := balancer.Micros(start+1) * second
	end := balancer.Micros(start+seconds) * second
	for {
		tenant := slices.Index(arrivals, slices.Min(arrivals))
		now := balancer.Micros(arrivals[tenant])
		if now >= end {
			return result
		}
		arrivals[tenant] += rng.ExpFloat64() / rates[tenant] * 1e6
		request := balancer.Request{Tenant: uint16(tenant)}
		_, ok := a.Admit(now, &request)
		if ok {
			a.Release(&request)
		}
		if now < countFrom {
			continue
		}
		result.requested[tenant]++
		if ok {
			result.admitted[tenant]++
		}
	}
}

// One tenant requests ten times its share. The requests of the others, which are below their shares, are all
// admitted, and the first tenant gets the remaining capacity.
func TestTenantAboveItsShareDoesNotAffectOthers(t *testing.T) {
	a := New(Config{Rate: 3000, Tenants: []Tenant{{Weight: 1}, {Weight: 1}, {Weight: 1}}, Classes: []Class{{}}})
	c := simulateArrivals(a, []float64{10_000, 800, 800}, 0, 11)
	for i := 1; i < 3; i++ {
		if c.admitted[i] < 0.98*c.requested[i] {
			t.Errorf("tenant %d: %v of %v requests admitted, want at least 98%%", i, c.admitted[i], c.requested[i])
		}
	}
	if remaining := 10 * (3000.0 - 1600); math.Abs(c.admitted[0]-remaining) > 0.05*remaining {
		t.Errorf("tenant 0: %v admitted, want about %v", c.admitted[0], remaining)
	}
}

func TestSharesFollowWeightsWhenAllExceedThem(t *testing.T) {
	a := New(Config{Rate: 6000, Tenants: []Tenant{{Weight: 1}, {Weight: 2}, {Weight: 3}}, Classes: []Class{{}}})
	c := simulateArrivals(a, []float64{9000, 9000, 9000}, 0, 6)
	for i, want := range []float64{5000, 10_000, 15_000} {
		if math.Abs(c.admitted[i]-want) > 0.02*want {
			t.Errorf("tenant %d: %v admitted, want %v", i, c.admitted[i], want)
		}
	}
}

// A tenant that returns has its share at once, although the other tenant used it before.
func TestReturningTenantHasItsShareAtOnce(t *testing.T) {
	a := New(Config{Rate: 1000, Tenants: []Tenant{{Weight: 1}, {Weight: 1}}, Classes: []Class{{}}})
	simulateArrivals(a, []float64{5000, 1e-9}, 0, 3)
	admitted := 0
	for i := range 40 { // 40 requests in 100 ms are 400 per second, below the tenant's share of 500
		if _, ok := a.Admit(3*second+balancer.Micros(i)*2500, &balancer.Request{Tenant: 1}); ok {
			admitted++
		}
	}
	if admitted != 40 {
		t.Errorf("%d of 40 requests admitted, want all", admitted)
	}
}

func TestClassesAreShedInOrderUnderOverload(t *testing.T) {
	classes := []Class{{BrownoutLevel: 0}, {BrownoutLevel: 1}, {BrownoutLevel: 2}}
	for _, c := range []struct {
		rate float64
		want [3]float64 // admitted fraction of each class, with 1000 requests per second each
	}{
		{4000, [3]float64{1, 1, 1}},
		{2100, [3]float64{1, 1, 0.1}},
		{1050, [3]float64{1, 0, 0}},
	} {
		a := New(Config{Rate: c.rate, Classes: classes})
		var requested, admitted [3]float64
		for i := range 30_000 {
			now := balancer.Micros(i) * second / 3000
			class := i % 3
			_, ok := a.Admit(now, &balancer.Request{Class: uint8(class)})
			if now < second {
				continue
			}
			requested[class]++
			if ok {
				admitted[class]++
			}
		}
		for class := range admitted {
			if got := admitted[class] / requested[class]; math.Abs(got-c.want[class]) > 0.05 {
				t.Errorf("rate %v, class %d: fraction %.2f admitted, want %.2f", c.rate, class, got, c.want[class])
			}
		}
	}
}

func TestInFlightLimitsHoldPerTenantAndClass(t *testing.T) {
	a := New(Config{
		Tenants: []Tenant{{Weight: 1, MaxInFlight: 2}, {Weight: 1}},
		Classes: []Class{{MaxInFlight: 3}, {}},
	})
	admit := func(tenant uint16, class uint8) bool {
		retryAfter, ok := a.Admit(1, &balancer.Request{Tenant: tenant, Class: class})
		if !ok && (retryAfter <= 0 || retryAfter > 2*Window) {
			t.Errorf("rejected with a Retry-After of %d µs, want more than 0 and at most two windows", retryAfter)
		}
		return ok
	}
	for i, c := range []struct {
		tenant uint16
		class  uint8
		ok     bool
	}{
		{0, 0, true},
		{0, 0, true},
		{0, 1, false},
		{1, 0, true},
		{1, 0, false},
		{1, 1, true},
	} {
		if admit(c.tenant, c.class) != c.ok {
			t.Errorf("request %d: admitted %v, want %v", i, !c.ok, c.ok)
		}
	}
	if a.InFlight() != 4 {
		t.Errorf("%d requests in flight, want 4", a.InFlight())
	}
	a.Release(&balancer.Request{Tenant: 0, Class: 0})
	if !admit(0, 1) || !admit(1, 0) {
		t.Error("a released request still counts")
	}
}

func TestRequestThatMayHaveRunIsAdmittedAboveLimits(t *testing.T) {
	a := New(Config{Tenants: []Tenant{{Weight: 1, MaxInFlight: 1}}, Classes: []Class{{MaxInFlight: 1}}})
	if _, ok := a.Admit(1, &balancer.Request{}); !ok {
		t.Error("the first request was rejected")
	}
	if _, ok := a.Admit(1, &balancer.Request{}); ok {
		t.Error("a request above the limits was admitted")
	}
	if _, ok := a.Admit(1, &balancer.Request{MayHaveRun: true}); !ok {
		t.Error("a request that may have run was rejected")
	}
}

func TestRequestWithUnknownNumbersIsAdmitted(t *testing.T) {
	a := New(Config{Tenants: []Tenant{{Weight: 1, MaxInFlight: 1}}, Classes: []Class{{MaxInFlight: 1}}})
	if _, ok := a.Admit(1, &balancer.Request{Tenant: 9, Class: 9}); !ok {
		t.Error("a request with numbers of an earlier configuration was rejected")
	}
}

// drawConfig draws a rate, which may be 0, and the weights of tenants.
func drawConfig(t *rapid.T) Config {
	tenantCount := rapid.IntRange(1, 4).Draw(t, "tenants")
	config := Config{
		Rate:    float64(rapid.IntRange(0, 3).Draw(t, "rate") * 500),
		Classes: make([]Class, 3),
	}
	for range tenantCount {
		weight := float64(rapid.IntRange(1, 5).Draw(t, "weight"))
		config.Tenants = append(config.Tenants, Tenant{Weight: weight})
	}
	return config
}

// checkShares checks that each tenant got its share of the rate in a window, or as much as it requested.
func checkShares(t *rapid.T, config Config, window counts) {
	if config.Rate == 0 {
		return
	}
	totalWeight := 0.0
	for _, tenant := range config.Tenants {
		totalWeight += tenant.Weight
	}
	for i, tenant := range config.Tenants {
		requested, admitted := window.requested[i], window.admitted[i]
		share := math.Floor(config.Rate * float64(Window) / 1e6 * tenant.Weight / totalWeight)
		if admitted < min(requested, share) {
			t.Fatalf("tenant %d: %v of %v requests admitted, its share is %v", i, admitted, requested, share)
		}
	}
}

// For random requests, the requests in flight are counted correctly, and each tenant gets its share in each window.
func TestTenantsGetTheirShareUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		tenantCount := len(config.Tenants)
		a := New(config)
		var inFlight []balancer.Request
		now, windowEnd := balancer.Micros(0), balancer.Micros(0)
		window := counts{make([]float64, tenantCount), make([]float64, tenantCount)}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += balancer.Micros(rapid.IntRange(0, 3000).Draw(t, "gap"))
			if now >= windowEnd {
				checkShares(t, config, window)
				clear(window.requested)
				clear(window.admitted)
				windowEnd = now - now%Window + Window
			}
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "release") {
				a.Release(&inFlight[0])
				inFlight = inFlight[1:]
				continue
			}
			request := balancer.Request{
				Tenant: uint16(rapid.IntRange(0, tenantCount-1).Draw(t, "tenant")),
				Class:  uint8(rapid.IntRange(0, 2).Draw(t, "class")),
			}
			window.requested[request.Tenant]++
			if _, ok := a.Admit(now, &request); ok {
				window.admitted[request.Tenant]++
				inFlight = append(inFlight, request)
			} else if config.Rate == 0 {
				t.Fatal("a request was rejected although there is no limit")
			}
			if a.InFlight() != len(inFlight) {
				t.Fatalf("%d requests in flight, want %d", a.InFlight(), len(inFlight))
			}
		}
	})
}

func TestAdmitDoesNotAllocate(t *testing.T) {
	a := New(Config{Rate: 1000, Tenants: make([]Tenant, 100), Classes: []Class{{MaxInFlight: 5}}})
	for i := range a.tenants {
		a.tenants[i].limits.Weight = 1
	}
	now := balancer.Micros(0)
	request := balancer.Request{}
	allocations := testing.AllocsPerRun(10_000, func() {
		now += 700
		request.Tenant = uint16(now % 100)
		if _, ok := a.Admit(now, &request); ok {
			a.Release(&request)
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations per request, want 0", allocations)
	}
}

func BenchmarkAdmit(b *testing.B) {
	a := New(Config{Rate: 1000, Tenants: []Tenant{{Weight: 1}, {Weight: 1}, {Weight: 1}}, Classes: []Class{{}}})
	now := balancer.Micros(0)
	request := balancer.Request{}
	for b.Loop() {
		now += 100
		if _, ok := a.Admit(now, &request); ok {
			a.Release(&request)
		}
	}
}
