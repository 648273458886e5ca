package main

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/tomlfile"
)

// testResult returns a result with the given number of findings.
func testResult(name string, convergenceTime time.Duration, findings int) *runResult {
	result := &runResult{
		schedule: &schedule.Schedule{
			Name: name,
			Faults: []schedule.Fault{{
				Kind:     schedule.Kill,
				Start:    tomlfile.Duration(time.Second),
				Duration: tomlfile.Duration(time.Second),
				Target:   "i-1",
			}},
		},
		summary: history.Summary{
			Effects:         8,
			Attempts:        10,
			Served:          7,
			ByStatus:        map[int]int{200: 7, 502: 1},
			InstanceChanges: 2,
			MedianLatency:   20_340 * time.Microsecond,
			P99Latency:      361_160 * time.Microsecond,
		},
		convergenceTime: convergenceTime,
	}
	for i := range findings {
		finding := history.Finding{Rule: history.NoUnexpectedExits, Text: fmt.Sprint("i-", i+1)}
		result.findings = append(result.findings, finding)
	}
	return result
}

func TestPrintedResultKeepsItsForm(t *testing.T) {
	const line = "seed 1: 1 faults, 8 effects, 10 attempts, served 87.5% (median 20.3ms, 99% 361.2ms), " +
		"replicas equal after 600ms, "
	const faults = "  with 1s to 2s kill of i-1\n"
	const fiveFindings = "  no crash: i-1\n  no crash: i-2\n  no crash: i-3\n  no crash: i-4\n  no crash: i-5\n"
	for _, test := range []struct {
		findings int
		want     string
	}{
		{0, line + "0 findings\n"},
		{1, line + "1 findings\n  no crash: i-1\n" + faults},
		{5, line + "5 findings\n" + fiveFindings + faults},
		{7, line + "7 findings\n" + fiveFindings + "  and 2 more\n" + faults},
	} {
		var out bytes.Buffer
		testResult("seed 1", 580*time.Millisecond, test.findings).print(&out)
		if out.String() != test.want {
			t.Errorf("%d findings are printed as\n%s\nwant\n%s", test.findings, out.String(), test.want)
		}
	}
}

func TestPrintedTotalsKeepTheirForm(t *testing.T) {
	var sums totals
	for i := range 10 {
		sums.add(testResult(fmt.Sprint("seed ", i), time.Duration(10-i)*time.Second, i/9))
	}
	sums.addFailure(&schedule.Schedule{Name: "seed 10"}, errors.New("no program"))
	var out bytes.Buffer
	sums.print(&out, 11)
	const want = "11 schedules, 10 faults, 80 effects, 100 attempts (20 with a key at another instance " +
		"than the previous attempt), responses by status map[200:70 502:10], served 87.5%; " +
		"replicas equal after 6s (median), 10s (90th percentile), 10s (maximum)\n"
	if out.String() != want {
		t.Errorf("printed\n%s\nwant\n%s", out.String(), want)
	}
	err := sums.err(11)
	if !errors.Is(err, errFailedSchedules) || err.Error() != "2 of 11 schedules failed: [seed 9 seed 10: no program]" {
		t.Errorf("error %v, want errFailedSchedules with the names of two schedules", err)
	}
}

func TestTotalsWithoutFailuresHaveNoError(t *testing.T) {
	var sums totals
	sums.add(testResult("seed 1", time.Second, 0))
	if err := sums.err(1); err != nil {
		t.Errorf("error %v, want nil", err)
	}
}
