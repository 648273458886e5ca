package admission

import (
	"cmp"
	"slices"

	"pinedale/balancer"
)

// maxSavedWindows is the number of windows whose share a tenant may save.
const maxSavedWindows = 5

// noBrownout is a level above those of all classes.
const noBrownout = 1 << 30

// brownout sheds classes under overload.
type brownout struct {
	level     int     // classes above this level are shed
	remaining float64 // requests of the classes at this level that may still be admitted
}

// sheds reports whether a request of a class must be rejected.
func (b *brownout) sheds(c *classState) bool {
	if c.limits.BrownoutLevel == b.level {
		return b.remaining < 1
	}
	return c.limits.BrownoutLevel > b.level
}

// countAdmitted counts an admitted request of a class.
func (b *brownout) countAdmitted(c *classState) {
	if c.limits.BrownoutLevel == b.level {
		b.remaining--
	}
}

// windowCapacity returns the number of requests that the rate permits in a window.
func (a *Admission) windowCapacity() float64 {
	return a.rate * float64(Window) / float64(second)
}

// advanceWindow begins a new window if the current one has ended. If a complete window without
// requests lies between the two, the demand before the new window is 0.
func (a *Admission) advanceWindow(now balancer.Micros) {
	if now < a.windowEnd {
		return
	}
	if a.windowEnd > 0 && now-a.windowEnd >= Window {
		for i := range a.tenants {
			a.tenants[i].requested = 0
		}
		a.clearClassDemand()
	}
	a.brownout = a.nextBrownout()
	a.clearClassDemand()
	a.assignQuotas()
	a.windowEnd = now - now%Window + Window
}

func (a *Admission) clearClassDemand() {
	for i := range a.classes {
		a.classes[i].requested = 0
	}
}

// nextBrownout returns the brownout of the next window, computed from the classes' demand in the current one.
// The capacity goes to the levels in ascending order. The first level whose demand exceeds the
// remaining capacity gets what remains, and the levels above it are shed.
func (a *Admission) nextBrownout() brownout {
	if a.rate <= 0 {
		return brownout{level: noBrownout}
	}
	capacity := a.windowCapacity()
	requestedBelow := 0.0 // by the levels below the current one
	for level := range a.maxBrownoutLevel() + 1 {
		requested := requestedBelow + a.demandOfLevel(level)
		switch {
		case requested <= capacity:
			requestedBelow = requested
		case requestedBelow == 0:
			// The lowest level with demand exceeds the capacity by itself. All levels above it
			// are shed, and only the tenants' quotas limit it.
			return brownout{level: level + 1}
		default:
			return brownout{level: level, remaining: capacity - requestedBelow}
		}
	}
	return brownout{level: noBrownout}
}

func (a *Admission) maxBrownoutLevel() int {
	level := 0
	for i := range a.classes {
		level = max(level, a.classes[i].limits.BrownoutLevel)
	}
	return level
}

// demandOfLevel returns the requests of all classes of a level in the current window.
func (a *Admission) demandOfLevel(level int) float64 {
	demand := 0.0
	for i := range a.classes {
		if a.classes[i].limits.BrownoutLevel == level {
			demand += a.classes[i].requested
		}
	}
	return demand
}

// assignQuotas sets each tenant's quota for the next window by weighted max-min fairness over the
// demand in the current window.
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
		// Unused capacity is added to the quotas of all tenants, so that the first to request it get it.
		t.quota = max(t.quota+unassigned*t.limits.Weight/totalWeight, share)
		t.remaining = min(t.remaining, max(1, maxSavedWindows*share)) + t.quota
		t.requested = 0
	}
}

// compareDemand compares the tenants with indexes i and j by their ratio of demand to weight, and by index if equal.
func (a *Admission) compareDemand(i, j int) int {
	first, other := &a.tenants[i], &a.tenants[j]
	// Each demand is multiplied by the other weight, since a weight may be 0.
	byDemand := cmp.Compare(first.requested*other.limits.Weight, other.requested*first.limits.Weight)
	return cmp.Or(byDemand, i-j)
}

// fillDemand sets each tenant's quota to the smaller of its demand and its share of the capacity, in
// the order of fillOrder. Capacity that a tenant does not demand is divided among the tenants after
// it. The result is the capacity that no tenant demanded.
func (a *Admission) fillDemand(capacity, totalWeight float64) (unassigned float64) {
	remainingWeight := totalWeight // of the tenants whose quota is not set yet
	for _, i := range a.fillOrder {
		t := &a.tenants[i]
		if t.limits.Weight <= 0 {
			continue // no longer configured
		}
		t.quota = min(t.requested, capacity*t.limits.Weight/remainingWeight)
		capacity -= t.quota
		remainingWeight -= t.limits.Weight
	}
	return capacity
}
