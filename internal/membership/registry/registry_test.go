package registry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// calls answers the first call, and keeps what the others would have been.
type calls struct {
	urls  []string
	until []time.Duration // for which each would have been waited for
}

func (c *calls) RoundTrip(r *http.Request) (*http.Response, error) {
	end, _ := r.Context().Deadline()
	c.urls, c.until = append(c.urls, r.URL.RequestURI()), append(c.until, time.Until(end))
	if len(c.urls) > 1 {
		return nil, errors.New("silent")
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(`{"seq":41,"whole":true,"hosts":[]}`))}, nil
}

// What a silent watch has missed counts as told 6 s after it fell silent: by then it must be
// given up.
func TestSilentWatchIsGivenUpInTime(t *testing.T) {
	c := &calls{}
	d := New("127.0.0.1:1")
	d.client.Transport = c
	var kinds []balancer.ListKind
	after, err := d.Watch(context.Background(), nil, func(k balancer.ListKind, _ engine.List) { kinds = append(kinds, k) })
	if err == nil || after == nil || *after != 41 || len(kinds) != 2 || kinds[0] != balancer.ListFull || kinds[1] != balancer.ListFailed {
		t.Fatalf("told %v, to go on after %v, %v", kinds, after, err)
	}
	if c.urls[1] != "/registry/instances?after=41&wait_ms=4000" {
		t.Errorf("the watch is %s", c.urls[1])
	}
	if c.until[1] > 6*time.Second {
		t.Errorf("a silent watch is given up after %v, and what it missed counts as told after 6 s", c.until[1])
	}
}
