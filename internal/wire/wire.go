// Package wire is the codec of the simulator's protocol: binary frames in both directions, and the settings text of
// a begin record. It takes no decisions and keeps no state but the endpoint lists that a Decoder was sent.
//
// A frame to the host is a batch of events: number, size and clock, then records of one code byte, a size and
// fields, all big endian. The host answers each batch by one frame of actions. Codes, names of records and keys of
// settings are those of the protocol; the decoder maps them to the terms of package balancer.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Code numbers an event or an action; the two have separate code spaces.
type Code uint8

// Codes of events.
const (
	Begin             Code = 16
	Membership        Code = 17
	Request           Code = 18
	Headers           Code = 19
	Answer            Code = 20
	CancelledByClient Code = 21
	TimeoutFired      Code = 22
	HealthResult      Code = 23
	Whisper           Code = 24
	Stop              Code = 25
	Manifest          Code = 26
	Instance          Code = 27
)

// Codes of actions.
const (
	Deliver   Code = 80
	Decline   Code = 81
	Fail      Code = 82
	Revoke    Code = 83
	Arm       Code = 84
	SoundOut  Code = 85
	LetGo     Code = 86
	WritePeer Code = 87
	Trace     Code = 88
	Exception Code = 89
	Track     Code = 90
	ListAll   Code = 91
	As        Code = 92
)

var eventNames = map[Code]string{
	Begin: "begin", Membership: "membership", Request: "request", Headers: "headers",
	Answer: "answer", CancelledByClient: "cancelled_by_client", TimeoutFired: "timeout_fired",
	HealthResult: "health_result", Whisper: "whisper", Stop: "stop", Manifest: "manifest",
	Instance: "instance",
}

// String returns the event's name on the wire.
func (c Code) String() string {
	if name, ok := eventNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event %d", uint8(c))
}

// Sizes in bytes, but maxLists.
const (
	batchHeaderSize  = 16
	replyHeaderSize  = 12
	recordHeaderSize = 5
	entrySize        = 21 // of an endpoint in a manifest record
	maxFrameSize     = 1 << 30
	initialBuffer    = 1 << 16
	maxReadStep      = 1 << 20
	maxLists         = 16 // numbered endpoint lists
)

// FrameError says which record is malformed and at which byte of its frame.
type FrameError struct {
	Record string
	Offset int
	Reason string
}

// Error names the record, the byte offset and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

// ReadFrame reads one batch into buf, which grows as needed, and returns it. It returns io.EOF only at the end of
// input between two frames, and a *FrameError for a malformed or truncated frame.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeaderSize {
		buf = make([]byte, initialBuffer)
	}
	buf = buf[:batchHeaderSize]
	if n, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, &FrameError{Record: "batch header", Offset: n, Reason: "input ends inside it"}
	}
	size := int(binary.BigEndian.Uint32(buf[4:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return nil, &FrameError{Record: "batch header", Offset: 4,
			Reason: fmt.Sprintf("frame size %d is out of range", size)}
	}
	for have := batchHeaderSize; have < size; {
		// The buffer grows as bytes arrive: a size alone must not allocate memory.
		step := min(size-have, maxReadStep)
		if cap(buf) < have+step {
			grown := make([]byte, have, max(have+step, 2*cap(buf)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:have+step]
		n, err := io.ReadFull(r, buf[have:])
		if err != nil {
			return nil, &FrameError{Record: "batch", Offset: have + n,
				Reason: fmt.Sprintf("input ends inside a frame of %d bytes", size)}
		}
		have += step
	}
	return buf, nil
}
