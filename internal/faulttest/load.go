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
	firstEffectSequence = 100 // of effect 0; each further effect has the next one
)

// hastyClients is such that one in hastyClients gives its first attempts up early.
const hastyClients = 4

// effect is what one client wants to have executed, once.
type effect struct {
	key           string
	class         *requestClass
	firstInstance int // index of the instance that the first attempt is sent to
	rng           *rand.Rand
	hasty         bool // the client gives its first attempts up early
}

// generateLoad has clients request effects until the load's duration is over, and waits for the last of them. The
// effects and the times of their requests follow from the schedule's seed.
func (r *rig) generateLoad(ctx context.Context) {
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
			client := &client{rig: r, http: httpClient, effect: requested}
			client.run(ctx)
		})
	}
}

// newHTTPClient returns a client that uses a new connection for each request. An idle connection might be closed
// while a request is sent on it, which clients could not distinguish from a lost response.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// drawEffect draws the effect with an index. The order of its draws defines the load of a seed: it must not change.
func drawEffect(rng *rand.Rand, seed uint64, index, instances int) *effect {
	drawn := &effect{
		key:           fmt.Sprintf("e-%d-%d", seed, index),
		firstInstance: rng.IntN(instances),
		rng:           rand.New(rand.NewPCG(seed, uint64(index)+firstEffectSequence)),
		hasty:         rng.IntN(hastyClients) == 0,
	}
	drawn.class = classAt(rng.Float64())
	return drawn
}

// classAt returns the class at a quantile, 0 to 1, of the classes' distribution.
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
