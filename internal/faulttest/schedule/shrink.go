package schedule

import "sort"

// Shrink returns a part of a failing schedule that still fails, and from which no single fault can be removed. It
// searches for the shortest failing prefix of the faults and then tries to remove each of the remaining ones. fails
// runs a schedule, several times if its result varies, and reports whether it fails.
func (s *Schedule) Shrink(fails func(*Schedule) bool) *Schedule {
	length := sort.Search(len(s.Faults), func(length int) bool {
		return fails(s.Filter(func(index int) bool { return index < length }))
	})
	shrunk := s.Filter(func(index int) bool { return index < length })
	for i := 0; i < len(shrunk.Faults); {
		candidate := shrunk.Filter(func(index int) bool { return index != i })
		if fails(candidate) {
			shrunk = candidate
		} else {
			i++
		}
	}
	return shrunk
}
