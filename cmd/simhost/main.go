// Command simhost hosts balancers behind the simulator's wire: batches of events
// on standard input, one reply each on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"pinedale/balancer"
	"pinedale/internal/wire"
)

func main() {
	// Nothing is allocated in the steady state: collect rarely.
	debug.SetGCPercent(400)
	if err := run(bufio.NewReaderSize(os.Stdin, 1<<18), os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host runs the instances of one process. They share nothing but its buffers.
type host struct {
	decoder         wire.Decoder
	reply           wire.Reply
	instances       map[uint32]*instance
	unknownReported [256]bool // unknown codes already reported
	stderr          io.Writer
}

// instance is one balancer with its number, and the Actions given to it.
type instance struct {
	*host
	number   uint32
	balancer *balancer.Balancer // nil once stopped or faulty
}

func run(in io.Reader, out, stderr io.Writer) error {
	h := &host{instances: map[uint32]*instance{}, stderr: stderr}
	var frame []byte
	for {
		next, err := wire.ReadFrame(in, frame)
		if err == io.EOF {
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

func (h *host) batch(frame []byte) error {
	number, now, err := h.decoder.Reset(frame)
	if err != nil {
		return err
	}
	h.reply.Reset(number)
	var e wire.Event
	var current uint32
	named := false
	for {
		err := h.decoder.Next(&e)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		switch e.Code {
		case wire.Manifest:
			continue
		case wire.Instance:
			current, named = e.Instance, true
			h.reply.As(current)
			continue
		}
		if e.Code < wire.Begin || e.Code > wire.Instance {
			if !h.unknownReported[e.Code] {
				h.unknownReported[e.Code] = true
				fmt.Fprintf(h.stderr, "simhost: %v at byte %d: unknown code, skipped\n", e.Code, e.Offset)
			}
			continue
		}
		if !named {
			return &wire.FrameError{Record: e.Code.String(), Offset: e.Offset, Reason: "comes before any instance"}
		}
		i := h.instances[current]
		if i == nil {
			if e.Code != wire.Begin {
				return &wire.FrameError{Record: e.Code.String(), Offset: e.Offset,
					Reason: fmt.Sprintf("instance %d has not begun", current)}
			}
			i = &instance{host: h, number: current}
			h.instances[current] = i
		}
		i.handle(now, &e)
	}
}

// handle passes an event on. A panic becomes an exception on the wire.
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

func (i *instance) begin(now balancer.Micros, e *wire.Event) {
	i.balancer = nil
	s, err := wire.ParseSettings(e.Config)
	if err == nil {
		i.balancer, err = balancer.New(s, e.Seed, i)
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

// Log writes a trace record.

// Log writes an event as one line of text: the message, then key=value.
func (i *instance) Log(event string, attributes ...any) {
	line := event
	for n := 0; n+1 < len(attributes); n += 2 {
		line += fmt.Sprintf(" %v=%v", attributes[n], attributes[n+1])
	}
	i.reply.Trace(line)
}
