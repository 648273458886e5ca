package balancer

import "math"

// log records an event for on-call staff, each kind of event at most once a second: rejections come in thousands.
func (b *Balancer) log(now Micros, event string, attributes ...any) {
	if at, ok := b.lastLogged[event]; ok && now-at < second {
		return
	}
	b.lastLogged[event] = now
	b.actions.Log(event, attributes...)
}

// roundForLog rounds to two decimals.
func roundForLog(x float64) float64 { return math.Round(100*x) / 100 }
