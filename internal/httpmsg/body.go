package httpmsg

import (
	"errors"
	"io"
)

// ErrBodyTooLarge is the error for a body of more than MaxBodyBytes.
var ErrBodyTooLarge = errors.New("body too large")

// unknownLengthLimit is the capacity at which a body of unknown length is known to be too large.
const unknownLengthLimit = MaxBodyBytes + 1

// ReadBody reads a body to its end. length is its length, or negative if it is unknown. Before the body needs more
// memory than first bytes, and whenever it needs more than it has, grow is called with the present capacity and the
// largest that may be needed; it returns the next capacity, once that much memory may be used, or an error.
func ReadBody(body io.Reader, length int64, first int, grow func(capacity, limit int) (int, error)) ([]byte, error) {
	if length > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	limit := unknownLengthLimit
	if length >= 0 {
		limit = int(length)
	}
	data := make([]byte, 0, min(first, limit))
	for {
		if len(data) == limit {
			return endOfBody(data, length)
		}
		if len(data) == cap(data) {
			capacity, err := grow(cap(data), limit)
			if err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, capacity), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && (length < 0 || len(data) == limit):
			return endOfBody(data, length)
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

// endOfBody returns a body that has been read to its end or limit.
func endOfBody(data []byte, length int64) ([]byte, error) {
	if length < 0 && len(data) > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	return data, nil
}
