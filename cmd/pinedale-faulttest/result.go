package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/schedule"
)

// errFailedSchedules is wrapped by the error of a command whose runs failed or have findings.
var errFailedSchedules = errors.New("schedules failed")

// maxPrintedFindings is the highest number of findings that are printed for one run.
const maxPrintedFindings = 5

// The precision of printed durations.
const (
	latencyPrecision     = 100 * time.Microsecond
	convergencePrecision = 100 * time.Millisecond
)

// runResult is the result of one run.
type runResult struct {
	schedule        *schedule.Schedule
	summary         history.Summary
	convergenceTime time.Duration
	findings        []history.Finding
}

// newRunResult returns the result of the run that a history records.
func newRunResult(recorded *history.History) *runResult {
	return &runResult{
		schedule:        recorded.Schedule,
		summary:         recorded.Summarize(),
		convergenceTime: recorded.ConvergenceTime,
		findings:        recorded.Check(),
	}
}

// print prints the result in one line. If there are findings, some of them and all faults of the schedule follow.
func (r *runResult) print(out io.Writer) {
	fmt.Fprintf(out, "%s: %d faults, %d effects, %d attempts, served %.1f%% (median %v, 99%% %v), "+
		"replicas equal after %v, %d findings\n",
		r.schedule.Name, len(r.schedule.Faults), r.summary.Effects, r.summary.Attempts, r.summary.ServedPercent(),
		r.summary.MedianLatency.Round(latencyPrecision), r.summary.P99Latency.Round(latencyPrecision),
		r.convergenceTime.Round(convergencePrecision), len(r.findings))
	if len(r.findings) == 0 {
		return
	}
	for _, finding := range r.findings[:min(len(r.findings), maxPrintedFindings)] {
		fmt.Fprintf(out, "  %s\n", finding)
	}
	if omitted := len(r.findings) - maxPrintedFindings; omitted > 0 {
		fmt.Fprintf(out, "  and %d more\n", omitted)
	}
	for _, fault := range r.schedule.Faults {
		fmt.Fprintf(out, "  with %s\n", fault)
	}
}

// printFailure prints the error of a run that failed without a result.
func printFailure(out io.Writer, s *schedule.Schedule, err error) {
	fmt.Fprintf(out, "%s: %v\n", s.Name, err)
}

// totals sums the results of several runs.
type totals struct {
	summary          history.Summary
	faults           int
	convergenceTimes []time.Duration
	failures         []string // names of the schedules that failed, with the error of runs without a result
}

// add adds the result of a run.
func (t *totals) add(result *runResult) {
	t.summary.Add(result.summary)
	t.faults += len(result.schedule.Faults)
	t.convergenceTimes = append(t.convergenceTimes, result.convergenceTime)
	if len(result.findings) > 0 {
		t.failures = append(t.failures, result.schedule.Name)
	}
}

// addFailure adds a run that failed without a result.
func (t *totals) addFailure(s *schedule.Schedule, err error) {
	t.failures = append(t.failures, fmt.Sprintf("%s: %v", s.Name, err))
}

// print prints the totals in one line.
func (t *totals) print(out io.Writer, schedules int) {
	fmt.Fprintf(out, "%d schedules, %d faults, %d effects, %d attempts "+
		"(%d with a key at another instance than the previous attempt), responses by status %v, served %.1f%%; "+
		"replicas equal after %v (median), %v (90th percentile), %v (maximum)\n",
		schedules, t.faults, t.summary.Effects, t.summary.Attempts,
		t.summary.InstanceChanges, t.summary.ByStatus, t.summary.ServedPercent(),
		t.convergenceQuantile(0.5), t.convergenceQuantile(0.9), t.convergenceQuantile(1))
}

// convergenceQuantile returns a quantile (0 to 1) of the convergence times, or 0 if there are none.
func (t *totals) convergenceQuantile(quantile float64) time.Duration {
	count := len(t.convergenceTimes)
	if count == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.convergenceTimes))
	index := min(count-1, int(quantile*float64(count)))
	return sorted[index].Round(convergencePrecision)
}

// err returns an error that names the schedules that failed, or nil if none failed.
func (t *totals) err(schedules int) error {
	if len(t.failures) == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d %w: %v", len(t.failures), schedules, errFailedSchedules, t.failures)
}
