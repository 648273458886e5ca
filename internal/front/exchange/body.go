package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"pinedale/internal/httpmsg"
	"pinedale/internal/requestmeta"
)

// ErrBusy is the error of ReadBody if the bodies in memory have reached their limit.
var ErrBusy = errors.New("memory limit for request bodies reached")

// bodyTooLarge is the reason for a 413.
var bodyTooLarge = fmt.Sprintf("request body exceeds %d bytes", httpmsg.MaxBodyBytes)

// ReadBody reads a request's body, within its own limit and the limit of all bodies together. The caller
// calls release once the body is no longer needed. Its errors are ErrBusy and *requestmeta.Error.
func (d *Dispatcher) ReadBody(w http.ResponseWriter, in *http.Request) (body []byte, release func(), err error) {
	reserved := int64(httpmsg.MaxBodyBytes)
	if in.ContentLength >= 0 {
		reserved = in.ContentLength
	}
	if reserved > httpmsg.MaxBodyBytes {
		return nil, nil, &requestmeta.Error{Code: http.StatusRequestEntityTooLarge, Reason: bodyTooLarge}
	}
	release = func() { d.bodyBytes.Add(-reserved) }
	if d.bodyBytes.Add(reserved) > d.maxBodyBytes {
		release()
		return nil, nil, ErrBusy
	}
	if body, err = readBody(w, in); err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

// readBody reads a body of known or unknown length. Its errors are *requestmeta.Error.
func readBody(w http.ResponseWriter, in *http.Request) ([]byte, error) {
	if in.ContentLength >= 0 {
		body := make([]byte, in.ContentLength)
		if _, err := io.ReadFull(in.Body, body); err != nil {
			return nil, requestmeta.BadRequest("cannot read the request body")
		}
		return body, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, in.Body, httpmsg.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &requestmeta.Error{Code: http.StatusRequestEntityTooLarge, Reason: bodyTooLarge}
	} else if err != nil {
		return nil, requestmeta.BadRequest("cannot read the request body")
	}
	return body, nil
}
