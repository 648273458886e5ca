package attempt

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/httpmsg"
)

func TestReadBodyFailsBeyondItsLimit(t *testing.T) {
	for size, want := range map[int]error{
		0:                        nil,
		httpmsg.MaxBodyBytes:     nil,
		httpmsg.MaxBodyBytes + 1: httpmsg.ErrBodyTooLarge,
	} {
		body, err := ReadBody(t.Context(), &engine.Message{}, bytes.NewReader(make([]byte, size)), -1, func() {})
		if !errors.Is(err, want) {
			t.Errorf("body of %d bytes: %v, want %v", size, err, want)
		}
		if err == nil && len(body) != size {
			t.Errorf("read %d of %d bytes", len(body), size)
		}
	}
}

func TestRequestHeaderStatesRemainingTime(t *testing.T) {
	message := &engine.Message{Header: http.Header{"X-Time-Left-Ms": {"99999"}, "X-Correlation-Id": {"1"}}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	header := RequestHeader(ctx, message)
	remaining, err := strconv.Atoi(header.Get("X-Time-Left-Ms"))
	if err != nil || remaining <= 0 || remaining > 60_000 {
		t.Errorf("remaining time %q, want 1 to 60000 ms", header.Values("X-Time-Left-Ms"))
	}
	if header.Get("X-Correlation-Id") != "1" {
		t.Errorf("header %v lacks the client's X-Correlation-Id", header)
	}
	expired, cancelExpired := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer cancelExpired()
	if got := RequestHeader(expired, message).Get("X-Time-Left-Ms"); got != "0" {
		t.Errorf("remaining time %q after the deadline, want 0", got)
	}
}

func TestUnsentStatusCountsAgainstEndpointOnlyForItsFaults(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	fault := errors.New("connection refused")
	for name, c := range map[string]struct {
		ctx  context.Context
		err  error
		want balancer.Status
	}{
		"endpoint's fault":        {context.Background(), fault, balancer.ConnectFailed},
		"fault, but cancelled":    {cancelled, fault, balancer.NotSent},
		"endpoint draining":       {context.Background(), ErrClosed, balancer.NotSent},
		"no connection":           {context.Background(), fmt.Errorf("dial: %w", ErrFull), balancer.NotSent},
		"response not awaited":    {context.Background(), ErrLate, balancer.NotSent},
		"cause of an UnsentError": {context.Background(), &UnsentError{ErrLate}, balancer.NotSent},
	} {
		if got := UnsentStatus(c.ctx, c.err); got != c.want {
			t.Errorf("%s: status %v, want %v", name, got, c.want)
		}
	}
}
