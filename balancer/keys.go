package balancer

import "math"

// Keys. An endpoint that has lately served a key does less work for it, and forgets it sooner or later. How
// much less differs between deployments and is learned: the work that requests came to, over what it would
// have been at an endpoint that has not met the key. What tells them apart is whether the endpoint is a home
// of the key, and else how long ago this balancer sent its key there. All balancers take the same endpoints
// for a key's homes without a word between them, by rendezvous hashing (Thaler and Ravishankar, 1998): what
// the others send there keeps the key warm for this one, too. There is a home in the whole fleet, and one in
// each zone for as long as a crossing costs more than the better memory saves.

const (
	keysMost    = 4096 // keys of one generation: three times as many as any known deployment has
	keyPlaces   = 4    // endpoints remembered for a key
	keyAgeLeast = second / 2
	keyWeight   = 0.003 // of the latest sample: work varies by more than its mean
	keyLeast    = 0.2   // least part of the work that a key is taken to need
)

// keyBin says what an endpoint is to a request's key: 0 where it has none, else 1 for each age, and keyAges
// for each kind of home. The last age stands for a key that was not sent there for long.
type keyBin uint8

const (
	keyAges  = 7 // the first up to keyAgeLeast, then each twice as long as the one before
	noHome   = keyBin(1)
	zoneHome = noHome + keyAges
	keyHome  = zoneHome + keyAges
	keyBins  = keyHome + keyAges
	keyCold  = noHome + keyAges - 1 // neither a home nor sent there
)

// keyPrior is the part of its work that a request is taken to need, by age at endpoints that are no home, and
// at homes. It favours homes by more than any endpoint saves: only where all balancers send most requests
// home do endpoints meet few enough keys to remember them, and what they remember then is worth more to the
// whole fleet than to the one request. Whoever shows that nothing is saved changes it, a sample at a time.
var keyPrior = [keyAges]float64{0.80, 0.85, 0.90, 0.95, 0.97, 1, 1}

const (
	zonePrior = 0.30
	homePrior = 0.25
)

// keys is what a balancer knows of keys.
type keys struct {
	now, old map[uint64]*keyPlace // by key, met in this generation and in the one before
	turned   Micros
	part     [keyBins]float64
}

// start takes all priors for true.
func (k *keys) start() {
	k.part[0] = 1
	for age, part := range keyPrior {
		bin := keyBin(age)
		k.part[noHome+bin], k.part[zoneHome+bin], k.part[keyHome+bin] = part, zonePrior, homePrior
	}
}

// homesOf returns a key's homes.
func (b *Balancer) homesOf(key uint64) (homes [2]*endpoint) {
	var most [2]float64
	for _, e := range b.endpoints.list {
		// Weighted rendezvous: an endpoint of twice the share is the home of twice the keys.
		s := source(key ^ e.identity())
		score := -float64(e.Weight) / math.Log(s.float())
		for i, eligible := range [2]bool{int(e.Zone) == b.settings.Zone, true} {
			if eligible && e.State == Ready && (homes[i] == nil || score > most[i]) {
				homes[i], most[i] = e, score
			}
		}
	}
	return homes
}

// bin is what e is to r's key.
func (b *Balancer) bin(now Micros, r *request, e *endpoint) keyBin {
	p := r.place
	if p == nil {
		return 0
	}
	home := noHome
	if e == p.homes[1] {
		home = keyHome
	} else if e == p.homes[0] {
		home = zoneHome
	}
	age := keyBin(keyAges - 1)
	for i := range p.sends {
		if s := &p.sends[i]; s.ep == e && s.at >= e.StartTime { // a new process has met no key
			age = 0
			for since := now - s.at; since > keyAgeLeast<<age && age < keyAges-1; {
				age++
			}
		}
	}
	return home + age
}

// workAt is the work that r is expected to come to at e.
func (b *Balancer) workAt(now Micros, r *request, e *endpoint) float64 {
	return r.work * b.keys.part[b.bin(now, r, e)]
}

// learn takes in how much work an attempt came to, over what it is at an endpoint that has not met the key.
// Those are the measure, and not learned.
func (k *keys) learn(bin keyBin, part float64) {
	if bin != 0 && bin != keyCold {
		v := &k.part[bin]
		*v = min(1, max(keyLeast, *v+keyWeight*(part-*v)))
	}
}
