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
	maxAttempts       = 4                     // at an effect
	maxHastyAttempts  = 2                     // that a hasty client gives up early
	minAttemptTime    = 20 * time.Millisecond // left until the deadline for an attempt to be made
	maxRetryAfter     = time.Second           // that a client waits if a response asks it to
	retryJitterMillis = 40                    // upper bound of the random wait before a retry

	// A hasty client gives up after a random fraction of its class's deadline.
	minHastyFraction   = 0.01
	hastyFractionRange = 0.2

	// A retry is sent to an instance that is drawn anew, except for one in sameInstanceRetries.
	sameInstanceRetries = 4
)

// client is a client that requests one effect, in several attempts.
type client struct {
	rig    *rig
	http   *http.Client
	effect *effect
}

// run makes attempts until one succeeds, the deadline is near, or maxAttempts have been made. It records each of them.
func (c *client) run(ctx context.Context) {
	deadline := c.rig.sinceLoadStart() + c.effect.class.deadline
	instance := c.effect.firstInstance
	for number := range maxAttempts {
		if deadline-c.rig.sinceLoadStart() < minAttemptTime {
			return
		}
		result := c.attempt(ctx, number, c.rig.instances[instance].name, deadline)
		if result.succeeded() || ctx.Err() != nil {
			return
		}
		jitter := time.Duration(c.effect.rng.IntN(retryJitterMillis)) * time.Millisecond
		if !ctxtime.Sleep(ctx, result.retryAfter+jitter) {
			return
		}
		if c.effect.rng.IntN(sameInstanceRetries) > 0 {
			instance = c.effect.rng.IntN(len(c.rig.instances))
		}
	}
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome    history.Outcome
	status     int           // of the response, for Answered
	retryAfter time.Duration // that the response asks the client to wait
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
		Requested: c.rig.sinceLoadStart(),
		Deadline:  deadline,
	}
	result := c.send(ctx, &attempt)
	attempt.Ended = c.rig.sinceLoadStart()
	attempt.Outcome = result.outcome
	attempt.Status = result.status
	c.rig.recorder.record(func(h *history.History) { h.Attempts = append(h.Attempts, attempt) })
	return result
}

// send sends the request of an attempt and reads the response.
func (c *client) send(ctx context.Context, attempt *history.Attempt) attemptResult {
	remaining := attempt.Deadline - attempt.Requested
	timeout, timeoutOutcome := remaining+history.UnansweredAfter, history.Unanswered
	if c.effect.hasty && attempt.Number < maxHastyAttempts {
		timeout, timeoutOutcome = c.drawHastyTimeout(), history.Cancelled
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

// drawHastyTimeout draws the time after which a hasty client gives an attempt up.
func (c *client) drawHastyTimeout() time.Duration {
	fraction := minHastyFraction + hastyFractionRange*c.effect.rng.Float64()
	return time.Duration(float64(c.effect.class.deadline) * fraction)
}

// newRequest returns the request of an attempt, of which some time remains until its deadline.
func (c *client) newRequest(
	ctx context.Context, attempt *history.Attempt, remaining time.Duration,
) (*http.Request, error) {
	class := c.effect.class
	method := http.MethodPost
	var body io.Reader = bytes.NewReader([]byte("pay"))
	if class.idempotency == balancer.Idempotent {
		method, body = http.MethodGet, nil
	}
	url := "http://" + c.rig.network.clientAddresses[attempt.Instance] + "/" + class.name + "/x"
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // without it net/http does not retry
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
