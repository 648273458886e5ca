package balancer

import "math"

// An endpoint that has lately served a key does less work for it, until its cache drops the key. How much
// less differs between deployments and is learned: the ratio of the work that requests came to, to what it
// would have been at an endpoint that does not have the key cached. It is learned by whether the endpoint is
// an owner of the key, and by how long ago this balancer last sent its key there. All balancers agree on a
// key's owners without communication, by weighted rendezvous hashing (Thaler and Ravishankar, 1998): what the
// others send there keeps the key cached. A key has an owner in the fleet, and one in each zone for as long
// as leaving the zone costs more than the fleet owner's cache saves.

const (
	workRatioWeight = 0.003 // of the latest sample: work varies by more than its mean
	minWorkRatio    = 0.2   // that a key is assumed to need
)

// Work ratios before anything is learned: at other endpoints by age, and at owners. They favour owners more
// than a cache saves: only if all balancers send most requests to owners do endpoints see few enough keys
// to keep them cached, which helps the fleet more than one request. Samples correct them if nothing is saved.
var workRatioPrior = [ageBuckets]float64{0.80, 0.85, 0.90, 0.95, 0.97, 1, 1}

const (
	zoneOwnerPrior  = 0.30
	fleetOwnerPrior = 0.25
)

// keyOwners returns a key's owners: the endpoints with the highest score -weight/ln(hash), so that one of
// twice the weight owns twice the keys.
func (b *Balancer) keyOwners(key uint64) (owners [ownersPerKey]*endpoint) {
	var highest [ownersPerKey]float64
	for _, e := range b.endpoints.list {
		hash := randomSource(key ^ e.identity())
		score := -float64(e.Weight) / math.Log(hash.float())
		eligible := [ownersPerKey]bool{inZone: int(e.Zone) == b.settings.Zone, inFleet: true}
		for i := range owners {
			if eligible[i] && e.State == Ready && (owners[i] == nil || score > highest[i]) {
				owners[i] = e
				highest[i] = score
			}
		}
	}
	return owners
}

// affinityOf returns what e is to r's key.
func (b *Balancer) affinityOf(now Micros, r *request, e *endpoint) affinity {
	key := r.key
	if key == nil {
		return 0
	}
	switch e {
	case key.owners[inFleet]:
		return fleetOwner + key.ageAt(now, e)
	case key.owners[inZone]:
		return zoneOwner + key.ageAt(now, e)
	}
	return notOwner + key.ageAt(now, e)
}

// expectedWork is the work that r is expected to be at e.
func (b *Balancer) expectedWork(now Micros, r *request, e *endpoint) float64 {
	return r.work * b.keys.workRatio[b.affinityOf(now, r, e)]
}
