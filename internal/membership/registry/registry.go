// Package registry reads membership from a discovery service over HTTP: whole
// lists, and a watch on changes.
package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

const (
	// A watch call is held so long without news. One that has fallen silent is found out
	// when its time and watchPatience are over: what it has missed counts as told 6 s after
	// it fell silent, or 2 s after that time, whichever is later. 4 s make both the same.
	watchWait     = 4 * time.Second
	watchPatience = 2 * time.Second // beyond that
	listPatience  = 4 * time.Second // for a call that does not wait: discovery works through them in turn
	listMost      = 8 << 20         // bytes of a list

	// A watch ends when its next call comes later than 200 ms after the last
	// answer; calls without any pause could become a flood.
	watchPause = 20 * time.Millisecond
)

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
	"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Gone,
}

// Parse reads a list in discovery's form. Its errors name the entry and key at
// fault.
func Parse(data []byte) (engine.List, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return engine.List{}, err
	}
	list := engine.List{Seq: d.Seq, Whole: d.Whole, Hosts: make([]engine.Host, len(d.Hosts))}
	for i, h := range d.Hosts {
		state, ok := states[h.Health]
		if !ok {
			return engine.List{}, fmt.Errorf("hosts[%d].health: %q is not a known state", i, h.Health)
		}
		list.Hosts[i] = engine.Host{Name: h.Name, Dial: h.Dial, Site: h.Site, Kind: h.Class, Cell: h.Block,
			State: state, Share: h.Share, BornMS: h.BornMS}
	}
	return list, list.Validate()
}

// Client calls the service that lists endpoints. It is an engine.Source.
type Client struct {
	url    string
	client http.Client
}

// New returns a client of the service at host:port.
func New(address string) *Client {
	return &Client{url: "http://" + address + "/registry/instances",
		client: http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2}}}
}

// list makes one call. With after it asks for what is newer than that version,
// which may be 0, and waits for news as long as wait; without, for the whole list.
func (d *Client) list(ctx context.Context, after *uint64, wait time.Duration) (engine.List, error) {
	patience := listPatience
	if wait > 0 {
		patience = watchPatience
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

// Watch reports what discovery tells until a call fails, which it reports too.
// The first call does not wait for news: its answer is the balancer's sign that
// the watch has begun. After is the version to go on from, nil if there was no
// list yet; so is what it returns.
func (d *Client) Watch(ctx context.Context, after *uint64, tell func(balancer.ListKind, engine.List)) (*uint64, error) {
	for wait := time.Duration(0); ; wait = watchWait {
		list, err := d.list(ctx, after, wait)
		if err != nil {
			tell(balancer.ListFailed, engine.List{})
			return after, err
		}
		after = &list.Seq
		kind := balancer.ListDelta
		if list.Whole {
			kind = balancer.ListFull
		}
		tell(kind, list)
		time.Sleep(watchPause)
	}
}

// Close lets go of idle connections.
func (d *Client) Close() { d.client.CloseIdleConnections() }
