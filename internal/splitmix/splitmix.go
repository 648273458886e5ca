// Package splitmix implements the output mixing step of SplitMix64 (Steele, Lea and Flood,
// "Fast splittable pseudorandom number generators", 2014). Callers apply it to FNV hashes,
// whose bits are unevenly distributed: every output bit of Mix depends on all input bits.
package splitmix

// Mix returns z with its bits mixed. It is a bijection: distinct inputs give distinct outputs.
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
