package balancer

// go-zero's constants.
const (
	window      = 10 * second
	buckets     = 40
	kMost       = 1.5
	kLeast      = 1.1
	protection  = 5
	forcedPass  = second
	activation  = 3
	ceilingPart = 0.95
	fallDivisor = 4
	riseDivisor = 100
	currDivisor = 4
	latencyCap  = 0.3
)

func (k *breaker) errorChance(now Micros) float64 {
	k.slide(now)
	failing := 0
	for i := k.head + 1; i <= k.head+buckets; i++ {
		if at := &k.ring[i%buckets]; at.accepts > 0 {
			failing = 0
		} else if at.failures > 0 {
			failing++
		}
	}
	weight := max(kLeast, kMost-(kMost-kLeast)*float64(failing)/buckets)
	total := float64(k.requests)
	return max(0, (total-protection-weight*float64(k.accepts))/(total+1))
}

func (k *breaker) latencyChance(timeout float64) float64 {
	threshold := activation * k.base
	ceiling := ceilingPart * timeout
	if k.base <= 0 || ceiling <= threshold {
		return 0
	}
	return min(latencyCap, max(0, (k.current-threshold)/(ceiling-threshold)*latencyCap))
}

// allows draws the breaker's lot for a request; a refusal counts as a request.
func (b *Balancer) allows(now Micros, r *request, e *endpoint) bool {
	chance := max(e.br.errorChance(now), e.br.latencyChance(float64(b.class(r).ClientTimeout)))
	if chance > 0 && now-e.br.passed > forcedPass {
		e.br.passed = now
		return true
	}
	if b.random.float() < chance {
		e.br.count(now, 0, 0)
		return false
	}
	return true
}
