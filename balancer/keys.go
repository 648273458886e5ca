package balancer

import "math"

// An endpoint that has recently served a key does less work for it, until its cache drops the key. How much
// less differs between deployments, so the ratio is learned: the work that requests took, relative to the
// work at an endpoint that does not have the key cached. It is learned separately for owners of the key and
// other endpoints, and by how long ago this balancer last sent the key there. All balancers agree on a key's
// owners without communication, by weighted rendezvous hashing (Thaler and Ravishankar, 1998), so that the
// requests of other balancers keep the key cached at its owners. A key has one owner in the fleet and one in
// each zone; the latter is preferred while leaving the zone costs more than the fleet owner's cache saves.

const (
	workRatioWeight = 0.003 // weight of the latest sample; low, as work varies by more than its mean
	minWorkRatio    = 0.2   // lowest work ratio that is assumed
)

// Work ratios before anything is learned, by age for endpoints that are not owners. They favour owners more
// than a cache saves for a single request: endpoints see few enough keys to keep them cached only if all
// balancers send most requests to owners, which helps the whole fleet. If the cache saves nothing, samples
// correct the ratios.
var workRatioPrior = [ageBuckets]float64{0.80, 0.85, 0.90, 0.95, 0.97, 1, 1}

const (
	zoneOwnerPrior  = 0.30
	fleetOwnerPrior = 0.25
)

// ownerBuckets is the number of buckets that endpoints are hashed to. A bucket is chosen first, by the total
// weight of its members, and then an endpoint in it, so that finding a key's owner takes few hashes in a
// large fleet.
const ownerBuckets = 128

// ownerBucket returns the bucket of e, which is the same at every balancer.
func (e *endpoint) ownerBucket() uint16 {
	hash := randomSource(e.identity())
	return uint16(hash.float() * ownerBuckets)
}

// keyOwners returns the owners of a key; an owner is nil if no endpoint is ready.
func (b *Balancer) keyOwners(key uint64) (owners [ownersPerKey]*endpoint) {
	owners[inFleet] = b.endpoints.keyOwner(key, groupOwnersInFleet)
	owners[inZone] = b.endpoints.keyOwner(key, groupOwnersInZone)
	return owners
}

// keyOwner returns the owner of a key among the groups of one kind: the endpoint with the highest
// rendezvousScore in the bucket with the highest rendezvousScore.
func (s *endpointSet) keyOwner(key uint64, kind groupKind) *endpoint {
	var bucket *endpointGroup
	var highest float64
	for id := range uint16(ownerBuckets) {
		g := s.groups[groupKey{kind, id}]
		if g == nil || g.weight == 0 {
			continue
		}
		if score := rendezvousScore(key, uint64(id)+1, float64(g.weight)); bucket == nil || score > highest {
			bucket = g
			highest = score
		}
	}
	if bucket == nil {
		return nil
	}
	var owner *endpoint
	for i := range bucket.len() {
		e := bucket.at(i)
		if score := rendezvousScore(key, e.identity(), float64(e.Weight)); owner == nil || score > highest {
			owner = e
			highest = score
		}
	}
	return owner
}

// rendezvousScore is -weight/ln(hash), so that an endpoint of twice the weight owns twice as many keys.
func rendezvousScore(key, identity uint64, weight float64) float64 {
	hash := randomSource(key ^ identity)
	return -weight / math.Log(hash.float())
}

// affinityOf returns the affinity of e for the key of r.
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

// expectedWork returns the work of r expected at e, given what e has cached.
func (b *Balancer) expectedWork(now Micros, r *request, e *endpoint) float64 {
	return r.work * b.keys.workRatio[b.affinityOf(now, r, e)]
}
