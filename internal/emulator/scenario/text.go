package scenario

import (
	"fmt"
	"io"

	"pinedale/internal/emulator/plan"
)

// WriteText writes the result of a run as text.
func (f *File) WriteText(out io.Writer, s *plan.Scenario, r *plan.Result) {
	writeTallies(out, "class", f.classNames(), r.Classes)
	if len(f.Tenants) > 0 {
		writeTallies(out, "tenant", f.tenantNames(), r.Tenants)
	}
	fmt.Fprintf(out, "G %.3f; served in time %.1f%%, value earned in the worst 10 s %.1f%%\n",
		s.Score(r), 100*r.InTime(), 100*s.WorstWindow(r))
	fmt.Fprintf(out, "client attempts %d; attempts by server %v; probes %d; connections at most %d\n",
		r.ClientAttempts, r.Attempts, r.Probes, r.Connections)
	if r.Handshakes > 0 {
		fmt.Fprintf(out, "handshakes %d, at most %d at one server in one second; refused by the handshake budget %d\n",
			r.Handshakes, r.PeakHandshakes, r.HandshakesDenied)
	}
	if violations := r.Violations(); violations != "" {
		fmt.Fprintf(out, "VIOLATIONS: %s\n", violations)
	} else {
		fmt.Fprintln(out, "no violations")
	}
}

// writeTallies writes a table with one named row for each tally.
func writeTallies(out io.Writer, title string, names []string, tallies []plan.Tally) {
	fmt.Fprintf(out, "%-16s %8s %9s %7s %8s %7s\n", title, "asked", "in time", "late", "refused", "failed")
	for i, t := range tallies {
		inTime := 100 * float64(t.InTime) / float64(max(1, t.Requested))
		fmt.Fprintf(out, "%-16s %8d %8.1f%% %7d %8d %7d\n",
			names[i], t.Requested, inTime, t.Late, t.Rejected, t.Failed)
	}
}

func (f *File) classNames() []string {
	var names []string
	for i := range f.Classes {
		names = append(names, f.Classes[i].Name)
	}
	return names
}

func (f *File) tenantNames() []string {
	var names []string
	for i := range f.Tenants {
		names = append(names, f.Tenants[i].Name)
	}
	return names
}
