package extproc

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"

	"pinedale/internal/measure/harness"
	"pinedale/internal/standin/proxy"
)

// callKind is what a caller does with a call, as it is printed.
type callKind string

const (
	plainCall                callKind = "plain"
	disconnectBeforeDecision callKind = "disconnected before decision"
	disconnectAtDecision     callKind = "disconnected at decision"
	noReport                 callKind = "no report"
	brokenConnection         callKind = "connection broken off"
	concurrentRepeat         callKind = "repeated concurrently"
	repeatAfterOutcome       callKind = "repeated after the outcome"
)

// callMix has the threshold of each kind of call: a draw from 0 to 1 selects the first kind whose threshold is above
// it. All other calls are plain. Kinds that need an idempotency key are skipped for requests without one.
var callMix = []struct {
	kind     callKind
	below    float64
	needsKey bool
}{
	{kind: disconnectBeforeDecision, below: 0.03},
	{kind: disconnectAtDecision, below: 0.06},
	{kind: noReport, below: 0.09},
	{kind: brokenConnection, below: 0.10},
	{kind: concurrentRepeat, below: 0.15, needsKey: true},
	{kind: repeatAfterOutcome, below: 0.20, needsKey: true},
}

// drawCallKind draws what a caller does.
func drawCallKind(random *rand.Rand, hasKey bool) callKind {
	draw := random.Float64()
	for _, part := range callMix {
		if draw < part.below && (hasKey || !part.needsKey) {
			return part.kind
		}
	}
	return plainCall
}

// classMix has the thresholds of a draw from 0 to 1 below which a request is of each class.
var classMix = []struct {
	class string
	below float64
}{
	{classPriceCheck, 0.45},
	{classStallPay, 0.79},
	{classDayClose, 0.95},
	{classOrder, 1},
}

// drawRequest draws the request with the given number.
func (r *run) drawRequest(number int, random *rand.Rand) (request proxy.Request, class string) {
	draw := random.Float64()
	for _, part := range classMix {
		if class = part.class; draw < part.below {
			break
		}
	}
	id := fmt.Sprintf("%016x", uint64(number)<<20|r.options.Seed&0xfffff)
	request = proxy.Request{
		Method: http.MethodPost,
		Path:   "/" + class + "/x?n=" + id,
		Body:   "body",
		Header: map[string]string{
			"x-correlation-id": id,
			"x-service-class":  class,
			"x-time-left-ms":   "900",
			"x-weight-hint":    "2000",
		},
	}
	switch class {
	case classPriceCheck:
		request.Method, request.Body = http.MethodGet, ""
	case classStallPay, classDayClose:
		request.Header["idempotency-key"] = "key-" + id
	}
	return request, class
}

// makeCalls makes all calls of the run, and changes the fleet while they run.
func (r *run) makeCalls() {
	// Each call counts its own errors.
	_ = harness.ForEach(r.options.Calls, r.options.Callers, func(number int) error {
		if every := r.options.ChangeEvery; every > 0 && number%every == 0 {
			r.changeFleet()
		}
		r.call(number)
		return nil
	})
}

// call makes the call with the given number, with the fault that is drawn for it.
func (r *run) call(number int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(number)))
	request, _ := r.drawRequest(number, random)
	_, hasKey := request.Header["idempotency-key"]
	kind := drawCallKind(random, hasKey)
	c := &call{
		run:     r,
		request: request,
		first:   r.proxies[number%len(r.proxies)],
		second:  r.proxies[(number+1)%len(r.proxies)],
	}
	c.make(kind)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.CallKinds[kind]++
}

// call is a client's request and the proxies through which it is made.
type call struct {
	run           *run
	request       proxy.Request
	first, second *proxy.Proxy
}

// make makes the call as its kind requires.
func (c *call) make(kind callKind) {
	ctx := context.Background()
	switch kind {
	case disconnectBeforeDecision:
		c.run.countStream(c.first.Do(ctx, c.request, proxy.Behaviour{DisconnectBeforeDecision: true}), true)
	case disconnectAtDecision:
		c.run.countStream(c.first.Do(ctx, c.request, proxy.Behaviour{DisconnectAtDecision: true}), false)
	case noReport:
		c.run.countStream(c.first.Do(ctx, c.request, proxy.Behaviour{NoReport: true}), false)
	case brokenConnection:
		c.breakConnection()
	case concurrentRepeat:
		c.repeatConcurrently()
	case repeatAfterOutcome:
		c.repeatAfterOutcome()
	default:
		last := c.first.DoWithRetries(ctx, c.request, func(result proxy.Result) {
			c.run.countStream(result, false)
		})
		c.run.countCode(last.Code)
	}
}

// breakConnection makes the call over a connection of its own, and closes that once there is a decision.
func (c *call) breakConnection() {
	p, err := proxy.Dial(c.run.processorAddress(), 1)
	if err != nil {
		return
	}
	defer p.Close()
	result := p.Do(context.Background(), c.request, proxy.Behaviour{DisconnectAtDecision: true})
	c.run.countStream(result, false)
}

// repeatConcurrently makes the call through two proxies at once.
func (c *call) repeatConcurrently() {
	var first, second proxy.Result
	var both sync.WaitGroup
	both.Go(func() { second = c.second.Do(context.Background(), c.request, proxy.Behaviour{}) })
	first = c.first.Do(context.Background(), c.request, proxy.Behaviour{})
	both.Wait()
	c.run.countStream(first, false)
	c.run.countStream(second, false)
	c.run.countPair(first, second)
	c.run.countCode(first.Code)
}

// repeatAfterOutcome makes the call again after its outcome is known, as a client's retry.
func (c *call) repeatAfterOutcome() {
	first := c.first.Do(context.Background(), c.request, proxy.Behaviour{})
	retry := c.request
	retry.Header = maps.Clone(c.request.Header)
	retry.Header["x-correlation-id"] += "r"
	second := c.second.Do(context.Background(), retry, proxy.Behaviour{})
	c.run.countStream(first, false)
	c.run.countStream(second, false)
	if first.Code == http.StatusOK {
		c.run.countPair(first, second)
	}
	c.run.countCode(first.Code)
}

// countStream counts a stream. disconnected says that the caller broke off the stream before its decision.
func (r *run) countStream(result proxy.Result, disconnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Streams++
	r.report.Decisions += result.Decisions
	if result.Decisions > 1 {
		r.report.Doubled++
	}
	if !disconnected && result.Decisions == 0 {
		r.report.Undecided++
	}
	if result.Err != nil {
		r.report.FailedStreams++
		if r.report.FirstError == nil {
			r.report.FirstError = result.Err
		}
	}
}

// countPair checks two streams for one keyed request: if both were served by their first attempt, they must have been
// sent to the same server.
func (r *run) countPair(a, b proxy.Result) {
	if !servedAtFirstAttempt(a) || !servedAtFirstAttempt(b) || a.Decision.Endpoint == b.Decision.Endpoint {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Split++
}

func servedAtFirstAttempt(result proxy.Result) bool {
	decision := result.Decision
	return decision.Endpoint != "" && decision.Headers["x-pinedale-attempt"] == "1" && result.Code == http.StatusOK
}

// countCode counts the final response to a client.
func (r *run) countCode(code int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Codes[code]++
}
