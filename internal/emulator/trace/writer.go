package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
)

// Writer writes a trace. Close returns the first error of all calls.
type Writer struct {
	out     *bufio.Writer
	encoder *json.Encoder
	events  int
	err     error
}

// NewWriter returns a writer that has written the header.
func NewWriter(out io.Writer, header Header) *Writer {
	buffered := bufio.NewWriter(out)
	w := &Writer{out: buffered, encoder: json.NewEncoder(buffered)}
	header.FormatVersion = Version
	w.err = w.encoder.Encode(header)
	return w
}

// Write appends an event to the trace. Close returns the first error.
func (w *Writer) Write(event Event) {
	if w.err != nil {
		return
	}
	w.err = w.encoder.Encode(event)
	w.events++
}

// Close writes the end line and flushes the buffer. It does not close the underlying writer.
func (w *Writer) Close() error {
	if w.err == nil {
		w.err = w.encoder.Encode(end{Events: &w.events})
	}
	return errors.Join(w.err, w.out.Flush())
}
