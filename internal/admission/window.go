package admission

import (
	"cmp"
	"slices"

	"pinedale/balancer"
)

// maxSavedWindows is how many windows of its own share a tenant may save.
const maxSavedWindows = 5

// noBrownout is a level above that of any class.
const noBrownout = 1 << 30

// brownout sheds classes under overload.
type brownout struct {
	level     int     // classes above this level are shed
	remaining float64 // requests of the classes at this level that may still be admitted
}

// sheds reports whether a request of a class is to be rejected.
func (b *brownout) sheds(c *classState) bool {
	return c.limits.BrownoutLevel > b.level || c.limits.BrownoutLevel == b.level && b.remaining < 1
}

func (b *brownout) countAdmitted(c *classState) {
	if c.limits.BrownoutLevel == b.level {
		b.remaining--
	}
}

// windowCapacity returns how many requests the rate admits in a window.
func (a *Admission) windowCapacity() float64 {
	return a.rate * float64(Window) / float64(second)
}

// advanceWindow begins a new window if the current one is over. Time without requests counts
// as windows without demand.
func (a *Admission) advanceWindow(now balancer.Micros) {
	if now < a.windowEnd {
		return
	}
	if a.windowEnd > 0 && now-a.windowEnd >= Window {
		for i := range a.tenants {
			a.tenants[i].requested = 0
		}
		for i := range a.classes {
			a.classes[i].requested = 0
		}
	}
	a.updateBrownout()
	a.assignQuotas()
	a.windowEnd = now - now%Window + Window
}

// updateBrownout sets the level from which classes are shed by the demand of the window that
// ends: the levels before it fit into the rate, and it gets what they leave.
func (a *Admission) updateBrownout() {
	a.brownout = brownout{level: noBrownout}
	maxLevel := 0
	for i := range a.classes {
		maxLevel = max(maxLevel, a.classes[i].limits.BrownoutLevel)
	}
	capacity := a.windowCapacity()
	requested := 0.0 // by the levels so far
	for level := 0; a.rate > 0 && level <= maxLevel; level++ {
		before := requested
		for i := range a.classes {
			if a.classes[i].limits.BrownoutLevel == level {
				requested += a.classes[i].requested
			}
		}
		if requested <= capacity {
			continue
		}
		if before == 0 {
			// The lowest level with demand exceeds the rate by itself: all levels above it are
			// shed, and it is limited by the tenants' quotas alone.
			a.brownout = brownout{level: level + 1}
		} else {
			a.brownout = brownout{level: level, remaining: capacity - before}
		}
		break
	}
	for i := range a.classes {
		a.classes[i].requested = 0
	}
}

// assignQuotas gives each tenant its quota for the window that begins, by weighted max-min
// fairness over the demand of the window that ends.
func (a *Admission) assignQuotas() {
	if a.rate <= 0 {
		return
	}
	capacity := a.windowCapacity()
	totalWeight := 0.0
	for i := range a.tenants {
		a.fillOrder[i] = i
		totalWeight += a.tenants[i].limits.Weight
		a.tenants[i].quota = 0
	}
	slices.SortFunc(a.fillOrder, a.compareDemand)
	unassigned := a.fillDemand(capacity, totalWeight)
	for i := range a.tenants {
		t := &a.tenants[i]
		if t.limits.Weight <= 0 {
			t.remaining = 0
			continue
		}
		share := capacity * t.limits.Weight / totalWeight
		// What no tenant demanded goes to the tenants that request it first.
		t.quota = max(t.quota+unassigned*t.limits.Weight/totalWeight, share)
		t.remaining = min(t.remaining, max(1, maxSavedWindows*share)) + t.quota
		t.requested = 0
	}
}

// compareDemand orders tenants by demand over weight, and equal ones by number.
func (a *Admission) compareDemand(i, j int) int {
	x, y := &a.tenants[i], &a.tenants[j]
	return cmp.Or(cmp.Compare(x.requested*y.limits.Weight, y.requested*x.limits.Weight), i-j)
}

// fillDemand sets the tenants' quotas to their demand or their part of the capacity, in the
// order of fillOrder: what a tenant of low demand leaves is divided among those after it. It
// returns the capacity that no tenant demanded.
func (a *Admission) fillDemand(capacity, totalWeight float64) (unassigned float64) {
	weight := totalWeight // of the tenants not filled yet
	for _, i := range a.fillOrder {
		t := &a.tenants[i]
		if t.limits.Weight <= 0 {
			continue // not configured any more
		}
		t.quota = min(t.requested, capacity*t.limits.Weight/weight)
		capacity -= t.quota
		weight -= t.limits.Weight
	}
	return capacity
}
