package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"pinedale/balancer"
	"pinedale/internal/ctxtime"
	"pinedale/internal/faulttest/history"
)

// The behaviour of clients.
const (
	maxAttempts          = 4                     // at an effect
	maxCancelledAttempts = 2                     // per effect, by a client that cancels early
	minAttemptTime       = 20 * time.Millisecond // no attempt is made if less time is left until the deadline
	maxRetryAfter        = time.Second           // longest wait that a client accepts from a response
	retryJitterMillis    = 40                    // upper bound of the random wait before a retry

	// A client that cancels early does so after a random fraction of its class's deadline.
	minCancelFraction   = 0.01
	cancelFractionRange = 0.2

	// One in sameInstanceRetryOneIn retries is sent to the same instance, the others to an instance drawn at random.
	sameInstanceRetryOneIn = 4
)

// client requests one effect, in up to maxAttempts attempts.
type client struct {
	testRun *testRun
	http    *http.Client
	effect  *effect
}

// run makes attempts until one succeeds, the deadline is near, or maxAttempts have been made. Each attempt is recorded.
func (c *client) run(ctx context.Context) {
	deadline := c.testRun.sinceLoadStart() + c.effect.class.deadline
	instance := c.effect.firstInstance
	for number := range maxAttempts {
		if deadline-c.testRun.sinceLoadStart() < minAttemptTime {
			return
		}
		result := c.attempt(ctx, number, c.testRun.instances[instance].name, deadline)
		if result.succeeded() || ctx.Err() != nil {
			return
		}
		jitter := time.Duration(c.effect.rng.IntN(retryJitterMillis)) * time.Millisecond
		if !ctxtime.Sleep(ctx, result.retryAfter+jitter) {
			return
		}
		if c.effect.rng.IntN(sameInstanceRetryOneIn) > 0 {
			instance = c.effect.rng.IntN(len(c.testRun.instances))
		}
	}
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome    history.Outcome
	status     int           // of the response, for Answered
	retryAfter time.Duration // how long the response asks the client to wait
}

// succeeded reports whether the attempt was answered with success.
func (r attemptResult) succeeded() bool {
	return r.outcome == history.Answered && r.status == http.StatusOK
}

// attempt makes one attempt at an instance and records it.
func (c *client) attempt(ctx context.Context, number int, instance string, deadline time.Duration) attemptResult {
	attempt := history.Attempt{
		Effect:    c.effect.key,
		Class:     c.effect.class.name,
		HasKey:    c.effect.class.hasKey(),
		Number:    number,
		Instance:  instance,
		Requested: c.testRun.sinceLoadStart(),
		Deadline:  deadline,
	}
	result := c.send(ctx, &attempt)
	attempt.Ended = c.testRun.sinceLoadStart()
	attempt.Outcome = result.outcome
	attempt.Status = result.status
	c.testRun.recorder.record(func(h *history.History) { h.Attempts = append(h.Attempts, attempt) })
	return result
}

// send sends the request of an attempt and reads the response.
func (c *client) send(ctx context.Context, attempt *history.Attempt) attemptResult {
	remaining := attempt.Deadline - attempt.Requested
	timeout, timeoutOutcome := remaining+history.UnansweredAfter, history.Unanswered
	if c.effect.cancelsEarly && attempt.Number < maxCancelledAttempts {
		timeout, timeoutOutcome = c.drawCancelTimeout(), history.Cancelled
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.newRequest(ctx, attempt, remaining)
	if err != nil {
		return attemptResult{outcome: history.Broken}
	}
	response, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	switch {
	case err == nil:
		return attemptResult{
			outcome:    history.Answered,
			status:     response.StatusCode,
			retryAfter: retryAfter(response),
		}
	case ctx.Err() != nil:
		return attemptResult{outcome: timeoutOutcome}
	default:
		return attemptResult{outcome: history.Broken}
	}
}

// drawCancelTimeout draws the time after which a client cancels an attempt early.
func (c *client) drawCancelTimeout() time.Duration {
	fraction := minCancelFraction + cancelFractionRange*c.effect.rng.Float64()
	return time.Duration(float64(c.effect.class.deadline) * fraction)
}

// newRequest returns the request of an attempt. remaining is the time left until the deadline.
func (c *client) newRequest(
	ctx context.Context, attempt *history.Attempt, remaining time.Duration,
) (*http.Request, error) {
	class := c.effect.class
	method := http.MethodPost
	var body io.Reader = bytes.NewReader([]byte("pay"))
	if class.idempotency == balancer.Idempotent {
		method, body = http.MethodGet, nil
	}
	url := "http://" + c.testRun.network.clientAddresses[attempt.Instance] + "/" + class.name + "/x"
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // keeps net/http from retrying the request
	request.Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d", c.effect.key, attempt.Number))
	request.Header.Set("X-Service-Class", class.name)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(remaining.Milliseconds()))
	if class.hasKey() {
		request.Header.Set("Idempotency-Key", c.effect.key)
	}
	return request, nil
}

// retryAfter returns how long a response asks the client to wait, at most maxRetryAfter.
func retryAfter(response *http.Response) time.Duration {
	wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return min(wait, maxRetryAfter)
}
