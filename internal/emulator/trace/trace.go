// Package trace keeps what was asked, decided and answered in a rehearsal, as lines of
// JSON: a head with the scenario and its seed, one line for each event in its order,
// and an end with their count, without which a trace is not whole.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Version is that of the format.
const Version = 1

// Hosts that a trace may come from.
const (
	Virtual = "virtual"
	Sockets = "sockets"
)

// Header is a trace's first line. The scenario is there as its file's text: a trace
// needs nothing else to be played again.
type Header struct {
	FormatVersion int    `json:"pinedale_trace"` // the format's version
	Host          string `json:"host"`
	Policy        string `json:"policy"`
	Seed          uint64 `json:"seed"`
	Scenario      string `json:"scenario"`
}

// Kinds of events.
const (
	KindRequest    = "ask"    // a client sends a try to an instance
	KindAttempt    = "send"   // the instance sends an attempt to a server
	KindAttemptEnd = "end"    // an attempt ended there, with a status of the decision module
	KindResponse   = "answer" // the try's final answer; 0 if the client went away before it
	KindEndpoint   = "member" // an instance is told of a server: 0 ready, 1 draining, 2 gone
	KindCollapse   = "fall"   // a server fell over
)

// Event is one line. Servers and instances count from 1.
type Event struct {
	At       int64  `json:"t"` // microseconds since the start
	Kind     string `json:"k"`
	Number   uint64 `json:"n,omitempty"` // of the client's wish
	Try      int    `json:"y,omitempty"` // the first is 1
	Attempt  int    `json:"a,omitempty"` // of the try, the first is 1
	Instance int    `json:"i,omitempty"`
	Server   int    `json:"s,omitempty"`
	Class    int    `json:"c,omitempty"`
	Code     int    `json:"r,omitempty"` // of an answer, an end or a member
}

type last struct {
	Events *int `json:"events"`
}

// Writer writes a trace. Its first error is told by Close.
type Writer struct {
	out    *bufio.Writer
	encode *json.Encoder
	count  int
	err    error
}

// NewWriter writes the head.
func NewWriter(out io.Writer, h Header) *Writer {
	w := &Writer{out: bufio.NewWriter(out)}
	w.encode = json.NewEncoder(w.out)
	h.FormatVersion = Version
	w.err = w.encode.Encode(h)
	return w
}

// Write adds an event.
func (w *Writer) Write(e Event) {
	if w.err == nil {
		w.err = w.encode.Encode(e)
		w.count++
	}
}

// Close writes the end. It does not close what it writes to.
func (w *Writer) Close() error {
	if w.err == nil {
		w.err = w.encode.Encode(last{&w.count})
	}
	return errors.Join(w.err, w.out.Flush())
}

// maxLineBytes is the longest line: the head holds a scenario's text, of up to 1 MB, in
// which a character may take six bytes.
const maxLineBytes = 6<<20 + 1<<16

// Reader reads a trace.
type Reader struct {
	Header   Header
	scan     *bufio.Scanner
	line     int
	finished bool
}

// NewReader reads the head.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{scan: bufio.NewScanner(in)}
	r.scan.Buffer(make([]byte, 1<<16), maxLineBytes)
	if err := r.next(&r.Header); errors.Is(err, io.EOF) {
		return nil, errors.New("line 1: the trace is empty")
	} else if err != nil {
		return nil, err
	}
	if r.Header.FormatVersion != Version {
		return nil, fmt.Errorf("line 1: pinedale_trace: %d is not a known version of this format; this program reads %d", r.Header.FormatVersion, Version)
	}
	if r.Header.Host != Virtual && r.Header.Host != Sockets {
		return nil, fmt.Errorf("line 1: host: %q is neither %s nor %s", r.Header.Host, Virtual, Sockets)
	}
	return r, nil
}

func (r *Reader) next(into any) error {
	if !r.scan.Scan() {
		if err := r.scan.Err(); err != nil {
			return fmt.Errorf("line %d: %w", r.line+1, err)
		}
		return io.EOF
	}
	r.line++
	if err := json.Unmarshal(r.scan.Bytes(), into); err != nil {
		return fmt.Errorf("line %d: %w", r.line, err)
	}
	return nil
}

// Line is the number of the line read last.
func (r *Reader) Line() int { return r.line }

// Read returns the next event, io.EOF after the last of a whole trace.
func (r *Reader) Read() (Event, error) {
	if r.finished {
		return Event{}, io.EOF
	}
	var e struct {
		Event
		last
	}
	if err := r.next(&e); errors.Is(err, io.EOF) {
		return Event{}, fmt.Errorf("line %d: the trace ends without its end: it was cut off", r.line+1)
	} else if err != nil {
		return Event{}, err
	}
	if e.Events == nil {
		if e.Kind == "" {
			return Event{}, fmt.Errorf("line %d: k: is missing", r.line)
		}
		return e.Event, nil
	}
	if *e.Events != r.line-2 {
		return Event{}, fmt.Errorf("line %d: events: says %d, %d are there", r.line, *e.Events, r.line-2)
	}
	r.finished = true
	if r.scan.Scan() {
		return Event{}, fmt.Errorf("line %d: something follows the end", r.line+1)
	}
	return Event{}, io.EOF
}
