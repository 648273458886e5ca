package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"pinedale/balancer"
)

// Request is what a client wants: its first try and the ones after it.
type Request struct {
	Number         uint64 // they count from 1
	At             Time   // of the first try
	Class          int
	Tenant         int
	Instance       int
	Key            string // of the effect, "" where the class has none
	AffinityKey    uint64 // what it is about, 0 for nothing
	Work           time.Duration
	WorkHint       balancer.Micros // as the client knows the work: off by up to two
	ClientAttempts int             // made so far
}

// Workload draws what clients want, in order. Nothing that happens in a play changes
// it: two plays of one seed, on any host, are asked the same.
type Workload struct {
	s   *Scenario
	rng *rand.Rand
	now Time
	n   uint64

	about   *rand.Rand // apart, so that it moves no other draw
	popular []float64  // of each subject and those before it together
	parts   []float64  // of the traffic, by instance, summed up; nil before the first draw
}

// Workload returns the scenario's script, from its start.
func (s *Scenario) Workload() *Workload {
	c := &Workload{s: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), about: rand.New(rand.NewPCG(s.Seed, 2))}
	sum := 0.0
	for n := range s.Clients.AffinityKeys {
		sum += math.Pow(float64(n+1), -s.Clients.PopularityExponent)
		c.popular = append(c.popular, sum)
	}
	return c
}

// factor is by what the load of a tenant is multiplied just now.
func (s *Scenario) factor(now Time, tenant int) float64 {
	f := 1.0
	for _, x := range s.Surges {
		if now >= x.From && now < x.Until && (x.Tenant < 0 || x.Tenant == tenant) {
			f *= x.Factor
		}
	}
	return f
}

// load is the rate of a tenant, -1 where there are none.
func (s *Scenario) load(now Time, tenant int) float64 {
	if tenant < 0 {
		return s.Clients.Rate * s.factor(now, tenant)
	}
	return s.Clients.Rate * s.Tenants[tenant].Load * s.factor(now, tenant)
}

// Next returns the next first try, false at the end. The rate is that of the instant
// before it: a surge is felt one arrival late.
func (c *Workload) Next() (*Request, bool) {
	s := c.s
	var rates []float64
	all := 0.0
	for t := range s.Tenants {
		rates = append(rates, s.load(c.now, t))
		all += rates[t]
	}
	if len(s.Tenants) == 0 {
		all = s.load(c.now, -1)
	}
	c.now += time.Duration(c.rng.ExpFloat64() / all * float64(time.Second))
	if c.now >= s.Length {
		return nil, false
	}
	c.n++
	t := &Request{Number: c.n, At: c.now}
	t.Tenant = pick(c.rng, all, len(s.Tenants), func(i int) float64 { return rates[i] })
	t.Class = pick(c.rng, 1, len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	class := &s.Classes[t.Class]
	work := Lognormal(c.rng, float64(class.Work), class.CV)
	for _, x := range s.CostSurges {
		if x.Class == t.Class && c.now >= x.From && c.now < x.Until && c.rng.Float64() < x.Share {
			work *= x.Factor
		}
	}
	t.Work = time.Duration(work)
	t.Instance = c.instance()
	t.WorkHint = time.Duration(work * math.Exp2(2*c.rng.Float64()-1)).Microseconds()
	if n := len(c.popular); n > 0 {
		t.AffinityKey = 1 + uint64(min(n-1, sort.SearchFloat64s(c.popular, c.about.Float64()*c.popular[n-1])))
	}
	if class.Idempotency != balancer.Idempotent {
		t.Key = fmt.Sprint("k", t.Number)
	}
	return t, true
}

// instance draws the instance that a try comes to.
func (c *Workload) instance() int {
	n := len(c.s.Instances)
	if c.s.Clients.RateVariation <= 0 {
		return c.rng.IntN(n)
	}
	if c.parts == nil {
		rng := rand.New(rand.NewPCG(c.s.Seed, uint64(n)))
		sum := 0.0
		for range n {
			sum += Lognormal(rng, 1, c.s.Clients.RateVariation)
			c.parts = append(c.parts, sum)
		}
	}
	return min(n-1, sort.SearchFloat64s(c.parts, c.rng.Float64()*c.parts[n-1]))
}

// pick draws one of n by its weight.
func pick(rng *rand.Rand, sum float64, n int, weight func(int) float64) int {
	if n == 0 {
		return 0
	}
	x, i := rng.Float64()*sum, 0
	for i < n-1 && x >= weight(i) {
		x -= weight(i)
		i++
	}
	return i
}

// Lognormal draws with this mean and coefficient of variation.
func Lognormal(rng *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	v := math.Log(1 + cv*cv)
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(v)-v/2)
}

// AttemptTimeout is what a client tells for its next try.
func (s *Scenario) AttemptTimeout(t *Request) time.Duration {
	return time.Duration(float64(s.Classes[t.Class].ClientTimeout)*s.Clients.TimeoutRatio) * time.Microsecond
}

// Codes of a try's end beside those of HTTP.
const (
	CodeDisconnected = 0 // the client went away before its answer
)

// Retry says after which wait a client whose try ended in this way tries again; false
// if it does not: it has its answer, is out of tries or patience, or must not: what
// may have run is only repeated where a repeat is harmless.
func (s *Scenario) Retry(t *Request, code int, retryAfter time.Duration, now Time) (wait time.Duration, retry bool) {
	if code == 200 || t.ClientAttempts > s.Clients.Retries {
		return 0, false
	}
	c := &s.Classes[t.Class]
	wait = max(s.Clients.RetryDelay, retryAfter)
	took := now + wait - t.At
	if took >= time.Duration(c.ClientTimeout)*time.Microsecond {
		return 0, false
	}
	safeToRetry := code == 503 || c.Idempotency == balancer.Idempotent ||
		c.Idempotency == balancer.IdempotentWithKey && c.Group == balancer.GroupAll && took < time.Duration(c.DedupWindow)*time.Microsecond
	return wait, safeToRetry
}
