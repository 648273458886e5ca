package replication

import "time"

// epochFloor is the highest epoch of a name that was forgotten.
type epochFloor struct {
	epoch       uint64
	forgottenAt time.Duration
}

// epochFloors prevents forgotten incarnations from being accepted again. It maps names to floors.
type epochFloors map[string]epochFloor

// admit reports whether an origin is later than all forgotten origins of its name.
func (f epochFloors) admit(id Origin) bool {
	floor, found := f[id.Name]
	return !found || id.Epoch > floor.epoch
}

// raise records that an origin was forgotten.
func (f epochFloors) raise(id Origin, now time.Duration) {
	if id.Epoch >= f[id.Name].epoch {
		f[id.Name] = epochFloor{epoch: id.Epoch, forgottenAt: now}
	}
}

// trim discards the floors that were recorded first until at most maxNames are kept.
func (f epochFloors) trim(maxNames int) {
	for len(f) > maxNames {
		oldest := ""
		for name, floor := range f {
			if oldest == "" || floor.forgottenAt < f[oldest].forgottenAt {
				oldest = name
			}
		}
		delete(f, oldest)
	}
}
