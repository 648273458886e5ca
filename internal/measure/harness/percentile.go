package harness

import (
	"cmp"
	"slices"
)

// Percentile returns a percentile of values by nearest rank, or the zero value if there are no values. With a percent
// of 100 it returns the largest value. It sorts the values.
func Percentile[T cmp.Ordered](values []T, percent int) (value T) {
	if len(values) == 0 {
		return value
	}
	slices.Sort(values)
	return values[min(len(values)-1, len(values)*percent/100)]
}

// Median is the 50th percentile.
func Median[T cmp.Ordered](values []T) T { return Percentile(values, 50) }
