package extproc

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"pinedale/internal/standin/fakebackend"
)

// Options configure a run.
type Options struct {
	Calls        int
	Callers      int // concurrent
	Servers      int
	Seed         uint64
	ChangeEvery  int           // calls between two changes of the fleet, 0 for no change
	ShortWindows bool          // short windows and deadlines, so that the instance soon evicts its requests
	ServiceTime  time.Duration // of a request at a server
	NoRetries    bool
}

// maxAttempts returns how often a request may be sent to a server.
func (o *Options) maxAttempts() int {
	if o.NoRetries {
		return 1
	}
	return 3
}

// Report is the result of a run.
type Report struct {
	Calls           int
	Streams         int              // to the external processor
	Decisions       int              // on these streams
	CallKinds       map[callKind]int // calls by what the caller did
	Codes           map[int]int      // final answers to clients by status
	Undecided       int              // streams that stayed open and got no decision
	Doubled         int              // streams that got more than one decision
	Split           int              // pairs of streams for one keyed request that were sent to different servers
	Duplicates      []string         // effects that were executed more than once
	Removed         int              // servers removed from discovery
	LastAfter       time.Duration    // latest request at a removed server, since its removal was published
	Late            int              // servers that got a request more than maxRemovalDelay after that
	FailedStreams   int              // that failed although the caller did not break them off
	FirstError      error            // of the failed streams
	Took            time.Duration    // of all calls
	Pending         pendingState     // at the end
	Goroutines      int              // at the start
	ExtraGoroutines int              // more at the end than at the start
	Backends        fakebackend.Counts
}

// pendingState counts the state that an instance keeps of requests.
type pendingState struct {
	waiting, rounds, entries, ledger int
}

func (p pendingState) total() int { return p.waiting + p.rounds + p.entries + p.ledger }

// Violation describes the rule that a run violated, "" for none.
func (r *Report) Violation() string {
	switch {
	case r.Undecided+r.Doubled > 0:
		return fmt.Sprintf("%d streams without a decision, %d with more than one", r.Undecided, r.Doubled)
	case r.Split > 0:
		return fmt.Sprintf("%d pairs of streams for one keyed request were sent to different servers", r.Split)
	case len(r.Duplicates) > 0:
		return fmt.Sprintf("%d effects were executed more than once, such as %s", len(r.Duplicates), r.Duplicates[0])
	case r.Late > 0:
		return fmt.Sprintf("%d removed servers got requests more than 2 s after their removal", r.Late)
	case r.Pending.total() > 0:
		return fmt.Sprintf("not released at the end: %d waiting requests, %d rounds, %d entries, %d requests in the ledger",
			r.Pending.waiting, r.Pending.rounds, r.Pending.entries, r.Pending.ledger)
	case r.ExtraGoroutines > 0:
		return fmt.Sprintf("%d goroutines more than at the start", r.ExtraGoroutines)
	case r.FailedStreams > 0:
		return fmt.Sprintf("%d streams failed: %v", r.FailedStreams, r.FirstError)
	}
	return ""
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d calls in %v, %.0f per second; %d streams, %d decisions; %d without a decision, %d with several\n",
		r.Calls, r.Took.Round(time.Millisecond), float64(r.Calls)/r.Took.Seconds(),
		r.Streams, r.Decisions, r.Undecided, r.Doubled)
	for _, kind := range slices.Sorted(maps.Keys(r.CallKinds)) {
		fmt.Fprintf(w, "  %-30s %d\n", kind, r.CallKinds[kind])
	}
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(w, "  answered %-21d %d\n", code, r.Codes[code])
	}
	fmt.Fprintf(w, "servers: %d requests, %d executed, %d rejected, %d deduplicated; "+
		"duplicate effects %d; pairs sent to different servers %d\n",
		r.Backends.Requests, r.Backends.Executed, r.Backends.Rejected, r.Backends.Deduplicated,
		len(r.Duplicates), r.Split)
	fmt.Fprintf(w, "removed servers %d; latest request after a removal %v; later than 2 s %d\n",
		r.Removed, r.LastAfter, r.Late)
	fmt.Fprintf(w, "at the end: %d waiting requests, %d rounds, %d entries, %d requests in the ledger, "+
		"%d goroutines more than at the start; failed streams %d\n",
		r.Pending.waiting, r.Pending.rounds, r.Pending.entries, r.Pending.ledger, max(0, r.ExtraGoroutines), r.FailedStreams)
}
