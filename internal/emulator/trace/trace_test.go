package trace

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

var testHeader = Header{Host: Virtual, Policy: "pinedale", Seed: 7, Scenario: "version = 1\n\"x\""}

var testEvents = []Event{
	{At: 5, Kind: KindRequest, Number: 1, Try: 1, Instance: 2, Class: 1},
	{At: 6, Kind: KindAttempt, Number: 1, Try: 1, Attempt: 1, Instance: 2, Server: 3},
	{At: 9, Kind: KindAttemptEnd, Number: 1, Try: 1, Attempt: 1, Instance: 2, Server: 3, Code: 1},
	{At: 9, Kind: KindResponse, Number: 1, Try: 1, Instance: 2, Code: 502},
}

// readAll reads a complete trace.
func readAll(text string) (Header, []Event, error) {
	reader, err := NewReader(strings.NewReader(text))
	if err != nil {
		return Header{}, nil, err
	}
	var events []Event
	for {
		event, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return reader.Header, events, nil
		}
		if err != nil {
			return reader.Header, events, err
		}
		events = append(events, event)
	}
}

func TestReaderReturnsWhatWriterWrote(t *testing.T) {
	header, events, err := readAll(string(writeTrace(t, testHeader, testEvents)))
	want := testHeader
	want.FormatVersion = Version
	if err != nil || header != want || !reflect.DeepEqual(events, testEvents) {
		t.Errorf("read header %+v, events %+v, error %v\nwant header %+v, events %+v",
			header, events, err, want, testEvents)
	}
}

func TestReaderRepeatsEOF(t *testing.T) {
	reader, err := NewReader(strings.NewReader(string(writeTrace(t, testHeader, nil))))
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := reader.Read(); !errors.Is(err, io.EOF) {
			t.Errorf("error %v, want io.EOF", err)
		}
	}
}

func TestReaderNamesInvalidLine(t *testing.T) {
	valid := string(writeTrace(t, testHeader, testEvents))
	lines := strings.SplitAfter(valid, "\n")
	withoutEvent := strings.Join(lines[:2], "") + strings.Join(lines[3:], "")
	tooLong := strings.Replace(valid, `"t":5`, `"t":`+strings.Repeat("5", maxLineBytes), 1)
	for name, test := range map[string]struct {
		text    string
		want    string
		wantErr error // nil for any
	}{
		"empty":           {"", "line 1: the trace is empty", ErrEmpty},
		"not JSON":        {"hello\n", "line 1:", nil},
		"no version":      {"{}\n", "pinedale_trace: unsupported format version 0", nil},
		"unknown host":    {strings.Replace(valid, Virtual, "moon", 1), "host", nil},
		"truncated line":  {valid[:len(valid)-30], "line 5", nil},
		"no end":          {strings.Join(lines[:5], ""), "line 6: the trace is truncated", ErrTruncated},
		"missing event":   {withoutEvent, "the end line states 4, but 3 were read", nil},
		"data after end":  {valid + lines[1], "line 7: data follows the end", ErrTrailingData},
		"no kind":         {strings.Replace(valid, `"k":"send",`, "", 1), "line 3: k: missing event kind", ErrNoKind},
		"wrong type":      {strings.Replace(valid, `"y":1`, `"y":"one"`, 1), "line 2", nil},
		"line over limit": {tooLong, "line 2", nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := readAll(test.text)
			var lineError *LineError
			if !errors.As(err, &lineError) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want a LineError with %q", err, test.want)
			}
			if test.wantErr != nil && !errors.Is(err, test.wantErr) {
				t.Errorf("error %v, want %v", err, test.wantErr)
			}
		})
	}
}

// errDiskFull is the error returned by failingWriter.
var errDiskFull = errors.New("the disk is full")

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errDiskFull }

func TestCloseReturnsWriteError(t *testing.T) {
	w := NewWriter(failingWriter{}, testHeader)
	for range 10_000 {
		w.Write(testEvents[0])
	}
	if err := w.Close(); !errors.Is(err, errDiskFull) {
		t.Errorf("error %v, want %v", err, errDiskFull)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"pinedale_trace":1,"host":"virtual"}` + "\n" + `{"t":1,"k":"ask"}` + "\n" + `{"events":1}` + "\n")
	f.Add(`{"events":0}`)
	f.Fuzz(func(t *testing.T, text string) {
		if header, _, err := readAll(text); err == nil && header.FormatVersion != Version {
			t.Errorf("a trace with the header %+v was read without an error", header)
		}
	})
}
