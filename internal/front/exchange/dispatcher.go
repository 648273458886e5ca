package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/requestmeta"
)

// ErrDisconnected is the error of Dispatch if the client has disconnected and cannot receive a response.
var ErrDisconnected = errors.New("client disconnected")

// responseSlack is how long after a request's deadline the dispatcher responds if the engine has not. The engine's
// own timer fires at the deadline, so this applies only if the engine is late or its queue is full.
const responseSlack = 10 * time.Millisecond

// Dispatcher passes the requests of one front to the engine.
type Dispatcher struct {
	engine   *engine.Engine
	upstream engine.Upstream
	memory   memory
	ids      *requestIDs
}

// New returns a dispatcher whose requests together stay within the limits.
func New(e *engine.Engine, upstream engine.Upstream, limits MemoryLimits, handlers ShortageHandlers) *Dispatcher {
	return &Dispatcher{engine: e, upstream: upstream, memory: newMemory(limits, handlers), ids: newRequestIDs(time.Now)}
}

// LongestDeadline returns the longest client timeout of all classes.
func (d *Dispatcher) LongestDeadline() time.Duration {
	var longest balancer.Micros
	for _, c := range d.engine.Settings().Classes {
		longest = max(longest, c.ClientTimeout)
	}
	return time.Duration(longest) * time.Microsecond
}

// Dispatch submits a request to the engine and returns its one response, at the latest responseSlack after
// the request's deadline. It releases the body once no attempt needs it. The caller calls release once the response has
// been written. Its errors are ErrDisconnected, ErrBusy and *requestmeta.Error.
func (d *Dispatcher) Dispatch(in *http.Request, req requestmeta.Parsed, body Body) (
	response engine.Response, release func(), err error) {
	releaseInFlight, err := d.reserveInFlight(in, req.Deadline)
	if err != nil {
		body.Release()
		return engine.Response{}, func() {}, err
	}
	releaseBody := Body{reservation: body.reservation}.Release // the engine's queue may refer to it for long
	done := func() {
		releaseBody()
		releaseInFlight()
	}
	if err := d.ids.begin(req.CorrelationID).conflict(); err != nil {
		done()
		return engine.Response{}, func() {}, err
	}
	responseMemory := d.memory.responses.NewReservation()
	message := &engine.Message{
		Method:         in.Method,
		URL:            in.URL,
		Host:           in.Host,
		Header:         in.Header,
		Body:           body.bytes,
		ResponseMemory: responseMemory,
		Disconnected:   disconnectCheck(in.Context()),
	}
	response, neverSent, err := d.submit(in, req, message, done)
	if neverSent {
		// The engine's queue may still refer to the message.
		message.Header, message.Body = nil, nil
		done()
	}
	rejected := err == nil && response.Code == http.StatusServiceUnavailable
	idempotent := d.engine.Settings().Classes[req.Class].Idempotency != balancer.NotIdempotent
	d.ids.end(req.CorrelationID, !idempotent && !neverSent && !rejected)
	return response, responseMemory.Free, err
}

// reserveInFlight reserves memory for a request in flight. It waits for a while if that is short. Its errors are
// ErrDisconnected and ErrBusy.
func (d *Dispatcher) reserveInFlight(in *http.Request, deadline balancer.Micros) (release func(), err error) {
	latest := time.Now().Add(maxMemoryWait)
	if end := d.engine.WallTime(deadline); end.Before(latest) {
		latest = end
	}
	waiting, cancel := context.WithDeadline(in.Context(), latest)
	defer cancel()
	release, ok := d.memory.reserveInFlight(waiting, inFlightBytes(in.Header), isFirstRequest(in.Context()))
	switch {
	case ok:
		return release, nil
	case in.Context().Err() != nil:
		return nil, ErrDisconnected
	}
	return nil, ErrBusy
}

// submit submits a request to the engine and waits for its response. neverSent reports that no attempt was made or will
// be; otherwise the engine calls done once it needs the message no more.
func (d *Dispatcher) submit(in *http.Request, req requestmeta.Parsed, message *engine.Message, done func()) (
	response engine.Response, neverSent bool, err error) {
	// waitCtx ends at the latest with this call, and always before the engine is notified of a disconnect.
	waitCtx, cancel := context.WithDeadline(in.Context(), d.engine.WallTime(req.Deadline).Add(responseSlack))
	defer cancel()
	message.Context = waitCtx
	responses := make(chan engine.Response, 1) // capacity 1, so that Respond does not block
	request := &engine.Request{
		ID:      req.CorrelationID,
		Key:     req.IdempotencyKey,
		Respond: func(r engine.Response) { responses <- r },
		Done:    done,
		Carrier: d.upstream.NewCarrier(message),
	}
	submit := func(now balancer.Micros) { d.engine.Submit(now, request, req.Request) }
	if !d.engine.PostArrival(waitCtx.Done(), submit) {
		if in.Context().Err() != nil {
			return engine.Response{}, true, ErrDisconnected
		}
		return engine.Response{Code: http.StatusServiceUnavailable}, true, nil
	}
	select {
	case r := <-responses:
		return r, false, nil
	case <-waitCtx.Done():
	}
	neverSent = request.Withdraw()
	if !neverSent {
		d.notifyDisconnected(request)
	}
	if in.Context().Err() != nil {
		return engine.Response{}, neverSent, ErrDisconnected
	}
	select {
	case r := <-responses: // received just after waitCtx ended
		return r, false, nil
	default:
	}
	if neverSent {
		return engine.Response{Code: http.StatusServiceUnavailable}, true, nil
	}
	return engine.Response{Code: http.StatusBadGateway}, false, nil // an attempt may have run or may still run
}

// notifyDisconnected notifies the engine that the client no longer waits for a request. It does not wait for space in
// the engine's queue.
func (d *Dispatcher) notifyDisconnected(request *engine.Request) {
	event := func(now balancer.Micros) { d.engine.ClientDisconnected(now, request) }
	if !d.engine.TryPost(event) {
		go d.engine.Post(event)
	}
}
