package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"peatpost/balancer"
)

const (
	watchWait    = 20 * time.Second // a watch call is held so long without news
	listPatience = 4 * time.Second  // beyond that: discovery works through calls in turn
	listMost     = 8 << 20          // bytes of a list

	// A watch ends when its next call comes later than 200 ms after the last
	// answer; calls without any pause could become a flood.
	watchPause = 20 * time.Millisecond
	// Where lists are pushed the balancer never asks: the watch begins again by itself.
	pushedPause = time.Second
)

// registry is a list of endpoints, or of changes, in discovery's form.
type registry struct {
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

// validate keeps entries that nothing could be sent to from the balancer.
func (r *registry) validate() error {
	for i, h := range r.Hosts {
		state, ok := states[h.Health]
		switch {
		case h.Name == "":
			return fmt.Errorf("hosts[%d].host is missing", i)
		case !ok:
			return fmt.Errorf("hosts[%d].health: %q is not a known state", i, h.Health)
		case state == balancer.Ready:
			if _, _, err := net.SplitHostPort(h.Dial); err != nil {
				return fmt.Errorf("hosts[%d].dial: %q is not host:port", i, h.Dial)
			}
		}
	}
	return nil
}

// unknownName numbers a zone or kind that the settings do not list.
const unknownName = 255

func number(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 && i < unknownName {
		return uint8(i)
	}
	return unknownName
}

// discovery calls the service that lists endpoints.
type discovery struct {
	url    string
	client http.Client
}

func newDiscovery(address string) *discovery {
	return &discovery{url: "http://" + address + "/registry/instances",
		client: http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2}}}
}

// list makes one call. With after it asks for what is newer than that version,
// which may be 0, and waits for news as long as wait; without, for the whole list.
func (d *discovery) list(ctx context.Context, after *uint64, wait time.Duration) (registry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+listPatience)
	defer cancel()
	url := d.url
	if after != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, *after, wait.Milliseconds())
	}
	var list registry
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
	if err := json.Unmarshal(body, &list); err != nil {
		return list, fmt.Errorf("discovery's answer: %w", err)
	}
	if err := list.validate(); err != nil {
		return list, fmt.Errorf("discovery's answer: %w", err)
	}
	return list, nil
}

// watch reports what discovery tells until a call fails, which it reports too.
// The first call does not wait for news: its answer is the balancer's sign that
// the watch has begun. After is the version to go on from, nil if there was no
// list yet; so is what it returns.
func (d *discovery) watch(ctx context.Context, after *uint64, tell func(balancer.ListKind, registry)) (*uint64, error) {
	for wait := time.Duration(0); ; wait = watchWait {
		list, err := d.list(ctx, after, wait)
		if err != nil {
			tell(balancer.ListFailed, registry{})
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
