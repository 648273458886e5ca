package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pinedale/internal/emulator/plan"
	"pinedale/internal/requestmeta"
)

const (
	demoClientTimeout    = 5 * time.Second
	demoIdleConnections  = 100
	demoRequestDeadline  = 1500 * time.Millisecond
	demoLatencyObjective = 600 * time.Millisecond // the same as in demoConfig
	stallPayRatio        = 0.4                    // of all requests
)

// Indices of demoClasses.
const (
	priceCheck = iota
	stallPay
)

// demoClasses are the classes of demoConfig.
var demoClasses = []struct {
	name   string
	method string
	hasKey bool // whether requests have an idempotency key
}{
	priceCheck: {name: "price-check", method: http.MethodGet},
	stallPay:   {name: "stall-pay", method: http.MethodPost, hasKey: true},
}

// drawClass returns the index of a random class: stallPay with a probability of stallPayRatio, or else priceCheck.
func drawClass(random *rand.Rand) int {
	if random.Float64() < stallPayRatio {
		return stallPay
	}
	return priceCheck
}

// demoClients send requests and count the responses.
type demoClients struct {
	url    string
	client *http.Client

	mu     sync.Mutex
	second plan.Second // since the last call of takeSecond
	total  plan.Second // of the whole demo
}

// newDemoClients returns clients that send their requests to one instance.
func newDemoClients(url string) *demoClients {
	return &demoClients{
		url: url,
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: demoIdleConnections},
			Timeout:   demoClientTimeout,
		},
		second: newDemoSecond(),
		total:  newDemoSecond(),
	}
}

// newDemoSecond returns empty counts.
func newDemoSecond() plan.Second {
	return plan.Second{Classes: make([]plan.Tally, len(demoClasses))}
}

// close closes idle connections.
func (c *demoClients) close() { c.client.CloseIdleConnections() }

// request sends a request and counts its response.
func (c *demoClients) request(number, class int) {
	start := time.Now()
	status := c.send(number, class)
	latency := time.Since(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	countResponse(&c.second, class, status, latency)
	countResponse(&c.total, class, status, latency)
}

// send sends a request and returns the status code of its response, or 0 if there is no response.
func (c *demoClients) send(number, class int) (status int) {
	request, err := http.NewRequest(demoClasses[class].method, c.url+"/"+demoClasses[class].name+"/x", nil)
	if err != nil {
		return 0
	}
	request.Header.Set(requestmeta.HeaderID, fmt.Sprintf("demo-%d", number))
	request.Header.Set(requestmeta.HeaderClass, demoClasses[class].name)
	request.Header.Set(requestmeta.HeaderTimeLeft, strconv.FormatInt(demoRequestDeadline.Milliseconds(), 10))
	if demoClasses[class].hasKey {
		request.Header.Set(requestmeta.HeaderKey, fmt.Sprintf("demo-key-%d", number))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status is counted
	return response.StatusCode
}

// countResponse counts a response by its status code and latency.
func countResponse(second *plan.Second, class, status int, latency time.Duration) {
	tally := &second.Classes[class]
	tally.Requested++
	switch {
	case status == http.StatusOK && latency <= demoLatencyObjective:
		tally.InTime++
	case status == http.StatusOK:
		tally.Late++
	case status == http.StatusServiceUnavailable:
		tally.Rejected++
	default:
		tally.Failed++
	}
	second.ResponseMillis = append(second.ResponseMillis, float32(latency.Seconds()*1e3))
}

// takeSecond returns the counts since its last call.
func (c *demoClients) takeSecond() plan.Second {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := c.second
	c.second = newDemoSecond()
	return second
}

// totalTally returns the counts of the whole demo.
func (c *demoClients) totalTally() plan.Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total.Total()
}
