package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pinedale/balancer"
	"pinedale/internal/ctxtime"
	"pinedale/internal/engine"
)

// outcome is how a scripted service handles one call.
type outcome uint8

const (
	answered          outcome = iota
	answeredAfterWait         // the service holds the call until its wait is over
	answeredLate              // the service answers lateness after the end of the call's wait
	answeredSlowly            // the call waits for slowCall before it is answered
	answeredIndented
	answeredMalformed
	stalled       // no answer
	stalledInBody // the answer stops in its document
	reset         // the connection breaks
)

const (
	lateness = 1800 * time.Millisecond
	slowCall = 3 * time.Second
)

// testTiming is the timing of a polled service if the drain grace is 2 s.
var testTiming = PollTiming(2 * time.Second)

// scriptedService is a discovery service in memory. Each call has the next of the outcomes;
// calls after the last one are answered, or have the outcome rest if it is set.
type scriptedService struct {
	mu       sync.Mutex // held while a call is recorded
	outcomes []outcome
	rest     outcome
	version  uint64
	document func(call int) string // returns the document of a call; nil for an empty list
	calls    []recordedCall
}

// recordedCall is a call that a scripted service received.
type recordedCall struct {
	url string
	at  time.Time
}

// RoundTrip implements http.RoundTripper.
func (s *scriptedService) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	call := len(s.calls)
	s.calls = append(s.calls, recordedCall{r.URL.RequestURI(), time.Now()})
	s.mu.Unlock()
	result := s.rest
	if call < len(s.outcomes) {
		result = s.outcomes[call]
	}
	text := fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[]}`, s.version, !strings.Contains(r.URL.RawQuery, "after"))
	if s.document != nil {
		text = s.document(call)
	}
	body := io.Reader(strings.NewReader(text))
	switch result {
	case answered:
	case answeredAfterWait:
		ctxtime.Sleep(r.Context(), requestedWait(r))
	case answeredLate:
		ctxtime.Sleep(r.Context(), requestedWait(r)+lateness)
	case answeredSlowly:
		ctxtime.Sleep(r.Context(), slowCall)
	case answeredIndented:
		body = strings.NewReader("\n\t{ \"seq\" : 41,\r\n  \"whole\": true , \"hosts\" : [\n ]\n}\n")
	case answeredMalformed:
		body = strings.NewReader("<html>")
	case stalled:
		<-r.Context().Done()
		return nil, r.Context().Err()
	case stalledInBody:
		body = io.MultiReader(strings.NewReader(text[:9]), stalledReader{r.Context()})
	case reset:
		return nil, errors.New("reset")
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
}

// requestedWait returns how long a call lets the service wait for changes.
func requestedWait(r *http.Request) time.Duration {
	milliseconds, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 if it is absent
	return time.Duration(milliseconds) * time.Millisecond
}

// stalledReader is a response body that returns no data until its context ends.
type stalledReader struct{ ctx context.Context }

func (s stalledReader) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// notification is one list or failure that Watch reported.
type notification struct {
	at   time.Time
	kind balancer.ListKind
	list engine.List
}

// watch calls Watch on a scripted service until it has reported count lists and failures.
func watch(t *testing.T, timing Timing, service *scriptedService, count int) (reported []notification) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := New("127.0.0.1:1", timing)
	client.client.Transport = service
	_, err := client.Watch(ctx, nil, func(kind balancer.ListKind, list engine.List) {
		if len(reported) == count {
			return // the failure of the call that was cancelled
		}
		reported = append(reported, notification{time.Now(), kind, list})
		if len(reported) == count {
			cancel()
		}
	})
	if err == nil {
		t.Error("Watch ended without an error")
	}
	return reported
}

// kindsOf returns the kinds of notifications, in order.
func kindsOf(reported []notification) (kinds []balancer.ListKind) {
	for _, n := range reported {
		kinds = append(kinds, n.kind)
	}
	return kinds
}

// A watch that stalls is opened again and answered before the changes that it missed count as
// reported. With PushTiming, where they count at once, that takes at most half of the drain grace.
func TestStalledWatchIsReplacedInTime(t *testing.T) {
	const (
		second = time.Second
		full   = balancer.ListFull
		delta  = balancer.ListDelta
		failed = balancer.ListFailed
	)
	type outcomes = []outcome
	type kinds = []balancer.ListKind
	for _, c := range []struct {
		name     string
		timing   Timing
		outcomes outcomes
		kinds    kinds
		limit    time.Duration // from the call that stalled until the next list
	}{
		{"poll, at the start", testTiming, outcomes{answered, stalled}, kinds{full, delta}, 6 * second},
		{"poll, in a document", testTiming, outcomes{answered, stalledInBody}, kinds{full, delta}, 6 * second},
		{"poll, later", testTiming, outcomes{answered, answeredAfterWait, answeredAfterWait, stalled},
			kinds{full, delta, delta, delta}, 6 * second},
		{"poll, twice in a row: the balancer decides when to retry", testTiming, outcomes{answered, stalled, stalled},
			kinds{full, failed}, 10 * second},
		{"poll, the first call", testTiming, outcomes{stalled}, kinds{failed}, 6 * second},
		{"push, at the start", PushTiming(second), outcomes{answered, stalled}, kinds{full, delta}, second / 2},
		{"push, twice in a row", PushTiming(2 * second), outcomes{answered, stalled, stalled},
			kinds{full, failed, delta}, 3 * second / 2},
		{"push, the first call", PushTiming(second), outcomes{stalled}, kinds{failed, full}, second / 2},
		{"push, in a document", PushTiming(2 * second), outcomes{stalledInBody}, kinds{failed, full}, second},
		{"push, reset", PushTiming(second), outcomes{answered, reset}, kinds{full, failed, delta}, second / 2},
		{"push, no drain grace", PushTiming(0), outcomes{answered, stalled}, kinds{full, delta}, second / 2},
		{"push, malformed", PushTiming(second), outcomes{answeredMalformed}, kinds{failed, full}, second / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := &scriptedService{outcomes: c.outcomes, version: 41}
				reported := watch(t, c.timing, service, len(c.kinds))
				if got := kindsOf(reported); !slices.Equal(got, c.kinds) {
					t.Fatalf("reported list kinds %v, want %v; calls %v", got, c.kinds, service.calls)
				}
				stalledSince := service.calls[firstOfLastStall(c.outcomes)].at
				if elapsed := reported[len(reported)-1].at.Sub(stalledSince); elapsed > c.limit {
					t.Errorf("the next list is received after %v, want at most %v", elapsed, c.limit)
				}
			})
		})
	}
}

// firstOfLastStall returns the index of the first of the consecutive calls without an answer at
// the end of outcomes.
func firstOfLastStall(outcomes []outcome) int {
	first := len(outcomes) - 1
	for first > 0 && (outcomes[first-1] == stalled || outcomes[first-1] == stalledInBody) {
		first--
	}
	return first
}

// A watch without changes calls no more often than its timing allows.
func TestWatchWithoutChangesKeepsItsTiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &scriptedService{
			outcomes: []outcome{
				answered,
				answeredAfterWait,
				answeredAfterWait,
				answeredAfterWait,
				answeredAfterWait,
			},
			version: 41,
		}
		start := time.Now()
		watch(t, testTiming, service, 5)
		if elapsed := time.Since(start); len(service.calls) != 5 || elapsed < 14*time.Second {
			t.Errorf("%d calls in %v, want 5 in at least 14s: %v", len(service.calls), elapsed, service.calls)
		}
		if service.calls[1].url != "/registry/instances?after=41&wait_ms=3500" {
			t.Errorf("the watch call is %s", service.calls[1].url)
		}
	})
}

// A lower version belongs to another list: changes to it are ignored, and the complete list is
// requested. A complete list may have any version.
func TestDeltaOfOlderVersionRequestsCompleteList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		documents := []string{
			`{"seq":41,"whole":true,"hosts":[]}`,
			`{"seq":7,"whole":false,"hosts":[]}`,
			`{"seq":8,"whole":true,"hosts":[]}`,
			`{"seq":3,"whole":true,"hosts":[]}`,
		}
		service := &scriptedService{document: func(call int) string { return documents[call] }}
		reported := watch(t, testTiming, service, 3)
		want := []balancer.ListKind{balancer.ListFull, balancer.ListFull, balancer.ListFull}
		if got := kindsOf(reported); !slices.Equal(got, want) {
			t.Fatalf("reported list kinds %v, want %v", got, want)
		}
		if reported[1].list.Version != 8 || reported[2].list.Version != 3 {
			t.Errorf("reported lists %+v, want versions 8 and 3 after the first list", reported)
		}
		if service.calls[2].url != "/registry/instances" {
			t.Errorf("after the lower version the client called %s", service.calls[2].url)
		}
	})
}

func TestWatchReadsIndentedDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &scriptedService{outcomes: []outcome{answeredIndented}}
		reported := watch(t, testTiming, service, 1)
		if reported[0].kind != balancer.ListFull || reported[0].list.Version != 41 {
			t.Errorf("reported %+v, want a complete list of version 41", reported)
		}
	})
}
