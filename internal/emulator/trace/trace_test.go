package trace

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

var head = Header{Host: Virtual, Policy: "pinedale", Seed: 7, Scenario: "version = 1\n\"x\""}

var events = []Event{{At: 5, Kind: KindRequest, Number: 1, Try: 1, Instance: 2, Class: 1}, {At: 6, Kind: KindAttempt, Number: 1, Try: 1, Attempt: 1, Instance: 2, Server: 3},
	{At: 9, Kind: KindAttemptEnd, Number: 1, Try: 1, Attempt: 1, Instance: 2, Server: 3, Code: 1}, {At: 9, Kind: KindResponse, Number: 1, Try: 1, Instance: 2, Code: 502}}

func written(t *testing.T) string {
	t.Helper()
	var b bytes.Buffer
	w := NewWriter(&b, head)
	for _, e := range events {
		w.Write(e)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// read reads a whole trace.
func read(text string) (h Header, all []Event, err error) {
	r, err := NewReader(strings.NewReader(text))
	if err != nil {
		return h, nil, err
	}
	for {
		e, err := r.Read()
		if errors.Is(err, io.EOF) {
			return r.Header, all, nil
		} else if err != nil {
			return r.Header, all, err
		}
		all = append(all, e)
	}
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	h, all, err := read(written(t))
	want := head
	want.FormatVersion = Version
	if err != nil || h != want || !reflect.DeepEqual(all, events) {
		t.Errorf("%+v, %+v, %v", h, all, err)
	}
}

func TestFaults(t *testing.T) {
	good := written(t)
	lines := strings.SplitAfter(good, "\n")
	for name, c := range map[string]struct{ text, says string }{
		"empty":          {"", "line 1: the trace is empty"},
		"not JSON":       {"hello\n", "line 1:"},
		"of no version":  {"{}\n", "pinedale_trace: 0"},
		"of no host":     {strings.Replace(good, Virtual, "moon", 1), "host"},
		"cut in a line":  {good[:len(good)-30], "line 5"},
		"without end":    {strings.Join(lines[:5], ""), "line 6: the trace ends without its end"},
		"a line less":    {strings.Join(append(append([]string{}, lines[:2]...), lines[3:]...), ""), "says 4, 3 are there"},
		"more after it":  {good + lines[1], "something follows"},
		"of no kind":     {strings.Replace(good, `"k":"send",`, "", 1), "line 3: k: is missing"},
		"a wrong type":   {strings.Replace(good, `"y":1`, `"y":"one"`, 1), "line 2"},
		"an endless one": {strings.Replace(good, `"t":5`, `"t":`+strings.Repeat("5", maxLineBytes), 1), "line 2"},
	} {
		if _, _, err := read(c.text); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", name, err, c.says)
		}
	}
}

type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("the disk is full") }

func TestWriteFails(t *testing.T) {
	w := NewWriter(failing{}, head)
	for range 10_000 {
		w.Write(events[0])
	}
	if err := w.Close(); err == nil {
		t.Error("a full disk goes unnoticed")
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"pinedale_trace":1,"host":"virtual"}` + "\n" + `{"t":1,"k":"ask"}` + "\n" + `{"events":1}` + "\n")
	f.Add(`{"events":0}`)
	f.Fuzz(func(t *testing.T, text string) {
		if h, _, err := read(text); err == nil && h.FormatVersion != Version {
			t.Errorf("read with head %+v", h)
		}
	})
}
