package exchange

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
	"pinedale/internal/requestmeta"
)

// busyRetryAfter is the Retry-After of a request that is rejected because a memory limit is reached.
const busyRetryAfter = time.Second

// microsPerSecond converts engine.Response.RetryAfter.
const microsPerSecond = 1e6

// WriteResponse writes the engine's response to the client, with its end-to-end headers only.
func WriteResponse(w http.ResponseWriter, r engine.Response) {
	httpmsg.CopyEndToEnd(w.Header(), r.Header)
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(r.RetryAfter)/microsPerSecond, 'f', 3, 64))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(r.Code)
	_, _ = w.Write(r.Body) // a client that has disconnected needs no response
}

// ReadinessPath is the path that the fronts answer themselves, with WriteReadiness.
const ReadinessPath = "/health/ready"

// WriteReadiness writes 200 if requests can be served, 503 while the front drains or no endpoint is known.
func (d *Dispatcher) WriteReadiness(w http.ResponseWriter, draining bool) {
	if draining || !d.engine.HasEndpoints() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// WriteError rejects an invalid request, with the reason as the body.
func WriteError(w http.ResponseWriter, err error) {
	text := err.Error() + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(requestmeta.StatusCode(err))
	_, _ = io.WriteString(w, text) // a client that has disconnected needs no response
}

// WriteBusy rejects a request after ErrBusy.
func WriteBusy(w http.ResponseWriter) {
	WriteResponse(w, engine.Response{Code: http.StatusServiceUnavailable, RetryAfter: busyRetryAfter.Microseconds()})
}
