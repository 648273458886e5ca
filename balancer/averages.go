package balancer

import "math"

const second Micros = 1_000_000

// ewma is an exponentially weighted moving average, initialized with its first sample.
type ewma struct {
	value float64
	seen  bool
}

func (a *ewma) add(sample, weight float64) {
	if !a.seen {
		a.value = sample
		a.seen = true
		return
	}
	a.value += (sample - a.value) * weight
}

// valueOr returns the average, or fallback before the first sample.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.seen {
		return a.value
	}
	return fallback
}

// mean is the arithmetic mean of the first samples and an exponentially weighted moving average from then on.
type mean struct {
	ewma
	samples int
}

func (m *mean) add(sample, weight float64) {
	m.samples++
	m.ewma.add(sample, max(weight, 1/float64(m.samples)))
}

// meter measures a rate per second, averaged over about meterSpan.
type meter struct {
	sum float64
	at  Micros
}

const meterSpan = 2 * second

func (m *meter) add(now Micros, amount float64) {
	m.sum = m.decayed(now) + amount
	m.at = now
}

func (m *meter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.at)/float64(meterSpan))
}

func (m *meter) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(meterSpan)
}

// indicator returns 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
