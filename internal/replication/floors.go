package replication

import "time"

// epochFloor is the highest epoch of the evicted origins of a name.
type epochFloor struct {
	epoch     uint64
	evictedAt time.Duration
}

// epochFloors prevents evicted incarnations from being accepted again. It maps names to floors.
type epochFloors map[string]epochFloor

// admit reports whether an origin is later than all evicted origins of its name.
func (f epochFloors) admit(id Origin) bool {
	floor, found := f[id.Name]
	return !found || id.Epoch > floor.epoch
}

// raise records that an origin was evicted.
func (f epochFloors) raise(id Origin, now time.Duration) {
	if id.Epoch >= f[id.Name].epoch {
		f[id.Name] = epochFloor{epoch: id.Epoch, evictedAt: now}
	}
}

// trim discards the floors that were recorded first until at most maxNames are kept.
func (f epochFloors) trim(maxNames int) {
	for len(f) > maxNames {
		oldest := ""
		for name, floor := range f {
			if oldest == "" || floor.evictedAt < f[oldest].evictedAt {
				oldest = name
			}
		}
		delete(f, oldest)
	}
}
