package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/scenario"
	"pinedale/internal/emulator/trace"
)

// replayCommand returns the command that runs the scenario of a trace again.
func (c *commandLine) replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "run the scenario of a trace on virtual time, and print the first event that differs",
		Long: `Run the scenario of a trace on virtual time, and print the first event that differs. For a trace from sockets,
print the event counts of both runs.`,
		Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error { return c.replay(cmd.Context(), args[0]) },
	}
}

// recording is a trace whose scenario is run again.
type recording struct {
	path    string
	reader  *trace.Reader
	file    *scenario.File // the scenario in its header
	planned *plan.Scenario
}

// replay runs the scenario of a trace again and compares the events of both runs, or their counts if the trace was
// recorded on sockets.
func (c *commandLine) replay(ctx context.Context, path string) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	recorded, err := readRecording(path, in)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if recorded.reader.Header.Host == trace.Sockets {
		return c.compareEventCounts(ctx, recorded)
	}
	return c.compareEvents(ctx, recorded)
}

// readRecording reads the header of a trace and its scenario.
func readRecording(path string, in io.Reader) (*recording, error) {
	reader, err := trace.NewReader(in)
	if err != nil {
		return nil, err
	}
	file, err := scenario.Parse([]byte(reader.Header.Scenario))
	if err != nil {
		return nil, fmt.Errorf("line 1: scenario: %w", err)
	}
	return &recording{
		path:    path,
		reader:  reader,
		file:    file,
		planned: file.Plan(reader.Header.Seed),
	}, nil
}

// simulate runs the scenario on virtual time with the policy of the trace.
func (r *recording) simulate(
	ctx context.Context, onEvent func(trace.Event), progress progressFunc,
) (*plan.Result, error) {
	return simulate(ctx, r.planned, simulateOptions{
		host:     trace.Virtual,
		policy:   r.reader.Header.Policy,
		onEvent:  onEvent,
		progress: progress,
	})
}

// title returns the scenario, seed and policy.
func (r *recording) title() string {
	return fmt.Sprintf("%s, seed %d, %s", r.file.Name, r.planned.Seed, r.reader.Header.Policy)
}

// compareEvents runs the scenario of a trace again and compares both runs event by event.
func (c *commandLine) compareEvents(ctx context.Context, recorded *recording) error {
	comparison := &eventComparison{recorded: recorded.reader, out: c.out}
	result, err := recorded.simulate(ctx, comparison.compareNext, c.progress)
	if err == nil {
		err = comparison.finish()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", recorded.path, err)
	}
	if comparison.differs {
		return errors.New("the replay does not match the trace")
	}
	fmt.Fprintf(c.out, "%s: all %d events are the same, G %.3f\n",
		recorded.title(), comparison.equal, recorded.planned.Score(result))
	return nil
}

// eventComparison compares the events of a run with those of a trace. It prints the first difference and ignores all
// later events.
type eventComparison struct {
	recorded *trace.Reader
	out      io.Writer

	equal   int   // number of equal events
	differs bool  // a difference was found
	err     error // the error that reading the trace returned
}

// compareNext compares the next event of the run with the next event of the trace.
func (c *eventComparison) compareNext(event trace.Event) {
	if c.differs || c.err != nil {
		return
	}
	recorded, err := c.recorded.Read()
	switch {
	case errors.Is(err, io.EOF):
		c.differs = true
		fmt.Fprintf(c.out, "the trace ends after %d events, but the replay continues with %+v\n", c.equal, event)
	case err != nil:
		c.err = err
	case recorded != event:
		c.differs = true
		fmt.Fprintf(c.out, "line %d differs:\n  recorded %+v\n  replayed %+v\n", c.recorded.Line(), recorded, event)
	default:
		c.equal++
	}
}

// finish ends the comparison after the last event of the run. It returns an error if the trace could not be read.
func (c *eventComparison) finish() error {
	if c.differs || c.err != nil {
		return c.err
	}
	recorded, err := c.recorded.Read()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	c.differs = true
	fmt.Fprintf(c.out, "the replay ends after %d events, but the trace continues with %+v\n", c.equal, recorded)
	return nil
}

// compareEventCounts takes a trace that was recorded on sockets, runs its scenario on virtual time and prints the event
// counts of both runs. The events themselves cannot be compared, since the trace was recorded in real time.
func (c *commandLine) compareEventCounts(ctx context.Context, recorded *recording) error {
	sockets, err := countRecorded(recorded.reader)
	if err != nil {
		return fmt.Errorf("%s: %w", recorded.path, err)
	}
	var virtual eventCounts
	if _, err := recorded.simulate(ctx, virtual.add, c.progress); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s\n%-16s %9s %9s\n", recorded.title(), "", "sockets", "virtual")
	rows := []struct {
		name             string
		sockets, virtual int
	}{
		{"tries", sockets.requests, virtual.requests},
		{"answered 200", sockets.served, virtual.served},
		{"answered 503", sockets.rejected, virtual.rejected},
		{"other answers", sockets.otherResponses, virtual.otherResponses},
		{"client aborts", sockets.disconnected, virtual.disconnected},
		{"attempts", sockets.attempts, virtual.attempts},
		{"server collapses", sockets.collapses, virtual.collapses},
	}
	for _, row := range rows {
		fmt.Fprintf(c.out, "%-16s %9d %9d\n", row.name, row.sockets, row.virtual)
	}
	return nil
}

// eventCounts holds the number of events of a run by their kind.
type eventCounts struct {
	requests       int
	served         int
	rejected       int
	otherResponses int
	disconnected   int
	attempts       int
	collapses      int
}

// add counts an event.
func (c *eventCounts) add(event trace.Event) {
	switch event.Kind {
	case trace.KindRequest:
		c.requests++
	case trace.KindResponse:
		c.addResponse(event.Code)
	case trace.KindAttempt:
		c.attempts++
	case trace.KindCollapse:
		c.collapses++
	}
}

// addResponse counts a response by its status code.
func (c *eventCounts) addResponse(code int) {
	switch code {
	case http.StatusOK:
		c.served++
	case http.StatusServiceUnavailable:
		c.rejected++
	case plan.CodeDisconnected:
		c.disconnected++
	default:
		c.otherResponses++
	}
}

// countRecorded counts the events of a trace.
func countRecorded(reader *trace.Reader) (counts eventCounts, err error) {
	for {
		event, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return counts, nil
		}
		if err != nil {
			return counts, err
		}
		counts.add(event)
	}
}
