package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"pinedale/balancer"
)

// Clients describes the load and how clients retry.
type Clients struct {
	Rate               float64       // new requests a second over all instances, without retries
	RateVariation      float64       // coefficient of variation of the rate over instances
	Retries            int           // maximum number of client retries for one request
	TimeoutRatio       float64       // timeout of one client attempt, as a ratio of the class's client timeout
	AffinityKeys       int           // distinct affinity keys of requests; 0 for none
	PopularityExponent float64       // exponent of the Zipf distribution of affinity keys
	AbandonAfter       time.Duration // when clients disconnect before their timeout; 0 for never
	RetryDelay         time.Duration // before a retry, unless the response asks for a longer one
}

// Request is one request of a client, including its retries.
type Request struct {
	Number         uint64 // counts from 1
	At             Time   // of the first client attempt
	Class          int
	Tenant         int
	Instance       int
	Key            string // idempotency key; empty for a class without one
	AffinityKey    uint64 // 0 for none
	Work           time.Duration
	WorkHint       balancer.Micros // the client's estimate of Work, off by a factor of up to 2
	ClientAttempts int             // so far
}

// Streams of random numbers derived from the scenario's seed.
const (
	requestStream  = 1
	affinityStream = 2 // separate, so that drawing affinity keys does not change the other draws
)

// Workload generates the requests of a scenario in order. It depends on the scenario alone: all runs with the same
// seed get the same requests, on virtual time as on sockets.
type Workload struct {
	scenario *Scenario
	now      Time
	requests uint64 // generated so far

	rng             *rand.Rand
	affinityRNG     *rand.Rand
	popularity      []float64 // cumulative weights of the affinity keys
	instanceWeights []float64 // cumulative weights of the instances; nil before the first draw
}

// Workload returns a new generator of the scenario's requests, at the start of the run.
func (s *Scenario) Workload() *Workload {
	w := &Workload{
		scenario:    s,
		rng:         rand.New(rand.NewPCG(s.Seed, requestStream)),
		affinityRNG: rand.New(rand.NewPCG(s.Seed, affinityStream)),
	}
	sum := 0.0
	for i := range s.Clients.AffinityKeys {
		sum += math.Pow(float64(i+1), -s.Clients.PopularityExponent)
		w.popularity = append(w.popularity, sum)
	}
	return w
}

// Next returns the next request, or false at the end of the run. The time between two requests is drawn with the rate
// at the first of them, so a surge takes effect one request late.
func (w *Workload) Next() (*Request, bool) {
	s := w.scenario
	rates, total := s.rates(w.now)
	w.now += time.Duration(w.rng.ExpFloat64() / total * float64(time.Second))
	if w.now >= s.Length {
		return nil, false
	}
	w.requests++
	request := &Request{Number: w.requests, At: w.now}
	request.Tenant = pick(w.rng, total, len(rates), func(i int) float64 { return rates[i] })
	request.Class = pick(w.rng, 1, len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	work := w.drawWork(request.Class)
	request.Work = time.Duration(work)
	request.Instance = w.drawInstance()
	hintError := math.Exp2(2*w.rng.Float64() - 1) // 1/2 to 2
	request.WorkHint = time.Duration(work * hintError).Microseconds()
	request.AffinityKey = w.drawAffinityKey()
	if s.Classes[request.Class].Idempotency != balancer.Idempotent {
		request.Key = fmt.Sprint("k", request.Number)
	}
	return request, true
}

// rates returns the request rates of the tenants and their sum. Without tenants, the sum is the rate of all clients.
func (s *Scenario) rates(now Time) (rates []float64, total float64) {
	if len(s.Tenants) == 0 {
		return nil, s.Clients.Rate * s.surgeFactor(now, -1)
	}
	for tenant := range s.Tenants {
		rate := s.Clients.Rate * s.Tenants[tenant].Load * s.surgeFactor(now, tenant)
		rates = append(rates, rate)
		total += rate
	}
	return rates, total
}

// surgeFactor returns the product of the factors of all surges that affect a tenant now.
func (s *Scenario) surgeFactor(now Time, tenant int) float64 {
	factor := 1.0
	for i := range s.Surges {
		if s.Surges[i].active(now, tenant) {
			factor *= s.Surges[i].Factor
		}
	}
	return factor
}

// drawWork draws the work of a request, in nanoseconds.
func (w *Workload) drawWork(class int) float64 {
	s := w.scenario
	work := Lognormal(w.rng, float64(s.Classes[class].Work), s.Classes[class].CV)
	for i := range s.CostSurges {
		surge := &s.CostSurges[i]
		if surge.active(w.now, class) && w.rng.Float64() < surge.Share {
			work *= surge.Factor
		}
	}
	return work
}

// drawInstance draws the instance that a request goes to.
func (w *Workload) drawInstance() int {
	s := w.scenario
	count := len(s.Instances)
	if s.Clients.RateVariation <= 0 {
		return w.rng.IntN(count)
	}
	if w.instanceWeights == nil {
		weightRNG := rand.New(rand.NewPCG(s.Seed, uint64(count)))
		sum := 0.0
		for range count {
			sum += Lognormal(weightRNG, 1, s.Clients.RateVariation)
			w.instanceWeights = append(w.instanceWeights, sum)
		}
	}
	return pickCumulative(w.rng, w.instanceWeights)
}

// drawAffinityKey draws the affinity key of a request, 0 if requests have none.
func (w *Workload) drawAffinityKey() uint64 {
	if len(w.popularity) == 0 {
		return 0
	}
	return 1 + uint64(pickCumulative(w.affinityRNG, w.popularity))
}

// pick draws one of count items by weight; sum is the sum of the weights. It draws no random number if there are no
// items.
func pick(rng *rand.Rand, sum float64, count int, weight func(int) float64) int {
	if count == 0 {
		return 0
	}
	rest := rng.Float64() * sum
	for i := range count - 1 {
		if rest < weight(i) {
			return i
		}
		rest -= weight(i)
	}
	return count - 1
}

// pickCumulative draws an item by weight. Each entry of cumulative is the sum of the weights up to and including that
// of its item.
func pickCumulative(rng *rand.Rand, cumulative []float64) int {
	last := len(cumulative) - 1
	return min(last, sort.SearchFloat64s(cumulative, rng.Float64()*cumulative[last]))
}

// Lognormal draws from a lognormal distribution with the given mean and coefficient of variation.
func Lognormal(rng *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv) // of the logarithm
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2)
}
