package main

import (
	"errors"
	"fmt"
	"io"

	"pinedale/balancer"
	"pinedale/internal/wire"
)

// host runs the instances of one process. Instances share only the host's buffers.
type host struct {
	decoder         wire.Decoder
	reply           wire.Reply
	instances       map[uint32]*instance
	unknownReported [256]bool // by event code
	stderr          io.Writer

	// The instance that receives the next events of the batch.
	selected    uint32
	hasSelected bool
}

// run replies to batches until the end of input.
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
		if err := h.handleBatch(frame); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}

// handleBatch passes the events of a frame to their instances and builds the reply.
func (h *host) handleBatch(frame []byte) error {
	batch, now, err := h.decoder.Reset(frame)
	if err != nil {
		return err
	}
	h.reply.Reset(batch)
	h.hasSelected = false
	var event wire.Event
	for {
		err := h.decoder.Next(&event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleEvent(now, &event); err != nil {
			return err
		}
	}
}

// handleEvent selects an instance, or passes an event to the selected one.
func (h *host) handleEvent(now balancer.Micros, event *wire.Event) error {
	switch {
	case event.Code == wire.Manifest:
		return nil // the decoder stores the list
	case event.Code == wire.Instance:
		h.selected = event.Instance
		h.hasSelected = true
		h.reply.As(h.selected)
		return nil
	case event.Code < wire.Begin || event.Code > wire.Instance:
		h.reportUnknown(event)
		return nil
	case !h.hasSelected:
		return frameError(event, "received before any instance record")
	}
	target, err := h.instance(event)
	if err != nil {
		return err
	}
	target.handle(now, event)
	return nil
}

// reportUnknown prints each unknown code once.
func (h *host) reportUnknown(event *wire.Event) {
	if h.unknownReported[event.Code] {
		return
	}
	h.unknownReported[event.Code] = true
	fmt.Fprintf(h.stderr, "simhost: %v at byte %d: unknown event code, record skipped\n", event.Code, event.Offset)
}

// instance returns the selected instance. A begin record creates it; any other record for a new instance is an error.
func (h *host) instance(event *wire.Event) (*instance, error) {
	if existing := h.instances[h.selected]; existing != nil {
		return existing, nil
	}
	if event.Code != wire.Begin {
		return nil, frameError(event, fmt.Sprintf("instance %d has no begin record", h.selected))
	}
	created := &instance{reply: &h.reply}
	h.instances[h.selected] = created
	return created, nil
}

// frameError returns an error about an event that is not allowed at its position in the frame.
func frameError(event *wire.Event, reason string) error {
	return &wire.FrameError{
		Record: event.Code.String(),
		Offset: event.Offset,
		Reason: reason,
	}
}
