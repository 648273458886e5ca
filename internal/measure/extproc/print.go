package extproc

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Print writes the report for a reader.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "calls %d in %v, %.0f a second; asks %d, verdicts %d; without %d, doubled %d\n",
		r.Calls, r.Took.Round(time.Millisecond), float64(r.Calls)/r.Took.Seconds(), r.Requests, r.Decisions, r.Unanswered, r.Doubled)
	for _, k := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(out, "  %-30s %d\n", k, r.Kinds[k])
	}
	for _, c := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(out, "  answered %-21d %d\n", c, r.Codes[c])
	}
	fmt.Fprintf(out, "servers: %d requests, %d run, %d turned away, %d repeats dropped; effects done twice %d; pairs told two servers %d\n",
		r.Fleet.Requests, r.Fleet.Executed, r.Fleet.Rejected, r.Fleet.Deduplicated, len(r.Twice), r.Split)
	fmt.Fprintf(out, "removed servers %d; latest request after a removal %v; over 2 s %d\n", r.Removed, r.Latest, r.Late)
	fmt.Fprintf(out, "at the end: %d asks, %d rounds, %d entries, %d requests, %d goroutines more than at the start; streams failed %d\n",
		r.OpenRequests, r.Rounds, r.Entries, r.Ledger, max(0, r.Extra), r.Errors)
}
