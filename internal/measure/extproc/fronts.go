package extproc

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/proxy"
)

const frontTimeout = 10 * time.Second

// Tally counts final responses.
type Tally struct{ Served, Rejected, Failed int }

func (t *Tally) add(code int) {
	switch code {
	case http.StatusOK:
		t.Served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		t.Rejected++
	default:
		t.Failed++
	}
}

// ClassTallies has the tally of each class.
type ClassTallies map[string]*Tally

// FrontsReport has the responses to one load through each front.
type FrontsReport struct {
	HTTP, Processor ClassTallies
}

// Fronts makes the same seeded calls, one after the other, through the HTTP front and through the processor, with
// fleets that fail in the same way. With sameOnAllServers, a request fails in the same way at every server. If there
// are no retries either, nothing is random. Otherwise a request that fails at every attempt could be the only one that
// some servers receive, and their breakers draw at random which requests they get next.
func Fronts(o Options, sameOnAllServers bool) (*FrontsReport, error) {
	faults := fakebackend.Faults{Reject: 0.02, Error: 0.03, Reset: 0.02, SameOnAllServers: sameOnAllServers}
	viaHTTP, err := tallyCalls(o, faults, newHTTPCaller)
	if err != nil {
		return nil, fmt.Errorf("over HTTP: %w", err)
	}
	viaProcessor, err := tallyCalls(o, faults, newProcessorCaller)
	if err != nil {
		return nil, fmt.Errorf("over the processor: %w", err)
	}
	return &FrontsReport{HTTP: viaHTTP, Processor: viaProcessor}, nil
}

// frontCaller makes calls through one front.
type frontCaller interface {
	call(request proxy.Request) (code int, err error)
	close()
}

// tallyCalls starts a fleet and an instance and makes all calls of a load through a front.
func tallyCalls(
	o Options, faults fakebackend.Faults, newCaller func(*run) (frontCaller, error),
) (ClassTallies, error) {
	r, err := startRun(o, faults)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = r.instance.Close() // all calls have been answered
		r.closeServers()
	}()
	caller, err := newCaller(r)
	if err != nil {
		return nil, err
	}
	defer caller.close()
	tallies := ClassTallies{}
	for n := range o.Calls {
		request, class := r.drawRequest(n+1, rand.New(rand.NewPCG(o.Seed, uint64(n))))
		code, err := caller.call(request)
		if err != nil {
			return nil, err
		}
		if tallies[class] == nil {
			tallies[class] = &Tally{}
		}
		tallies[class].add(code)
	}
	return tallies, nil
}

// httpCaller makes calls through the HTTP front.
type httpCaller struct {
	client *http.Client
	url    string
}

func newHTTPCaller(r *run) (frontCaller, error) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: frontTimeout}
	return &httpCaller{client: client, url: r.instance.URL()}, nil
}

func (c *httpCaller) close() { c.client.CloseIdleConnections() }

func (c *httpCaller) call(request proxy.Request) (code int, err error) {
	httpRequest, err := http.NewRequest(request.Method, c.url+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return 0, err
	}
	for name, value := range request.Header {
		httpRequest.Header.Set(name, value)
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// processorCaller makes calls through the external processor.
type processorCaller struct{ proxy *proxy.Proxy }

func newProcessorCaller(r *run) (frontCaller, error) {
	p, err := proxy.Dial(r.processorAddress(), 1)
	if err != nil {
		return nil, err
	}
	return &processorCaller{p}, nil
}

func (c *processorCaller) close() { c.proxy.Close() }

func (c *processorCaller) call(request proxy.Request) (code int, err error) {
	result := c.proxy.DoWithRetries(context.Background(), request, nil)
	return result.Code, result.Err
}

// Print writes both tallies as a table.
func (r *FrontsReport) Print(w io.Writer) {
	const counts = "served refused failed"
	fmt.Fprintf(w, "%-14s %24s %24s\n", "", "HTTP front", "processor")
	fmt.Fprintf(w, "%-14s %24s %24s\n", "class", counts, counts)
	for _, class := range slices.Sorted(maps.Keys(r.HTTP)) {
		a, b := r.HTTP[class], r.Processor[class]
		if b == nil {
			b = &Tally{}
		}
		fmt.Fprintf(w, "%-14s %10d %7d %6d %10d %7d %6d\n",
			class, a.Served, a.Rejected, a.Failed, b.Served, b.Rejected, b.Failed)
	}
}
