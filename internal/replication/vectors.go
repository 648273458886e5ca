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
	for _, o := range s.origins {
		vectors = append(vectors, o.vector())
	}
	slices.SortFunc(vectors, compareVectors)
	return vectors
}

// bucketVectors returns the vectors of as many of the buckets as one message holds, and of one
// bucket at least.
func (s *Store) bucketVectors(buckets []int, response bool) *Vectors {
	byBucket := map[int][]Vector{}
	for id, o := range s.origins {
		bucket := id.bucket()
		byBucket[bucket] = append(byBucket[bucket], o.vector())
	}
	message := &Vectors{Response: response}
	size := 0
	for _, bucket := range buckets {
		vectors := byBucket[bucket]
		for _, v := range vectors {
			size += vectorOverheadBytes + len(v.Origin.Name)
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

// HandleVectors compares another replica's vectors with this one's. It returns the deltas
// that the other one lacks, and this one's vectors of the same buckets if it lacks some
// itself, nil if not or if v is a response.
func (s *Store) HandleVectors(now time.Duration, v *Vectors) (deltas []Delta, local *Vectors) {
	remote := map[Origin]Vector{}
	behind := false
	for _, vector := range v.Vectors {
		s.renumberAbove(now, vector)
		remote[vector.Origin] = vector
		behind = behind || s.behind(vector)
	}
	buckets := validBuckets(v.Buckets)
	deltas = s.missingDeltas(now, buckets, remote)
	if behind && !v.Response {
		local = s.bucketVectors(buckets, true)
	}
	return deltas, local
}

// behind reports whether another replica's vector has entries that this one lacks.
func (s *Store) behind(remote Vector) bool {
	if remote.Origin == s.self {
		return false
	}
	o := s.origins[remote.Origin]
	if o == nil {
		return s.admit(remote.Origin)
	}
	return o.completeTo < remote.Have || o.vector().More != remote.More
}

// missingDeltas returns the deltas of origins in some buckets that another replica lacks, by its
// vectors. The first origin's deltas are returned whatever their number, those of others as
// far as one response holds them.
func (s *Store) missingDeltas(now time.Duration, buckets []int, remote map[Origin]Vector) []Delta {
	requested := map[int]bool{}
	for _, bucket := range buckets {
		requested[bucket] = true
	}
	var origins []*originState
	for id, o := range s.origins {
		vector, known := remote[id]
		if requested[id.bucket()] && (!known || o.ahead(vector)) {
			origins = append(origins, o)
		}
	}
	slices.SortFunc(origins, func(a, b *originState) int { return a.id.compare(b.id) })
	var deltas []Delta
	for _, o := range origins {
		next := s.deltas(now, o, remote[o.id].Have)
		if len(deltas) > 0 && len(deltas)+len(next) > s.limits.MaxDeltasPerResponse {
			break
		}
		deltas = append(deltas, next...)
	}
	return deltas
}

// ahead reports whether the origin has entries that another replica lacks, by its vector.
func (o *originState) ahead(remote Vector) bool {
	local := o.vector()
	return remote.Have < local.Have || local.More != 0 && local.More != remote.More
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
