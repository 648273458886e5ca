package httpmsg

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	_ "pinedale/internal/standin/seeds"
)

// A body is read unchanged, whatever its length, the pieces in which it comes and the steps in which its memory grows,
// and never with more memory than grow has granted.
func TestReadBodyReadsWithinItsMemory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(0, 3_000), rapid.IntRange(MaxBodyBytes-2, MaxBodyBytes+2)).Draw(r, "size")
		sent := bytes.Repeat([]byte("b"), size)
		var reader io.Reader = bytes.NewReader(sent)
		if rapid.Bool().Draw(r, "small pieces") {
			reader = iotest.HalfReader(reader)
		}
		length := int64(size)
		if rapid.Bool().Draw(r, "unknown length") {
			length = -1
		}
		first := rapid.IntRange(0, 2_000).Draw(r, "first")
		granted := first
		got, err := ReadBody(reader, length, first, func(capacity, limit int) (int, error) {
			granted = min(max(2*capacity, 512), limit)
			return granted, nil
		})
		if size > MaxBodyBytes {
			if !errors.Is(err, ErrBodyTooLarge) {
				r.Fatalf("a body of %d bytes: error %v, want %v", size, err, ErrBodyTooLarge)
			}
			return
		}
		if err != nil || !bytes.Equal(got, sent) {
			r.Fatalf("read %d of %d bytes, error %v", len(got), size, err)
		}
		if cap(got) > granted {
			r.Fatalf("capacity %d, granted %d", cap(got), granted)
		}
	})
}

func TestReadBodyReportsItsErrors(t *testing.T) {
	errMemory, errRead := errors.New("no memory"), errors.New("reset")
	double := func(capacity, limit int) (int, error) { return min(2*capacity, limit), nil }
	for name, test := range map[string]struct {
		body   io.Reader
		length int64
		grow   func(int, int) (int, error)
		want   error
	}{
		"ends early":      {bytes.NewReader(make([]byte, 9)), 10, double, io.ErrUnexpectedEOF},
		"stated too long": {bytes.NewReader(nil), MaxBodyBytes + 1, double, ErrBodyTooLarge},
		"read error":      {iotest.ErrReader(errRead), 10, double, errRead},
		"no memory": {bytes.NewReader(make([]byte, 10)), 10, func(int, int) (int, error) { return 0, errMemory },
			errMemory},
	} {
		if _, err := ReadBody(test.body, test.length, 4, test.grow); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", name, err, test.want)
		}
	}
}
