package splitmix

import "testing"

// The expected values are the first outputs of the reference generator with seed 0.
func TestMixMatchesReferenceGenerator(t *testing.T) {
	const increment = 0x9e3779b97f4a7c15
	state := uint64(0)
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		state += increment
		if got := Mix(state); got != want {
			t.Errorf("output %d: %#x, want %#x", i, got, want)
		}
	}
}
