package faulttest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pinedale/balancer"
	"pinedale/internal/faulttest/history"
)

// The behaviour of clients.
const (
	maxAttempts       = 4                     // at an effect
	hastyAttempts     = 2                     // that a hasty client may give up early
	minTimeout        = 20 * time.Millisecond // with less left a client asks no more
	maxRetryAfter     = time.Second           // that a client waits if the answer asks it to
	retryJitterMillis = 40                    // at most, before a retry
)

// effect is what a client wants done.
type effect struct {
	key   string
	class *class
	first int // number of the instance that the client asks first
	rng   *rand.Rand
	hasty bool // gives its first attempts up early, as clients do whose user taps again
}

// load asks for effects from the seed until the length is over, and waits for the last.
func (r *rig) load(ctx context.Context) {
	s := r.options.Schedule
	rng := rand.New(rand.NewPCG(s.Seed, 11))
	// A connection for each request: one that is kept may be closed while a request comes on it,
	// which clients would have to tell from a loss.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var all sync.WaitGroup
	defer all.Wait()
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= time.Duration(s.LoadDuration) {
			return
		}
		e := drawEffect(rng, s.Seed, n, s.Instances)
		if !sleep(ctx, r.until(at)) {
			return
		}
		all.Go(func() { r.runClient(ctx, client, e) })
	}
}

// drawEffect draws the nth effect. The order of its draws is part of what a seed means.
func drawEffect(rng *rand.Rand, seed uint64, n, instances int) *effect {
	e := &effect{
		key:   fmt.Sprintf("e-%d-%d", seed, n),
		first: rng.IntN(instances),
		rng:   rand.New(rand.NewPCG(seed, uint64(n)+100)),
		hasty: rng.IntN(4) == 0,
	}
	draw := rng.Float64()
	for i := range classes {
		if e.class = &classes[i]; draw < e.class.share {
			break
		}
		draw -= e.class.share
	}
	return e
}

// runClient has one client ask for its effect: up to maxAttempts times, giving up after a fifth of its
// patience at most if it is hasty, and at another instance more often than not.
func (r *rig) runClient(ctx context.Context, c *http.Client, e *effect) {
	deadline := r.sinceStart() + e.class.patience
	instance := e.first
	for n := range maxAttempts {
		remaining := deadline - r.sinceStart()
		if remaining < minTimeout {
			return
		}
		t := history.Attempt{
			Effect:    e.key,
			Class:     e.class.name,
			HasKey:    e.class.repeat == balancer.IdempotentWithKey,
			Number:    n,
			Instance:  r.instances[instance].name,
			Requested: r.sinceStart(),
			Deadline:  deadline,
		}
		var giveUp time.Duration
		if e.hasty && n < hastyAttempts {
			giveUp = time.Duration(float64(e.class.patience) * (0.01 + 0.2*e.rng.Float64()))
		}
		retryAfter := r.attempt(ctx, c, e, &t, remaining, giveUp)
		t.Ended = r.sinceStart()
		r.recorder.record(func(h *history.History) { h.Attempts = append(h.Attempts, t) })
		if t.Outcome == history.Answered && t.Status == http.StatusOK || ctx.Err() != nil {
			return
		}
		if !sleep(ctx, retryAfter+time.Duration(e.rng.IntN(retryJitterMillis))*time.Millisecond) {
			return
		}
		if e.rng.IntN(4) > 0 {
			instance = e.rng.IntN(len(r.instances))
		}
	}
}

// attempt asks once, gives up after giveUp unless that is 0, and sets what became of it. It returns how
// long the answer wants the client to wait.
func (r *rig) attempt(ctx context.Context, c *http.Client, e *effect, t *history.Attempt, remaining, giveUp time.Duration) time.Duration {
	timeout, onTimeout := remaining+history.UnansweredAfter, history.Unanswered
	if giveUp > 0 {
		timeout, onTimeout = giveUp, history.Cancelled
	}
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	request, err := r.newRequest(ctx, e, t, remaining)
	if err != nil {
		t.Outcome = history.Broken
		return 0
	}
	response, err := c.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	switch {
	case err == nil:
		t.Outcome, t.Status = history.Answered, response.StatusCode
		return retryAfter(response)
	case ctx.Err() != nil:
		t.Outcome = onTimeout
	default:
		t.Outcome = history.Broken
	}
	return 0
}

// newRequest makes the request of an attempt.
func (r *rig) newRequest(ctx context.Context, e *effect, t *history.Attempt, remaining time.Duration) (*http.Request, error) {
	method, body := http.MethodPost, io.Reader(bytes.NewReader([]byte("pay")))
	if e.class.repeat == balancer.Idempotent {
		method, body = http.MethodGet, nil
	}
	url := "http://" + r.network.fronts[t.Instance] + "/" + e.class.name + "/x"
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // the client library must not send again by itself
	request.Header.Set("X-Correlation-Id", fmt.Sprintf("%s-%d", e.key, t.Number))
	request.Header.Set("X-Service-Class", e.class.name)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(remaining.Milliseconds()))
	if e.class.repeat == balancer.IdempotentWithKey {
		request.Header["Idempotency-Key"] = []string{e.key}
	}
	return request, nil
}

// retryAfter is how long a response wants the client to wait, up to maxRetryAfter.
func retryAfter(response *http.Response) time.Duration {
	d, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return min(d, maxRetryAfter)
}
