// Command simhost runs balancers behind the simulator's protocol: it reads batches of events from standard input and
// writes one reply to each to standard output. It ends at the end of input, or with an error at a malformed frame. A
// panic or invalid settings of one instance become an exception record, and leave the others running.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"pinedale/balancer"
	"pinedale/internal/wire"
)

const (
	inputBuffer = 1 << 18 // bytes
	gcPercent   = 400     // nothing is allocated in the steady state: collect rarely
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(bufio.NewReaderSize(os.Stdin, inputBuffer), os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host runs the instances of one process. They share nothing but its buffers.
type host struct {
	decoder         wire.Decoder
	reply           wire.Reply
	instances       map[uint32]*instance
	unknownReported [256]bool // by code
	stderr          io.Writer
}

// instance is one balancer, and the Actions given to it.
type instance struct {
	*host
	balancer *balancer.Balancer // nil once stopped or faulty
}

// run answers batches until the end of input.
func run(in io.Reader, out, stderr io.Writer) error {
	h := &host{instances: map[uint32]*instance{}, stderr: stderr}
	var frame []byte
	for {
		next, err := wire.ReadFrame(in, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		frame = next
		if err := h.batch(frame); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}

// batch passes the events of a frame to their instances, and collects the reply.
func (h *host) batch(frame []byte) error {
	number, now, err := h.decoder.Reset(frame)
	if err != nil {
		return err
	}
	h.reply.Reset(number)
	var event wire.Event
	var current uint32 // instance of the following events
	named := false
	for {
		err := h.decoder.Next(&event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case event.Code == wire.Manifest:
		case event.Code == wire.Instance:
			current = event.Instance
			named = true
			h.reply.As(current)
		case event.Code < wire.Begin || event.Code > wire.Instance:
			h.reportUnknown(&event)
		case !named:
			return &wire.FrameError{Record: event.Code.String(), Offset: event.Offset,
				Reason: "comes before any instance"}
		default:
			i, err := h.instance(current, &event)
			if err != nil {
				return err
			}
			i.handle(now, &event)
		}
	}
}

// reportUnknown reports an unknown code once.
func (h *host) reportUnknown(event *wire.Event) {
	if h.unknownReported[event.Code] {
		return
	}
	h.unknownReported[event.Code] = true
	fmt.Fprintf(h.stderr, "simhost: %v at byte %d: unknown code, skipped\n", event.Code, event.Offset)
}

// instance returns the instance of an event, which only a begin record may create.
func (h *host) instance(number uint32, event *wire.Event) (*instance, error) {
	i := h.instances[number]
	if i != nil {
		return i, nil
	}
	if event.Code != wire.Begin {
		return nil, &wire.FrameError{Record: event.Code.String(), Offset: event.Offset,
			Reason: fmt.Sprintf("instance %d has not begun", number)}
	}
	i = &instance{host: h}
	h.instances[number] = i
	return i, nil
}

// handle passes an event to the balancer. A panic stops it and becomes an exception record.
func (i *instance) handle(now balancer.Micros, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			i.balancer = nil
			i.reply.Exception(fmt.Sprintf("panic in %v: %v", e.Code, p))
		}
	}()
	switch e.Code {
	case wire.Begin:
		i.begin(now, e)
		return
	case wire.Stop:
		i.balancer = nil
	}
	b := i.balancer
	if b == nil {
		return
	}
	switch e.Code {
	case wire.Membership:
		b.UpdateEndpoints(now, e.Kind, e.Entries)
	case wire.Request:
		b.HandleRequest(now, e.Request)
	case wire.Headers:
		b.ResponseStarted(now, e.Outcome.ID, e.Outcome.Attempt, e.Outcome.Latency)
	case wire.Answer:
		b.AttemptCompleted(now, e.Outcome)
	case wire.CancelledByClient:
		b.ClientDisconnected(now, e.Outcome.ID)
	case wire.TimeoutFired:
		b.TimerFired(now, e.Token)
	case wire.HealthResult:
		b.ProbeCompleted(now, e.Endpoint, e.Status, e.Latency, e.Load)
	}
}

// begin replaces the balancer by a new one with the settings of a begin record.
func (i *instance) begin(now balancer.Micros, e *wire.Event) {
	i.balancer = nil
	settings, err := wire.ParseSettings(e.Config)
	if err == nil {
		i.balancer, err = balancer.New(settings, e.Seed, i)
	}
	if err != nil {
		i.reply.Exception(err.Error())
		return
	}
	i.balancer.Start(now)
}

// Send writes a deliver record.
func (i *instance) Send(id uint64, endpoint uint32, timeout, _ balancer.Micros) {
	i.reply.Deliver(id, endpoint, timeout)
}

// Reject writes a decline record.
func (i *instance) Reject(id uint64, retryAfter balancer.Micros) { i.reply.Decline(id, retryAfter) }

// Fail writes a fail record.
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// Cancel writes a revoke record.
func (i *instance) Cancel(id uint64, attempt int) { i.reply.Revoke(id, attempt) }

// Timer writes an arm record.
func (i *instance) Timer(delay balancer.Micros, token uint32) { i.reply.Arm(delay, token) }

// Probe writes a sound_out record.
func (i *instance) Probe(endpoint uint32) { i.reply.SoundOut(endpoint) }

// Watch writes a track record.
func (i *instance) Watch(on bool) { i.reply.Track(on) }

// Log writes a trace record: the message, then key=value.
func (i *instance) Log(event string, attributes ...any) {
	line := event
	for n := 0; n+1 < len(attributes); n += 2 {
		line += fmt.Sprintf(" %v=%v", attributes[n], attributes[n+1])
	}
	i.reply.Trace(line)
}
