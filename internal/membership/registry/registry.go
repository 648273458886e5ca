// Package registry reads membership from a discovery service over HTTP: whole
// lists, and a watch on changes.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

const (
	listMost = 8 << 20 // bytes of a list

	// A watch ends when its next call comes later than 200 ms after the last
	// answer; calls without any pause could become a flood.
	watchPause = 20 * time.Millisecond
)

// Timing says for how long a client's calls wait, and are waited for.
type Timing struct {
	WatchWait   time.Duration // a watch call is held so long without news,
	WatchGrace  time.Duration // and given up so much later: it has fallen silent
	ListTimeout time.Duration // a call that does not wait is given up after this
	RetryDelay  time.Duration // after a failure the client calls again by itself so much later; 0 leaves that to its caller
}

// PollTiming is the pace at a service that all instances share, and that works through their calls
// in turn. What a silent watch has missed counts as told 6 s after it fell silent, or 2 s
// after its wait is over, whichever is later: half a second is left for the call that opens
// it anew, and the grace of drains beyond. Calls without news cost the service 2 in 7 s for
// each instance.
var PollTiming = Timing{WatchWait: 3500 * time.Millisecond, WatchGrace: 2 * time.Second, ListTimeout: 4 * time.Second}

// PushTiming is the pace at an agent on the instance's own machine, that answers at once and at
// no cost. What the agent has counts as told, whatever became of the calls: a call that is
// lost must be found out and made again within grace, after which nothing new may go to a
// server that was told to drain. All parts together take less than half of it.
func PushTiming(grace time.Duration) Timing {
	grace = min(max(grace, 400*time.Millisecond), 4*time.Second) // below that the machine's own delays count, above it nothing is gained
	return Timing{WatchWait: grace / 4, WatchGrace: grace / 8, ListTimeout: grace / 8, RetryDelay: grace / 20}
}

// document is a list of endpoints, or of changes, in discovery's form.
type document struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

type host struct {
	Name   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  uint16  `json:"block"`
	Health string  `json:"health"`
	Share  float32 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

var states = map[string]balancer.State{
	"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed,
}

// Parse reads a list in discovery's form. Its errors name the entry and key at
// fault.
func Parse(data []byte) (engine.List, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return engine.List{}, err
	}
	list := engine.List{Version: d.Seq, Complete: d.Whole, Hosts: make([]engine.Host, len(d.Hosts))}
	for i, h := range d.Hosts {
		state, ok := states[h.Health]
		if !ok {
			return engine.List{}, fmt.Errorf("hosts[%d].health: %q is not a known state", i, h.Health)
		}
		list.Hosts[i] = engine.Host{Name: h.Name, Address: h.Dial, Site: h.Site, Kind: h.Class, Cell: h.Block,
			State: state, Weight: h.Share, StartedMS: h.BornMS}
	}
	return list, list.Validate()
}

// Client calls the service that lists endpoints. It is an engine.Source.
type Client struct {
	url    string
	pace   Timing
	client http.Client
}

// New returns a client of the service at host:port.
func New(address string, pace Timing) *Client {
	return &Client{url: "http://" + address + "/registry/instances", pace: pace,
		client: http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2}}}
}

// list makes one call. With after it asks for what is newer than that version,
// which may be 0, and waits for news as long as wait; without, for the whole list.
func (d *Client) list(ctx context.Context, after *uint64, wait time.Duration) (engine.List, error) {
	patience := d.pace.ListTimeout
	if wait > 0 {
		patience = d.pace.WatchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	url := d.url
	if after != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, *after, wait.Milliseconds())
	}
	var list engine.List
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, listMost))
	if err != nil {
		return list, err
	}
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery answered %s", response.Status)
	}
	if list, err = Parse(body); err != nil {
		return list, fmt.Errorf("discovery's answer: %w", err)
	}
	return list, nil
}

// Watch reports what discovery tells until a call fails, which it reports too; where the pace
// says so, it goes on after that until ctx ends. The first call does not wait for news: its
// answer is the balancer's sign that the watch has begun. After is the version to go on
// from, nil if there was no list yet; so is what it returns.
//
// A watch that falls silent is opened anew at once, once: nothing says that discovery has
// trouble, and what was missed may count as told already.
func (d *Client) Watch(ctx context.Context, after *uint64, tell func(balancer.ListKind, engine.List)) (*uint64, error) {
	for wait := time.Duration(0); ; {
		list, err := d.list(ctx, after, wait)
		if err == nil && !list.Complete && after != nil && list.Version < *after {
			// Changes to a list that is not the one held: only a whole one helps.
			after, wait = nil, 0
			pause(ctx, watchPause)
			continue
		}
		if err == nil {
			after, wait = &list.Version, d.pace.WatchWait
			kind := balancer.ListDelta
			if list.Complete {
				kind = balancer.ListFull
			}
			tell(kind, list)
			pause(ctx, watchPause)
			continue
		}
		silent := wait > 0 && errors.Is(err, context.DeadlineExceeded)
		if wait = 0; silent && ctx.Err() == nil {
			continue
		}
		tell(balancer.ListFailed, engine.List{})
		if d.pace.RetryDelay == 0 || ctx.Err() != nil {
			return after, err
		}
		pause(ctx, d.pace.RetryDelay)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Close lets go of idle connections.
func (d *Client) Close() { d.client.CloseIdleConnections() }
