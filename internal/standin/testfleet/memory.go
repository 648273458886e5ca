package testfleet

import (
	"fmt"
	"strings"
)

const bytesPerKB = 1 << 10

// PeakResidentBytes returns the peak resident size in a /proc/PID/status text, or 0 if it has none.
func PeakResidentBytes(status string) int64 {
	_, rest, _ := strings.Cut(status, "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0
	}
	return kilobytes * bytesPerKB
}
