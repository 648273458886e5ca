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
	fmt.Fprintf(out, "acceptor: %d keys", s.AcceptorKeys)
	if s.RecoveringFor != "0s" {
		fmt.Fprintf(out, "; grants no leases for another %s", s.RecoveringFor)
	}
	counts := s.Counts
	fmt.Fprintf(out, "\nlease requests: %d, of these %d exclusive, %d shared, %d denied, %d without a majority\n",
		counts.Requests, counts.Exclusive, counts.Shared, counts.Denied, counts.NoMajority)
	fmt.Fprintf(out, "messages: %d received, %d sent (%d bytes), %d malformed, %d dropped; %d entries rejected\n",
		counts.Received, counts.Sent, counts.Bytes, counts.Malformed, s.DroppedMessages, s.RejectedEntries)
	if len(s.Withheld) > 0 {
		fmt.Fprintf(out, "withheld, because other instances report them as draining: %v\n", s.Withheld)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "origin\tepoch\tcomplete up to")
	for _, vector := range s.Vectors {
		fmt.Fprintf(table, "%s\t%d\t%d\n", vector.Origin.Name, vector.Origin.Epoch, vector.CompleteTo)
	}
	fmt.Fprintln(table, "server\treported by\tattempts\tfailures\tduring slow start")
	for _, total := range s.Servers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n",
			total.Server, total.Origins, total.Attempts, total.Failures, total.SlowStart)
	}
	return table.Flush()
}

// recordID identifies a record in the statuses of all instances.
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
			addLine("%v: %s has sequence number %d, %s has no record", id, a.Name, record.Seq, b.Name)
		case record.Seq != other.Seq:
			addLine("%v: %s has sequence number %d, %s has %d", id, a.Name, record.Seq, b.Name, other.Seq)
		}
	}
	for id, record := range recordsOfB {
		if _, ok := recordsOfA[id]; !ok {
			addLine("%v: %s has no record, %s has sequence number %d", id, a.Name, b.Name, record.Seq)
		}
	}
	if !slices.Equal(a.Voters, b.Voters) {
		addLine("configured voters (witnesses) differ: %v at %s, %v at %s", a.Voters, a.Name, b.Voters, b.Name)
	}
	slices.Sort(lines)
	return lines
}

func recordsByID(status *Status) map[recordID]Record {
	records := map[recordID]Record{}
	for _, record := range status.Records {
		records[recordID{record.Origin, record.Topic, record.Subject}] = record
	}
	return records
}
