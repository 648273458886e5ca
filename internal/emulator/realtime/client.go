package realtime

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/ctxtime"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/trace"
)

// lateResponseTolerance is how long after its timeout a client still waits for the response. Instances respond by the
// timeout, but scheduling and loopback delays of the machine can make the response arrive later.
const lateResponseTolerance = 250 * time.Millisecond

// Headers of client requests.
const (
	headerID             = "X-Correlation-Id"
	headerClass          = "X-Service-Class"
	headerTenant         = "X-Account"
	headerRemainingTime  = "X-Time-Left-Ms"
	headerWorkHint       = "X-Weight-Hint"
	headerIdempotencyKey = "Idempotency-Key"
	headerAffinityKey    = "X-Session-Key"
	headerRetry          = "X-Repeat"
)

// response is the end of a client attempt.
type response struct {
	code       int
	retryAfter time.Duration
	missing    bool // no complete response arrived in time
}

// runClients sends the requests of the workload, each from a goroutine of its own.
func (r *runner) runClients(ctx context.Context) {
	workload := r.scenario.Workload()
	nextProgress := time.Duration(0)
	for request, ok := workload.Next(); ok; request, ok = workload.Next() {
		if !ctxtime.Sleep(ctx, request.At-r.now()) {
			break
		}
		r.tasks.Go(func() { r.runRequest(ctx, request) })
		if request.At >= nextProgress {
			r.reportProgress(request.At)
			nextProgress += time.Second
		}
	}
	r.reportProgress(r.scenario.Length)
}

func (r *runner) reportProgress(at plan.Time) {
	if r.options.OnProgress != nil {
		r.options.OnProgress(at)
	}
}

// runRequest makes the client attempts of a request, one after the other.
func (r *runner) runRequest(ctx context.Context, request *plan.Request) {
	for {
		id := r.beginAttempt(request)
		outcome := r.send(ctx, request, id)
		wait, retry := r.endAttempt(request, outcome)
		if !retry || !ctxtime.Sleep(ctx, wait) {
			return
		}
	}
}

// beginAttempt counts a client attempt and returns its ID.
func (r *runner) beginAttempt(request *plan.Request) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.ClientAttempts++
	r.result.ClientAttempts++
	id := fmt.Sprintf("t%d-%d", request.Number, request.ClientAttempts)
	r.requests[id] = request
	r.emit(trace.Event{
		Kind:     trace.KindRequest,
		Number:   request.Number,
		Try:      request.ClientAttempts,
		Instance: request.Instance + 1,
		Class:    request.Class + 1,
	})
	return id
}

// endAttempt counts the end of a client attempt and returns whether the client retries it, and after which wait.
func (r *runner) endAttempt(request *plan.Request, outcome response) (wait time.Duration, retry bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome.missing {
		r.result.Unanswered++
	}
	r.emit(trace.Event{
		Kind:     trace.KindResponse,
		Number:   request.Number,
		Try:      request.ClientAttempts,
		Instance: request.Instance + 1,
		Code:     outcome.code,
	})
	now := r.now()
	wait, retry = r.scenario.Retry(request, outcome.code, outcome.retryAfter, now)
	if !retry {
		r.result.RecordOutcome(r.scenario, request, outcome.code, now)
	}
	return wait, retry
}

// send sends a client attempt to its instance and waits for the response.
func (r *runner) send(ctx context.Context, request *plan.Request, id string) response {
	timeout := r.scenario.AttemptTimeout(request)
	wait := timeout + lateResponseTolerance
	abandonAfter := r.scenario.Clients.AbandonAfter
	abandons := abandonAfter > 0 && abandonAfter <= wait
	if abandons {
		wait = abandonAfter
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	httpRequest, err := r.newHTTPRequest(ctx, request, id, timeout)
	if err != nil {
		return response{code: plan.CodeDisconnected, missing: true}
	}
	httpResponse, err := r.client.Do(httpRequest)
	if err != nil {
		abandoned := abandons && errors.Is(err, context.DeadlineExceeded)
		return response{code: plan.CodeDisconnected, missing: !abandoned}
	}
	defer httpResponse.Body.Close()
	if _, err := io.Copy(io.Discard, httpResponse.Body); err != nil {
		return response{code: plan.CodeDisconnected, missing: true}
	}
	return response{code: httpResponse.StatusCode, retryAfter: parseRetryAfter(httpResponse.Header)}
}

// newHTTPRequest returns the HTTP request of a client attempt.
func (r *runner) newHTTPRequest(
	ctx context.Context, request *plan.Request, id string, timeout time.Duration,
) (*http.Request, error) {
	class := &r.scenario.Classes[request.Class]
	method := http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	url := r.instances[request.Instance].url + "/" + class.Name + "/x"
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set(headerID, id)
	httpRequest.Header.Set(headerClass, class.Name)
	httpRequest.Header.Set(headerRemainingTime, strconv.FormatInt(timeout.Milliseconds(), 10))
	httpRequest.Header.Set(headerWorkHint, strconv.FormatInt(request.WorkHint, 10))
	if request.Key != "" {
		httpRequest.Header.Set(headerIdempotencyKey, request.Key)
	}
	if request.AffinityKey > 0 {
		httpRequest.Header.Set(headerAffinityKey, fmt.Sprint("s", request.AffinityKey))
	}
	if request.ClientAttempts > 1 {
		httpRequest.Header.Set(headerRetry, "1")
	}
	if len(r.scenario.Tenants) > 0 {
		httpRequest.Header.Set(headerTenant, r.scenario.Tenants[request.Tenant].Name)
	}
	return httpRequest, nil
}

// parseRetryAfter returns the delay in the Retry-After header of a response, or 0 if there is none.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get("Retry-After")), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
