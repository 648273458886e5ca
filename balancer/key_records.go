package balancer

// affinity classifies an endpoint for a request's key: 0 for a request without key, otherwise notOwner, zoneOwner or
// fleetOwner plus an age bucket. The last bucket is for a key that was sent there long ago or never.
type affinity uint8

const (
	maxKeys     = 4096       // keys in one generation; three times as many as any known deployment has
	sendsPerKey = 4          // endpoints recorded for a key
	minKeyAge   = second / 2 // upper limit of the first age bucket

	ageBuckets    = 7 // each covers twice the age of the one before
	notOwner      = affinity(1)
	zoneOwner     = notOwner + ageBuckets
	fleetOwner    = zoneOwner + ageBuckets
	affinityCount = fleetOwner + ageBuckets
	notCached     = notOwner + ageBuckets - 1 // not an owner, and the key was not sent there recently
)

// Indexes of a key's owners.
const (
	inZone = iota
	inFleet
	ownersPerKey
)

// keyAffinity holds the records of keys and the learned work ratios.
type keyAffinity struct {
	generations[keyRecord] // by key
	workRatio              [affinityCount]float64
}

// reset sets all work ratios to their priors.
func (k *keyAffinity) reset() {
	k.workRatio[0] = 1
	for age, ratio := range workRatioPrior {
		bucket := affinity(age)
		k.workRatio[notOwner+bucket] = ratio
		k.workRatio[zoneOwner+bucket] = zoneOwnerPrior
		k.workRatio[fleetOwner+bucket] = fleetOwnerPrior
	}
}

// learn adds a sample of the work ratio for an affinity. The ratio for requests without key, and for endpoints that do
// not have the key cached, is the reference and stays 1.
func (k *keyAffinity) learn(a affinity, ratio float64) {
	if a == 0 || a == notCached {
		return
	}
	estimate := &k.workRatio[a]
	*estimate = min(1, max(minWorkRatio, *estimate+workRatioWeight*(ratio-*estimate)))
}

// keyRecord holds the owners of a key and the endpoints that it was recently sent to.
type keyRecord struct {
	owners  [ownersPerKey]*endpoint // nil where none is ready
	version int                     // of the endpoint set from which the owners were chosen
	sends   [sendsPerKey]keySend
}

// keySend is the latest send of a key to an endpoint.
type keySend struct {
	endpoint *endpoint
	at       Micros
}

// keyRecord returns the record of r's key, or nil if r has no key or key affinity is off. Records that are not used
// for one to two generations are dropped.
func (b *Balancer) keyRecord(now Micros, r *request) *keyRecord {
	if !b.settings.KeyAffinity || r.Key == 0 {
		return nil
	}
	keys := &b.keys
	if keys.current == nil || now-keys.rotatedAt > minKeyAge<<ageBuckets || len(keys.current) >= maxKeys {
		keys.rotate(now)
	}
	record := keys.use(r.Key)
	if record == nil {
		record = &keyRecord{version: -1}
		keys.current[r.Key] = record
	}
	if record.version != b.endpoints.version {
		record.owners = b.keyOwners(r.Key)
		record.version = b.endpoints.version
	}
	return record
}

// recordSend records that the key is sent to e now. If the record is full, this replaces the oldest send.
func (k *keyRecord) recordSend(now Micros, e *endpoint) {
	slot := 0
	for i := range k.sends {
		if k.sends[i].endpoint == e {
			slot = i
			break
		}
		if k.sends[i].at < k.sends[slot].at {
			slot = i
		}
	}
	k.sends[slot] = keySend{endpoint: e, at: now}
}

// ageAt returns the age bucket of the last send of the key to e. If the process has started since then, it has
// nothing cached.
func (k *keyRecord) ageAt(now Micros, e *endpoint) affinity {
	age := affinity(ageBuckets - 1)
	for i := range k.sends {
		if send := &k.sends[i]; send.endpoint == e && send.at >= e.StartTime {
			age = 0
			for since := now - send.at; since > minKeyAge<<age && age < ageBuckets-1; {
				age++
			}
		}
	}
	return age
}
