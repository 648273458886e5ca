package replication

import (
	"encoding/binary"
	"hash/fnv"

	"pinedale/internal/splitmix"
)

// DigestBuckets is the number of buckets of a digest, which thus has 512 bytes. With the maximum
// number of origins of DefaultLimits, a bucket has 64 origins on average.
const DigestBuckets = 64

// Digest holds a hash of the vectors of the origins in each bucket.
type Digest [DigestBuckets]uint64

// goldenRatio64 is 2^64 divided by the golden ratio, an odd multiplier that spreads
// consecutive numbers.
const goldenRatio64 = 0x9e3779b97f4a7c15

// hash returns a hash of the origin that is the same at all instances.
func (o Origin) hash() uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(o.Name))
	var epoch [8]byte
	binary.LittleEndian.PutUint64(epoch[:], o.Epoch)
	hash.Write(epoch[:])
	return hash.Sum64()
}

// bucket returns the bucket of the digest that the origin is in.
func (o Origin) bucket() int { return int(o.hash() % DigestBuckets) }

// hash returns the vector's contribution to its bucket. It is mixed, so that a higher number
// in one vector and a lower one in another do not cancel out.
func (v Vector) hash() uint64 {
	return splitmix.Mix(v.Origin.hash() + v.CompleteTo*goldenRatio64 + v.BeyondHash)
}

// Digest returns the digest of the replica.
func (s *Store) Digest() (digest Digest) {
	for id, state := range s.origins {
		digest[id.bucket()] += state.vector().hash() // a sum does not depend on the order
	}
	return digest
}

// HandleDigest compares another replica's digest with this one's. It returns the vectors of some of
// the buckets that differ, nil if none does. start is the first bucket to compare. If the caller
// varies it, a bucket that cannot be repaired does not block the others.
func (s *Store) HandleDigest(remote Digest, start int) *Vectors {
	local := s.Digest()
	var differing []int
	for i := range DigestBuckets {
		bucket := (start + i) % DigestBuckets
		if local[bucket] != remote[bucket] {
			differing = append(differing, bucket)
		}
	}
	if len(differing) == 0 {
		return nil
	}
	return s.bucketVectors(differing, false)
}
