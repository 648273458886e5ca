package replication

import (
	"encoding/binary"
	"hash/fnv"

	"pinedale/internal/splitmix"
)

// DigestBuckets is the number of buckets of a digest: 512 bytes, with 64 origins in each bucket if
// there are as many as Defaults permit.
const DigestBuckets = 64

// Digest has a hash of the origins in each bucket and of their vectors.
type Digest [DigestBuckets]uint64

// goldenRatio64 is 2^64 divided by the golden ratio, an odd multiplier that spreads
// consecutive numbers.
const goldenRatio64 = 0x9e3779b97f4a7c15

// hash returns a hash of the origin that is the same at all instances.
func (o Origin) hash() uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Name))
	var epoch [8]byte
	binary.LittleEndian.PutUint64(epoch[:], o.Epoch)
	h.Write(epoch[:])
	return h.Sum64()
}

// bucket returns the bucket of the digest that the origin is in.
func (o Origin) bucket() int { return int(o.hash() % DigestBuckets) }

// hash returns the vector's contribution to its bucket. It is mixed, so that a higher number
// in one vector and a lower one in another do not cancel out.
func (v Vector) hash() uint64 {
	return splitmix.Mix(v.Origin.hash() + v.Have*goldenRatio64 + v.More)
}

// Digest returns the digest of the replica.
func (s *Store) Digest() (d Digest) {
	for id, o := range s.origins {
		d[id.bucket()] += o.vector().hash() // a sum does not depend on the order
	}
	return d
}

// HandleDigest compares another replica's digest with this one's and returns the vectors of
// some buckets that differ, nil if none does. start is the bucket to begin with. A caller
// that varies it keeps a bucket that can't be repaired from blocking the others.
func (s *Store) HandleDigest(d Digest, start int) *Vectors {
	local := s.Digest()
	var differing []int
	for i := range DigestBuckets {
		bucket := (start + i) % DigestBuckets
		if local[bucket] != d[bucket] {
			differing = append(differing, bucket)
		}
	}
	if len(differing) == 0 {
		return nil
	}
	return s.bucketVectors(differing, false)
}
