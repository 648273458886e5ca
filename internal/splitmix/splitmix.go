// Package splitmix has the mixing step of SplitMix64 (Steele, Lea and Flood, "Fast splittable
// pseudorandom number generators", 2014): each bit of what comes out depends on all that goes
// in, which is not so of FNV's low bits.
package splitmix

// Mix mixes the bits of a number. It is one to one.
func Mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
