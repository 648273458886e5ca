package keylease

import (
	"cmp"
	"hash/fnv"
	"slices"

	"pinedale/internal/splitmix"
)

// VoterSetHash returns a hash of the names of all voters. It does not depend on their order.
func VoterSetHash(names []string) uint64 {
	hash := fnv.New64a()
	for _, name := range slices.Sorted(slices.Values(names)) {
		hash.Write([]byte(name))
		hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// Voters returns the voter set of a key: count of the names, selected by rendezvous hashing
// (Thaler and Ravishankar, 1998). Instances that are configured with the same names select
// the same voters, in the same order.
func Voters(names []string, key Key, count int) []string {
	type candidate struct {
		name  string
		score uint64
	}
	candidates := make([]candidate, len(names))
	for i, name := range names {
		candidates[i] = candidate{name: name, score: voterScore(name, key)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	voters := make([]string, 0, count)
	for _, c := range candidates[:min(count, len(candidates))] {
		voters = append(voters, c.name)
	}
	return voters
}

// voterScore returns the rendezvous weight of a voter for a key. The hash is mixed because
// FNV leaves differences in the last bytes of its input in the low bits of its output.
func voterScore(name string, key Key) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	hash.Write(key[:])
	return splitmix.Mix(hash.Sum64())
}
