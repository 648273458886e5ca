package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Errors for an invalid trace. A LineError wraps each of them.
var (
	ErrEmpty        = errors.New("the trace is empty")
	ErrTruncated    = errors.New("the trace is truncated: its end line is missing")
	ErrTrailingData = errors.New("data follows the end of the trace")
	ErrNoKind       = errors.New("k: missing event kind")
)

// LineError is an error in one line of a trace.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

const (
	// maxLineBytes limits the length of a line. The header holds the text of a scenario of up to 1 MB, and JSON may
	// encode a character in six bytes.
	maxLineBytes = 6<<20 + 1<<16
	// initialBufferBytes is the initial size of a reader's buffer, which grows for longer lines.
	initialBufferBytes = 1 << 16
)

// Reader reads a trace.
type Reader struct {
	Header   Header
	scanner  *bufio.Scanner
	line     int // number of the last line read
	events   int // read so far
	finished bool
}

// NewReader returns a reader that has read and checked the header.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{scanner: bufio.NewScanner(in)}
	r.scanner.Buffer(make([]byte, initialBufferBytes), maxLineBytes)
	err := r.readLine(&r.Header)
	if errors.Is(err, io.EOF) {
		return nil, &LineError{Line: 1, Err: ErrEmpty}
	}
	if err != nil {
		return nil, err
	}
	if err := r.Header.validate(); err != nil {
		return nil, &LineError{Line: r.line, Err: err}
	}
	return r, nil
}

// validate checks the format version and the host.
func (h *Header) validate() error {
	if h.FormatVersion != Version {
		return fmt.Errorf("pinedale_trace: unsupported format version %d; this program reads version %d",
			h.FormatVersion, Version)
	}
	if h.Host != Virtual && h.Host != Sockets {
		return fmt.Errorf("host: %q is neither %s nor %s", h.Host, Virtual, Sockets)
	}
	return nil
}

// readLine decodes the next line. It returns io.EOF at the end of the input and a *LineError for an invalid line.
func (r *Reader) readLine(into any) error {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return &LineError{Line: r.line + 1, Err: err}
		}
		return io.EOF
	}
	r.line++
	if err := json.Unmarshal(r.scanner.Bytes(), into); err != nil {
		return &LineError{Line: r.line, Err: err}
	}
	return nil
}

// Line returns the number of the last line read.
func (r *Reader) Line() int { return r.line }

// Read returns the next event, and io.EOF after the last one of a complete trace.
func (r *Reader) Read() (Event, error) {
	if r.finished {
		return Event{}, io.EOF
	}
	var line struct {
		Event
		end
	}
	err := r.readLine(&line)
	switch {
	case errors.Is(err, io.EOF):
		return Event{}, &LineError{Line: r.line + 1, Err: ErrTruncated}
	case err != nil:
		return Event{}, err
	case line.Events != nil:
		return Event{}, r.finish(*line.Events)
	case line.Kind == "":
		return Event{}, &LineError{Line: r.line, Err: ErrNoKind}
	}
	r.events++
	return line.Event, nil
}

// finish checks the end line, which states the number of events. It returns io.EOF for a complete trace.
func (r *Reader) finish(stated int) error {
	if stated != r.events {
		return &LineError{Line: r.line, Err: fmt.Errorf("events: the end line states %d, but %d were read",
			stated, r.events)}
	}
	r.finished = true
	if r.scanner.Scan() {
		return &LineError{Line: r.line + 1, Err: ErrTrailingData}
	}
	return io.EOF
}
