package fakediscovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"pinedale/internal/standin/wait"
)

// call is the result of one request to a directory.
type call struct {
	status int
	body   string
	err    error
}

// get sends a request with a query to a directory. If ctx ends before the response, the result has no status.
func get(ctx context.Context, d *Directory, query string) call {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Address+"/?"+query, nil)
	if err != nil {
		return call{err: err}
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return call{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return call{response.StatusCode, string(body), err}
}

// document parses the list in a call's response.
func (c call) document(t *testing.T) Document {
	t.Helper()
	var document Document
	if err := json.Unmarshal([]byte(c.body), &document); err != nil || c.status != http.StatusOK {
		t.Fatalf("call %+v: %v", c, err)
	}
	return document
}

func TestCallIsAnsweredByVersion(t *testing.T) {
	first, second := Ready("s-1", "127.0.0.1:1"), Draining("s-2", "127.0.0.1:2")
	d := New(t, first)
	d.SetHosts(4, first, second)
	complete := Document{Seq: 4, Complete: true, Hosts: []Host{first, second}}
	unchanged := Document{Seq: 4, Hosts: []Host{}}
	for query, want := range map[string]Document{
		"":                   complete,
		"after=3&wait_ms=99": complete,
		"after=4&wait_ms=0":  unchanged,
		"after=4&wait_ms=1":  unchanged,
	} {
		got := get(t.Context(), d, query).document(t)
		if got.Seq != want.Seq || got.Complete != want.Complete || !slices.Equal(got.Hosts, want.Hosts) {
			t.Errorf("%q: got %+v, want %+v", query, got, want)
		}
	}
	if n := d.CallCount(); n != 4 || len(d.Queries()) != 4 {
		t.Errorf("%d calls, %d queries; want 4", n, len(d.Queries()))
	}
}

func TestWaitingCallIsAnsweredByChange(t *testing.T) {
	d := New(t)
	received := make(chan call, 1)
	go func() { received <- get(t.Context(), d, "after=0&wait_ms=60000") }()
	wait.Until(t, "the call", func() bool { return d.CallCount() == 1 })
	d.SetHosts(1, Ready("s-1", "127.0.0.1:1"))
	if got := (<-received).document(t); got.Seq != 1 || len(got.Hosts) != 1 {
		t.Errorf("list %+v, want version 1 with one host", got)
	}
}

func TestSilencedCallIsNeverAnswered(t *testing.T) {
	const callTimeout = time.Second // long enough that Silence is called before it on a busy machine
	d := New(t)
	ctx, cancel := context.WithCancel(t.Context())
	received := make(chan call, 1)
	query := fmt.Sprintf("after=0&wait_ms=%d", callTimeout.Milliseconds())
	go func() { received <- get(ctx, d, query) }()
	wait.Until(t, "the call", func() bool { return d.CallCount() == 1 })
	d.Silence()
	d.SetHosts(1)
	select {
	case got := <-received:
		t.Errorf("a silenced call was answered: %+v", got)
	case <-time.After(callTimeout + 200*time.Millisecond):
	}
	if n := d.OpenConns.Load(); n != 1 {
		t.Errorf("%d connections are open, want only that of the call", n)
	}
	cancel()
	if got := <-received; got.err == nil {
		t.Errorf("a silenced call was answered: %+v", got)
	}
	wait.Until(t, "the end of the connection", func() bool { return d.OpenConns.Load() == 0 })
}

func TestDownAndBrokenServiceHasNoList(t *testing.T) {
	d := New(t, Ready("s-1", "127.0.0.1:1"))
	d.SetDown(true)
	if got := get(t.Context(), d, ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("call to a service that is down: %+v, want status 503", got)
	}
	d.Change(func() { d.Down, d.InvalidResponse = false, "<html>" })
	if got := get(t.Context(), d, ""); got.status != http.StatusOK || got.body != "<html>" {
		t.Errorf("call with an invalid response: %+v, want status 200 and that response", got)
	}
	d.Change(func() { d.InvalidResponse = "" })
	if got := get(t.Context(), d, "").document(t); len(got.Hosts) != 1 {
		t.Errorf("list of a restored service: %+v, want one host", got)
	}
}

func TestVersionIsAcknowledgedByCall(t *testing.T) {
	d := New(t)
	if at, ok := d.Acknowledged(0); ok {
		t.Errorf("acknowledged at %v without a call", at)
	}
	get(t.Context(), d, "after=5&wait_ms=0")
	first, ok := d.Acknowledged(5)
	if !ok {
		t.Error("version 5 is not acknowledged")
	}
	get(t.Context(), d, "after=7&wait_ms=0")
	get(t.Context(), d, "after=5&wait_ms=0")
	if at, ok := d.Acknowledged(4); !ok || !at.Equal(first) {
		t.Errorf("version 4 was acknowledged at %v, %v; want the time of the first call", at, ok)
	}
	if at, ok := d.Acknowledged(6); !ok || at.Before(first) {
		t.Errorf("version 6 was acknowledged at %v, %v; want a time after the first call", at, ok)
	}
	if _, ok := d.Acknowledged(8); ok {
		t.Error("version 8 is acknowledged")
	}
}
