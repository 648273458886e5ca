package httpmsg

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// maxLoadValue is the largest valid value in a load report.
const maxLoadValue = 1e6

// LoadReport parses comma-separated name=value pairs and returns the values in the order of fields. A value
// that is missing, repeated, malformed or out of range is NaN: the balancer skips it and keeps the last valid
// one. LoadReport returns nil if text or fields is empty.
func LoadReport(fields []string, text string) []float32 {
	if text == "" || len(fields) == 0 {
		return nil
	}
	load := make([]float32, len(fields))
	seen := make([]bool, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(fields, name)
		if i < 0 {
			continue
		}
		figure, err := strconv.ParseFloat(value, 32)
		valid := err == nil && figure >= 0 && figure <= maxLoadValue
		if seen[i] || !valid {
			figure = math.NaN()
		}
		load[i] = float32(figure)
		seen[i] = true
	}
	return load
}
