// Package wire is the codec of the simulator's protocol: binary frames in both directions, and the settings text of
// a begin record. Its only state is the endpoint lists that a Decoder has received.
//
// A frame to the host, the process that runs balancers, is a batch of events: number, size and clock, then records of
// a code byte, a size and fields, all big endian. The host answers each batch with one frame of actions. Codes, names
// of records and keys of settings are those of the protocol. The decoder maps them to the terms of package balancer.
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
	Begin:             "begin",
	Membership:        "membership",
	Request:           "request",
	Headers:           "headers",
	Answer:            "answer",
	CancelledByClient: "cancelled_by_client",
	TimeoutFired:      "timeout_fired",
	HealthResult:      "health_result",
	Whisper:           "whisper",
	Stop:              "stop",
	Manifest:          "manifest",
	Instance:          "instance",
}

// String returns the event's name on the wire.
func (c Code) String() string {
	if name, ok := eventNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event %d", uint8(c))
}

// Layout of frames, in bytes. A batch begins with its number, followed by its size and its clock.
const (
	batchSizeOffset   = 4
	batchClockOffset  = 8
	batchHeaderSize   = 16
	replySizeOffset   = 4
	replyCountOffset  = 8
	replyHeaderSize   = 12
	codeSize          = 1
	recordHeaderSize  = 5
	entrySize         = 21 // of an endpoint in a manifest record
	loadFigureSize    = 4
	maxFrameSize      = 1 << 30
	initialBufferSize = 1 << 16
	maxReadStep       = 1 << 20 // ReadFrame extends its buffer by at most this
)

// maxLists is the number of numbered endpoint lists.
const maxLists = 16

// FrameError reports which record is malformed and at which byte of its frame.
type FrameError struct {
	Record string
	Offset int
	Reason string
}

// Error names the record, the byte offset and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

// ReadFrame reads one batch into buffer, which grows as needed, and returns it. It returns io.EOF only if the input
// ends between two frames, and a *FrameError for a malformed or truncated frame.
func ReadFrame(r io.Reader, buffer []byte) ([]byte, error) {
	if cap(buffer) < batchHeaderSize {
		buffer = make([]byte, initialBufferSize)
	}
	buffer = buffer[:batchHeaderSize]
	size, err := readHeader(r, buffer)
	if err != nil {
		return nil, err
	}
	for len(buffer) < size {
		// The buffer grows as bytes arrive, so that a header with a large size alone does not allocate memory.
		start := len(buffer)
		buffer = extend(buffer, min(size-start, maxReadStep))
		n, err := io.ReadFull(r, buffer[start:])
		if err != nil {
			return nil, &FrameError{
				Record: "batch",
				Offset: start + n,
				Reason: fmt.Sprintf("input ends inside a frame of %d bytes", size),
			}
		}
	}
	return buffer, nil
}

// readHeader reads the header of a batch and returns the size of the frame, header included.
func readHeader(r io.Reader, header []byte) (size int, err error) {
	n, err := io.ReadFull(r, header)
	if errors.Is(err, io.EOF) {
		return 0, io.EOF
	}
	if err != nil {
		return 0, &FrameError{Record: "batch header", Offset: n, Reason: "input ends inside the header"}
	}
	size = int(binary.BigEndian.Uint32(header[batchSizeOffset:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return 0, &FrameError{
			Record: "batch header",
			Offset: batchSizeOffset,
			Reason: fmt.Sprintf("frame size %d is out of range", size),
		}
	}
	return size, nil
}

// extend returns buffer with n more bytes, whose contents are undefined.
func extend(buffer []byte, n int) []byte {
	length := len(buffer) + n
	if cap(buffer) < length {
		grown := make([]byte, len(buffer), max(length, 2*cap(buffer)))
		copy(grown, buffer)
		buffer = grown
	}
	return buffer[:length]
}
