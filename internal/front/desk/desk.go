// Package desk is what all HTTP fronts do with a request, whatever carries it: bodies
// are bounded, an id is open once, the engine gets the request, and its answer is
// written.
package desk

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
	"pinedale/internal/intake"
)

// BusyRetry is the wait told to clients that find all room for bodies in use.
const BusyRetry = time.Second

// What ends a request without an answer of the engine's, beside what is an
// *intake.Error.
var (
	ErrBusy = errors.New("all room for bodies is in use")
	ErrGone = errors.New("the client has gone")
)

var tooLarge = fmt.Sprintf("the body is over %d bytes", httpmsg.BodyMost)

// Desk takes requests for one front.
type Desk struct {
	engine *engine.Engine
	up     engine.Upstream
	bytes  int64        // of bodies in hand, at most
	bodies atomic.Int64 // and as they are

	mu  sync.Mutex
	ids map[string]bool // X-Correlation-Id of the requests in hand
}

// New returns a desk whose requests may hold so many bytes of bodies together.
func New(e *engine.Engine, up engine.Upstream, bytes int64) *Desk {
	return &Desk{engine: e, up: up, bytes: bytes, ids: map[string]bool{}}
}

// Body reads a request's body, within its limit and that of all together. release gives
// its room back. Its errors are ErrBusy and *intake.Error.
func (d *Desk) Body(w http.ResponseWriter, in *http.Request) (body []byte, release func(), err error) {
	held := int64(httpmsg.BodyMost)
	if in.ContentLength >= 0 {
		held = in.ContentLength
	}
	if held > httpmsg.BodyMost {
		return nil, nil, &intake.Error{Code: http.StatusRequestEntityTooLarge, Reason: tooLarge}
	}
	release = func() { d.bodies.Add(-held) }
	if d.bodies.Add(held) > d.bytes {
		release()
		return nil, nil, ErrBusy
	}
	if body, err = read(w, in); err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

func read(w http.ResponseWriter, in *http.Request) ([]byte, error) {
	if in.ContentLength >= 0 {
		body := make([]byte, in.ContentLength)
		if _, err := io.ReadFull(in.Body, body); err != nil {
			return nil, intake.Bad("the body could not be read")
		}
		return body, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, in.Body, httpmsg.BodyMost))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &intake.Error{Code: http.StatusRequestEntityTooLarge, Reason: tooLarge}
	} else if err != nil {
		return nil, intake.Bad("the body could not be read")
	}
	return body, nil
}

// overdue is how long after its time a request is answered here if the engine has not: its
// own timer for that instant comes first, unless its turn is late or its queue full.
const overdue = 10 * time.Millisecond

// Ask passes a request to the engine and returns its one final answer. Its errors are
// ErrGone and *intake.Error.
func (d *Desk) Ask(in *http.Request, req intake.Parsed, body []byte) (engine.Response, error) {
	id := req.CorrelationID
	d.mu.Lock()
	open := d.ids[id]
	d.ids[id] = true
	d.mu.Unlock()
	if open {
		return engine.Response{}, &intake.Error{Code: http.StatusConflict, Reason: "a request with this X-Correlation-Id is open"}
	}
	defer func() {
		d.mu.Lock()
		delete(d.ids, id)
		d.mu.Unlock()
	}()
	// It ends with this call, and so before the engine hears that the client has left.
	wanted, over := context.WithDeadline(in.Context(), d.engine.WallTime(req.Deadline).Add(overdue))
	defer over()
	answer := make(chan engine.Response, 1)
	r := &engine.Request{Key: req.IdempotencyKey, Respond: func(a engine.Response) { answer <- a }, // it has room for the one
		Carrier: d.up.NewCarrier(&engine.Message{Method: in.Method, URL: in.URL, Host: in.Host, Header: in.Header, Body: body, Context: wanted})}
	if !d.engine.PostUntil(wanted.Done(), func(now balancer.Micros) { d.engine.Submit(now, r, req.Request) }) {
		if in.Context().Err() != nil {
			return engine.Response{}, ErrGone
		}
		return engine.Response{Code: http.StatusServiceUnavailable}, nil // it was never sent
	}
	select {
	case a := <-answer:
		return a, nil
	case <-wanted.Done():
	}
	gone := func(now balancer.Micros) { d.engine.ClientDisconnected(now, r) }
	if !d.engine.TryPost(gone) {
		go d.engine.Post(gone) // an answer does not wait for room
	}
	if in.Context().Err() != nil {
		return engine.Response{}, ErrGone
	}
	select {
	case a := <-answer: // in this very moment
		return a, nil
	default:
		return engine.Response{Code: http.StatusBadGateway}, nil // an attempt may have run, or may yet
	}
}

// Write writes a final answer.
func Write(w http.ResponseWriter, a engine.Response) {
	httpmsg.EndToEnd(w.Header(), a.Header)
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.RetryAfter)/1e6, 'f', 3, 64))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Code)
	_, _ = w.Write(a.Body) // a client that is gone by now needs no answer
}

// WriteError writes what a client did wrong.
func WriteError(w http.ResponseWriter, err error) {
	text := err.Error() + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(intake.Code(err))
	_, _ = io.WriteString(w, text) // likewise
}

// WriteBusy refuses a request that found no room.
func WriteBusy(w http.ResponseWriter) {
	Write(w, engine.Response{Code: http.StatusServiceUnavailable, RetryAfter: BusyRetry.Microseconds()})
}
