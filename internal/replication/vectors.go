package replication

import (
	"slices"
	"time"
)

// compareVectors orders vectors by origin.
func compareVectors(a, b Vector) int { return a.Origin.compare(b.Origin) }

// Vectors returns the vectors of all origins.
func (s *Store) Vectors() []Vector {
	var vectors []Vector
	for _, state := range s.origins {
		vectors = append(vectors, state.vector())
	}
	slices.SortFunc(vectors, compareVectors)
	return vectors
}

// bucketVectors returns the vectors of as many of the buckets as fit into one message, but of at
// least one bucket.
func (s *Store) bucketVectors(buckets []int, response bool) *Vectors {
	byBucket := map[int][]Vector{}
	for id, state := range s.origins {
		bucket := id.bucket()
		byBucket[bucket] = append(byBucket[bucket], state.vector())
	}
	message := &Vectors{Response: response}
	size := 0
	for _, bucket := range buckets {
		vectors := byBucket[bucket]
		for _, vector := range vectors {
			size += vectorOverheadBytes + len(vector.Origin.Name)
		}
		if len(message.Buckets) > 0 && size > s.limits.MaxMessageBytes {
			break
		}
		slices.SortFunc(vectors, compareVectors)
		message.Buckets = append(message.Buckets, bucket)
		message.Vectors = append(message.Vectors, vectors...)
	}
	return message
}

// HandleVectors compares another replica's vectors with this one's. It returns the deltas that the
// other replica is missing. If this replica is missing entries, and remote is not a response, it
// also returns its own vectors of the same buckets; otherwise local is nil.
func (s *Store) HandleVectors(now time.Duration, remote *Vectors) (deltas []Delta, local *Vectors) {
	remoteByOrigin := map[Origin]Vector{}
	behind := false
	for _, vector := range remote.Vectors {
		s.renumberAbove(now, vector)
		remoteByOrigin[vector.Origin] = vector
		behind = behind || s.behind(vector)
	}
	buckets := validBuckets(remote.Buckets)
	deltas = s.missingDeltas(now, buckets, remoteByOrigin)
	if behind && !remote.Response {
		local = s.bucketVectors(buckets, true)
	}
	return deltas, local
}

// behind reports whether this replica is missing entries that another one has according to its vector.
func (s *Store) behind(remote Vector) bool {
	if remote.Origin == s.self {
		return false
	}
	state := s.origins[remote.Origin]
	if state == nil {
		return s.admit(remote.Origin)
	}
	return state.completeTo < remote.CompleteTo || state.vector().BeyondHash != remote.BeyondHash
}

// missingDeltas returns the deltas of origins in some buckets that another replica is missing
// according to its vectors. The deltas of the first origin are all returned. Those of further origins
// are returned up to MaxDeltasPerResponse.
func (s *Store) missingDeltas(now time.Duration, buckets []int, remote map[Origin]Vector) []Delta {
	requested := map[int]bool{}
	for _, bucket := range buckets {
		requested[bucket] = true
	}
	var ahead []*originState
	for id, state := range s.origins {
		vector, known := remote[id]
		if requested[id.bucket()] && (!known || state.ahead(vector)) {
			ahead = append(ahead, state)
		}
	}
	slices.SortFunc(ahead, func(a, b *originState) int { return a.id.compare(b.id) })
	var deltas []Delta
	for _, state := range ahead {
		next := s.deltas(now, state, remote[state.id].CompleteTo)
		if len(deltas) > 0 && len(deltas)+len(next) > s.limits.MaxDeltasPerResponse {
			break
		}
		deltas = append(deltas, next...)
	}
	return deltas
}

// ahead reports whether another replica is missing entries of the origin according to its vector.
func (o *originState) ahead(remote Vector) bool {
	local := o.vector()
	return remote.CompleteTo < local.CompleteTo || local.BeyondHash != 0 && local.BeyondHash != remote.BeyondHash
}

// validBuckets returns the buckets that exist, each once, in order of appearance.
func validBuckets(buckets []int) []int {
	var valid []int
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < DigestBuckets && !slices.Contains(valid, bucket) {
			valid = append(valid, bucket)
		}
	}
	return valid
}
