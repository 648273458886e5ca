package cluster

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"pinedale/internal/replication"
)

// Print writes the status as text for operators.
func (s *Status) Print(out io.Writer) error {
	fmt.Fprintf(out, "%s (epoch %d) at %s, up for %.0f s\n", s.Name, s.Epoch, s.Address, s.UptimeSeconds)
	fmt.Fprintf(out, "alive: %v\n", s.Alive)
	fmt.Fprintf(out, "witness: %d keys held", s.AcceptorKeys)
	if s.RecoveringFor != "0s" {
		fmt.Fprintf(out, "; answers nothing for another %s, since it has started", s.RecoveringFor)
	}
	counts := s.Counts
	fmt.Fprintf(out, "\nclaims: %d, of them %d clear, %d shared, %d refused, %d without a majority's word\n",
		counts.Requests, counts.Exclusive, counts.Shared, counts.Denied, counts.NoMajority)
	fmt.Fprintf(out, "messages: %d heard, %d sent (%d bytes), %d made no sense, %d found no room; %d entries left out\n",
		counts.Received, counts.Sent, counts.Bytes, counts.Malformed, s.DroppedMessages, s.RejectedEntries)
	if len(s.Withheld) > 0 {
		fmt.Fprintf(out, "held back, since others know that they drain: %v\n", s.Withheld)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "origin\tepoch\tall up to")
	for _, vector := range s.Vectors {
		fmt.Fprintf(table, "%s\t%d\t%d\n", vector.Origin.Name, vector.Origin.Epoch, vector.Have)
	}
	fmt.Fprintln(table, "server\ttold by\tattempts\tfailed\twhile cold")
	for _, total := range s.Servers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n",
			total.Server, total.Origins, total.Attempts, total.Failures, total.SlowStart)
	}
	return table.Flush()
}

// recordID identifies a record in the copies of all instances.
type recordID struct {
	origin  replication.Origin
	topic   replication.Topic
	subject string
}

func (id recordID) String() string {
	return fmt.Sprintf("%s/%d %s", id.origin.Name, id.origin.Epoch, id.subject)
}

// Diff returns one line for each difference between the records of two instances, sorted. Records
// that were written within about the last second may not have reached both instances yet.
func Diff(a, b *Status) []string {
	var lines []string
	addLine := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	recordsOfA, recordsOfB := recordsByID(a), recordsByID(b)
	for id, record := range recordsOfA {
		other, ok := recordsOfB[id]
		switch {
		case !ok:
			addLine("%v: %s has number %d, %s nothing", id, a.Name, record.Seq, b.Name)
		case record.Seq != other.Seq:
			addLine("%v: %s has number %d, %s number %d", id, a.Name, record.Seq, b.Name, other.Seq)
		}
	}
	for id, record := range recordsOfB {
		if _, ok := recordsOfA[id]; !ok {
			addLine("%v: %s has nothing, %s number %d", id, a.Name, b.Name, record.Seq)
		}
	}
	if !slices.Equal(a.Voters, b.Voters) {
		addLine("the files name other witnesses: %v at %s, %v at %s", a.Voters, a.Name, b.Voters, b.Name)
	}
	slices.Sort(lines)
	return lines
}

// recordsByID returns the records of a status by their identity.
func recordsByID(status *Status) map[recordID]Record {
	records := map[recordID]Record{}
	for _, record := range status.Records {
		records[recordID{record.Origin, record.Topic, record.Subject}] = record
	}
	return records
}
