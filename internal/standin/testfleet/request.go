package testfleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Request is a request of an application, with the headers that the platform requires.
type Request struct {
	ID             string // X-Correlation-Id
	Class          string
	IdempotencyKey string // empty for none
	Path           string // relative to the path of the class
	Body           string // sent with POST; requests of the class "read" are sent with GET and have no body
	TimeLeft       time.Duration
}

var lastRequestID atomic.Uint32

// NewRequestID returns an id that no other request of the process has.
func NewRequestID() string { return fmt.Sprintf("9b1f03aa%08x", lastRequestID.Add(1)) }

// HTTP returns the request as an HTTP request to the server at an address.
func (r Request) HTTP(t testing.TB, address string) *http.Request {
	t.Helper()
	method, body := http.MethodPost, r.Body
	if r.Class == "read" {
		method, body = http.MethodGet, ""
	}
	request, err := http.NewRequest(method, "http://"+address+"/"+r.Class+"/"+r.Path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Correlation-Id", r.ID)
	request.Header.Set("X-Service-Class", r.Class)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(r.TimeLeft.Milliseconds()))
	if r.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	return request
}

// Text returns the request as it is written to a connection to the server at an address.
func (r Request) Text(t testing.TB, address string) string {
	t.Helper()
	return RequestText(t, r.HTTP(t, address))
}

// RequestText returns a request as it is written to a connection.
func RequestText(t testing.TB, request *http.Request) string {
	t.Helper()
	var text strings.Builder
	if err := request.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}
