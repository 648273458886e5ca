package baselines

// random picks a random endpoint.
type random struct{}

func (random) pick(d *decider) uint32 { return d.ready[d.rng.IntN(len(d.ready))] }

// leastRequest draws two random endpoints and picks the one with fewer attempts in flight (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", 2001).
type leastRequest struct{}

func (leastRequest) pick(d *decider) uint32 {
	first := d.ready[d.rng.IntN(len(d.ready))]
	second := d.ready[d.rng.IntN(len(d.ready))]
	if d.inFlight[second] < d.inFlight[first] {
		return second
	}
	return first
}

// weightedRoundRobin is smooth weighted round robin: each pick adds the weight of every endpoint to its credit, picks
// the endpoint with the most credit, and subtracts the sum of the weights from that endpoint's credit.
type weightedRoundRobin struct {
	weights []float64 // by kind of machine
	credits map[uint32]float64
}

// defaultWeight is the weight of an endpoint whose machine kind has no weight.
const defaultWeight = 1.0

func (w *weightedRoundRobin) pick(d *decider) uint32 {
	sum, best := 0.0, d.ready[0]
	for _, endpoint := range d.ready {
		weight := w.weight(d.kinds[endpoint])
		w.credits[endpoint] += weight
		sum += weight
		if w.credits[endpoint] > w.credits[best] {
			best = endpoint
		}
	}
	w.credits[best] -= sum
	return best
}

// weight returns the weight of a kind of machine.
func (w *weightedRoundRobin) weight(kind uint8) float64 {
	if int(kind) < len(w.weights) {
		return w.weights[kind]
	}
	return defaultWeight
}
