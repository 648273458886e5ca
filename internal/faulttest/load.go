package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pinedale/internal/ctxtime"
)

// Random sequences of the schedule's seed.
const (
	loadSequence        = 11
	firstEffectSequence = 100 // of the effect with index 0; the sequence number grows by one with each effect
)

// earlyCancelOneIn is the share of clients that cancel their first attempts early: one in this many.
const earlyCancelOneIn = 4

// effect is an operation that a client wants to have executed exactly once, in one or more attempts.
type effect struct {
	key           string
	class         *requestClass
	firstInstance int // index of the instance that the first attempt is sent to
	rng           *rand.Rand
	cancelsEarly  bool // the client cancels its first attempts early
}

// generateLoad starts clients at random intervals for the duration of the load, and waits until the last of them has
// ended. The effects and the times at which they are requested are drawn from the schedule's seed.
func (r *testRun) generateLoad(ctx context.Context) {
	s := r.options.Schedule
	rng := rand.New(rand.NewPCG(s.Seed, loadSequence))
	httpClient := newHTTPClient()
	var clients sync.WaitGroup
	defer clients.Wait()
	var at time.Duration
	for index := 0; ; index++ {
		at += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= time.Duration(s.LoadDuration) {
			return
		}
		requested := drawEffect(rng, s.Seed, index, s.Instances)
		if !ctxtime.Sleep(ctx, r.untilTime(at)) {
			return
		}
		clients.Go(func() {
			client := &client{testRun: r, http: httpClient, effect: requested}
			client.run(ctx)
		})
	}
}

// newHTTPClient returns a client that opens a new connection for each request. If a reused connection were closed by
// the instance while a request is sent on it, clients could not distinguish that from a lost response.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// drawEffect draws the effect with an index. The order of its draws determines the load of a seed and must not change.
func drawEffect(rng *rand.Rand, seed uint64, index, instances int) *effect {
	drawn := &effect{
		key:           fmt.Sprintf("e-%d-%d", seed, index),
		firstInstance: rng.IntN(instances),
		rng:           rand.New(rand.NewPCG(seed, uint64(index)+firstEffectSequence)),
		cancelsEarly:  rng.IntN(earlyCancelOneIn) == 0,
	}
	drawn.class = classAt(rng.Float64())
	return drawn
}

// classAt returns the class at a quantile (0 to 1) of the distribution of classes.
func classAt(quantile float64) *requestClass {
	last := len(requestClasses) - 1
	for i := range requestClasses[:last] {
		class := &requestClasses[i]
		if quantile < class.probability {
			return class
		}
		quantile -= class.probability
	}
	return &requestClasses[last]
}
