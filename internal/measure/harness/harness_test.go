package harness

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

func TestPercentileIsByNearestRank(t *testing.T) {
	for _, c := range []struct {
		name    string
		values  []int
		percent int
		want    int
	}{
		{"no value", nil, 50, 0},
		{"one value", []int{7}, 99, 7},
		{"median of an odd number", []int{3, 1, 2}, 50, 2},
		{"median of an even number is the upper one", []int{4, 3, 2, 1}, 50, 3},
		{"99th of few is the largest", []int{2, 9, 1}, 99, 9},
		{"largest", []int{2, 9, 1}, 100, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Percentile(c.values, c.percent); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

func TestForEachMakesAllCallsAndReturnsFirstError(t *testing.T) {
	var sum atomic.Int64
	failure := errors.New("call 10 failed")
	err := ForEach(100, 8, func(n int) error {
		sum.Add(int64(n))
		if n == 10 {
			return failure
		}
		return nil
	})
	if sum.Load() != 5050 || !errors.Is(err, failure) {
		t.Errorf("sum of the numbers %d, error %v", sum.Load(), err)
	}
}

func TestStopWaitsForAllClients(t *testing.T) {
	var ended atomic.Int64
	clients := StartClients(5, func(ctx context.Context, _ int) {
		<-ctx.Done()
		time.Sleep(time.Millisecond)
		ended.Add(1)
	})
	if clients.Stop(); ended.Load() != 5 {
		t.Errorf("%d of 5 clients had ended", ended.Load())
	}
	ended.Store(0)
	RunClients(5, time.Millisecond, func(ctx context.Context, _ int) {
		<-ctx.Done()
		ended.Add(1)
	})
	if ended.Load() != 5 {
		t.Errorf("%d of 5 clients with a fixed time had ended", ended.Load())
	}
}

func TestRequestCarriesHeadersAndReturnsStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		h := r.Header
		if got := fmt.Sprint(r.Method, r.URL.Path, h["X-Correlation-Id"], h["X-Service-Class"], h["X-Time-Left-Ms"],
			h["Idempotency-Key"], h["X-Account"]); got != "POST/pay/x[r-1] [pay] [1500] [k-1] [loud]" {
			t.Errorf("the server got %s", got)
		}
	}))
	defer server.Close()
	request := &Request{
		URL:            server.URL,
		ID:             "r-1",
		Class:          "pay",
		Method:         http.MethodPost,
		Timeout:        1500 * time.Millisecond,
		IdempotencyKey: "k-1",
		Tenant:         "loud",
	}
	response, err := request.Send(server.Client())
	if err != nil || response.Code != 503 || response.Status != "503 Service Unavailable" || response.OK() {
		t.Errorf("response %+v, error %v, want status 503", response, err)
	}
}
