package exchange

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"pinedale/internal/httpmsg"
	"pinedale/internal/membudget"
	"pinedale/internal/requestmeta"
)

const (
	// unreservedBodyBytes is the length up to which a request's body counts as part of its connection: requests of this
	// size are served however much memory other clients hold.
	unreservedBodyBytes = 1 << 10
	// bodyGrowth is the factor by which the memory of a body grows while it is being received.
	bodyGrowth = 8
	// maxMemoryWait is how long a request waits for memory, once while it is being received and once afterwards.
	maxMemoryWait = 200 * time.Millisecond
)

// ErrBusy is the error for a request for which there is no memory. It has not been sent.
var ErrBusy = errors.New("memory limit for requests reached")

// bodyTooLarge is the reason for a 413.
var bodyTooLarge = fmt.Sprintf("request body exceeds %d bytes", httpmsg.MaxBodyBytes)

// RequestMemory returns a reservation of memory for a request that is being received.
func (d *Dispatcher) RequestMemory() *membudget.Reservation {
	return d.memory.requests.NewReservation()
}

// GrowRequest makes the reservation of a request that is being received hold size bytes. It waits for a while if they
// are not available, and returns false if they do not become so.
func GrowRequest(reservation *membudget.Reservation, size int64) bool {
	if reservation.TryGrow(size) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxMemoryWait)
	defer cancel()
	return reservation.Grow(ctx, size)
}

// Body is the body of a request, with the memory that is reserved for it.
type Body struct {
	bytes       []byte
	reservation *membudget.Reservation
}

// Release gives the memory of a body back that is not needed any more. It may be called more than once.
func (b Body) Release() {
	if b.reservation != nil {
		b.reservation.Free()
	}
}

// ReadBody reads a request's body, within its own limit and that of all requests together. The caller releases the
// body, or passes it to Dispatch. Its errors are ErrBusy and *requestmeta.Error.
func (d *Dispatcher) ReadBody(in *http.Request) (Body, error) {
	if in.ContentLength-unreservedBodyBytes > d.memory.requests.Size() && in.ContentLength <= httpmsg.MaxBodyBytes {
		return Body{}, ErrBusy
	}
	reservation := d.RequestMemory()
	bytes, err := httpmsg.ReadBody(in.Body, in.ContentLength, unreservedBodyBytes, func(capacity, limit int) (int, error) {
		next := min(bodyGrowth*capacity, limit)
		if !GrowRequest(reservation, int64(next-unreservedBodyBytes)) {
			return 0, ErrBusy
		}
		return next, nil
	})
	if err != nil {
		reservation.Free()
		return Body{}, bodyError(err)
	}
	return Body{bytes, reservation}, nil
}

// bodyError returns the error of ReadBody for one of httpmsg.ReadBody.
func bodyError(err error) error {
	switch {
	case errors.Is(err, ErrBusy):
		return ErrBusy
	case errors.Is(err, httpmsg.ErrBodyTooLarge):
		return &requestmeta.Error{Code: http.StatusRequestEntityTooLarge, Reason: bodyTooLarge}
	}
	return requestmeta.BadRequest("cannot read the request body")
}
