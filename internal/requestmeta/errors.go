package requestmeta

import (
	"errors"
	"fmt"
	"net/http"
)

// Error is the reason why a request is rejected.
type Error struct {
	Code   int    // HTTP status
	Reason string // body of the response
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

// BadRequest returns an *Error with status 400.
func BadRequest(format string, args ...any) error {
	return &Error{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// StatusCode returns the HTTP status for an error: that of an *Error, otherwise 400.
func StatusCode(err error) int {
	var rejection *Error
	if errors.As(err, &rejection) {
		return rejection.Code
	}
	return http.StatusBadRequest
}
