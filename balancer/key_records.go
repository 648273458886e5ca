package balancer

// affinity says what an endpoint is to a request's key: 0 for a request without key, else notOwner, zoneOwner
// or fleetOwner plus an age bucket. The last bucket stands for a key that was not sent there for long.
type affinity uint8

const (
	maxKeys     = 4096       // of one generation: three times as many as any known deployment has
	sendsPerKey = 4          // endpoints remembered for a key
	minKeyAge   = second / 2 // upper limit of the first age bucket

	ageBuckets    = 7 // each twice as long as the one before
	notOwner      = affinity(1)
	zoneOwner     = notOwner + ageBuckets
	fleetOwner    = zoneOwner + ageBuckets
	affinityCount = fleetOwner + ageBuckets
	notCached     = notOwner + ageBuckets - 1 // neither an owner nor sent there
)

// Indexes of a key's owners.
const (
	inZone = iota
	inFleet
	ownersPerKey
)

// keyAffinity holds what is known of keys.
type keyAffinity struct {
	current, previous map[uint64]*keyRecord // by key: those used in this generation and in the one before
	rotatedAt         Micros
	workRatio         [affinityCount]float64
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

// learn adds a sample of the work ratio. That of requests without key, or where nothing is cached, is the
// reference and stays 1.
func (k *keyAffinity) learn(a affinity, ratio float64) {
	if a == 0 || a == notCached {
		return
	}
	estimate := &k.workRatio[a]
	*estimate = min(1, max(minWorkRatio, *estimate+workRatioWeight*(ratio-*estimate)))
}

// keyRecord is where a key was sent to lately.
type keyRecord struct {
	owners  [ownersPerKey]*endpoint // nil where none is ready
	version int                     // of the endpoint set that the owners were chosen from
	sends   [sendsPerKey]keySend
}

// keySend is the latest send of a key to an endpoint.
type keySend struct {
	endpoint *endpoint
	at       Micros
}

// keyRecord returns the record of r's key, nil if it has none or keys do not matter. Records that are not used
// for a generation or two are dropped.
func (b *Balancer) keyRecord(now Micros, r *request) *keyRecord {
	if !b.settings.KeyAffinity || r.Key == 0 {
		return nil
	}
	keys := &b.keys
	if keys.current == nil || now-keys.rotatedAt > minKeyAge<<ageBuckets || len(keys.current) >= maxKeys {
		keys.previous = keys.current
		keys.current = make(map[uint64]*keyRecord, len(keys.current))
		keys.rotatedAt = now
	}
	record := keys.current[r.Key]
	if record == nil {
		record = keys.previous[r.Key]
		if record == nil {
			record = &keyRecord{version: -1}
		}
		keys.current[r.Key] = record
	}
	if record.version != b.endpoints.version {
		record.owners = b.keyOwners(r.Key)
		record.version = b.endpoints.version
	}
	return record
}

// recordSend notes that the key goes to e now, in place of the oldest send.
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

// ageAt returns the age bucket of the last send of the key to e. A process that started since has nothing
// cached.
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
