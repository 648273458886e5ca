package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// outcome is what becomes of one call.
type outcome uint8

const (
	answered          outcome = iota
	answeredAfterWait         // the service holds the call until its wait is over
	answeredIndented
	answeredMalformed
	stalled       // no answer
	stalledInBody // the answer stops in its document
	reset         // the connection breaks
)

// scriptedService is a discovery service in memory. Each call has the next outcome of the
// script; after its end all calls are answered.
type scriptedService struct {
	outcomes []outcome
	version  uint64
	document func(call int) string // the document of a call that is answered; nil for an empty list
	calls    []recordedCall
}

type recordedCall struct {
	url string
	at  time.Time
}

// RoundTrip implements http.RoundTripper.
func (s *scriptedService) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	call := len(s.calls)
	s.calls = append(s.calls, recordedCall{r.URL.RequestURI(), time.Now()})
	result := answered
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
		time.Sleep(PollTiming.WatchWait)
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
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
}

// stalledReader is a body that never arrives.
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

// watch runs a script until Watch has reported a number of lists and failures.
func watch(t *testing.T, timing Timing, s *scriptedService, count int) (reported []notification) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := New("127.0.0.1:1", timing)
	client.client.Transport = s
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

func kindsOf(reported []notification) (kinds []balancer.ListKind) {
	for _, n := range reported {
		kinds = append(kinds, n.kind)
	}
	return kinds
}

// However a watch stalls, it is opened again and answered before what it missed counts as
// reported, and with half of the drain grace to spare where the agent's lists count at once.
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
		{"poll, at the start", PollTiming, outcomes{answered, stalled}, kinds{full, delta}, 6 * second},
		{"poll, in a document", PollTiming, outcomes{answered, stalledInBody}, kinds{full, delta}, 6 * second},
		{"poll, later", PollTiming, outcomes{answered, answeredAfterWait, answeredAfterWait, stalled},
			kinds{full, delta, delta, delta}, 6 * second},
		{"poll, twice in a row: the balancer decides when to retry", PollTiming, outcomes{answered, stalled, stalled},
			kinds{full, failed}, 10 * second},
		{"poll, the first call", PollTiming, outcomes{stalled}, kinds{failed}, 6 * second},
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
				s := &scriptedService{outcomes: c.outcomes, version: 41}
				reported := watch(t, c.timing, s, len(c.kinds))
				if got := kindsOf(reported); !slices.Equal(got, c.kinds) {
					t.Fatalf("reported %v, want %v; calls %v", got, c.kinds, s.calls)
				}
				first := len(c.outcomes) - 1 // of the calls that stalled one after the other
				for first > 0 && (c.outcomes[first-1] == stalled || c.outcomes[first-1] == stalledInBody) {
					first--
				}
				if took := reported[len(reported)-1].at.Sub(s.calls[first].at); took > c.limit {
					t.Errorf("the next list after %v, want at most %v", took, c.limit)
				}
			})
		})
	}
}

// A watch without changes calls no more often than its timing says.
func TestWatchWithoutChangesKeepsItsTiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waited := answeredAfterWait
		s := &scriptedService{outcomes: []outcome{answered, waited, waited, waited, waited}, version: 41}
		began := time.Now()
		watch(t, PollTiming, s, 5)
		if took := time.Since(began); len(s.calls) != 5 || took < 14*time.Second {
			t.Errorf("%d calls in %v: %v", len(s.calls), took, s.calls)
		}
		if s.calls[1].url != "/registry/instances?after=41&wait_ms=3500" {
			t.Errorf("the watch call is %s", s.calls[1].url)
		}
	})
}

// A version that goes back is another list's: changes to it say nothing, and the complete
// list is requested. A complete list may have any version.
func TestDeltaOfOlderVersionRequestsCompleteList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		documents := []string{
			`{"seq":41,"whole":true,"hosts":[]}`,
			`{"seq":7,"whole":false,"hosts":[]}`,
			`{"seq":8,"whole":true,"hosts":[]}`,
			`{"seq":3,"whole":true,"hosts":[]}`,
		}
		s := &scriptedService{document: func(call int) string { return documents[call] }}
		reported := watch(t, PollTiming, s, 3)
		want := []balancer.ListKind{balancer.ListFull, balancer.ListFull, balancer.ListFull}
		if got := kindsOf(reported); !slices.Equal(got, want) {
			t.Fatalf("reported %v, want %v", got, want)
		}
		if reported[1].list.Version != 8 || reported[2].list.Version != 3 {
			t.Errorf("reported %+v", reported)
		}
		if s.calls[2].url != "/registry/instances" {
			t.Errorf("after the version that went back: %s", s.calls[2].url)
		}
		s = &scriptedService{outcomes: []outcome{answeredIndented}}
		if reported = watch(t, PollTiming, s, 1); reported[0].kind != balancer.ListFull || reported[0].list.Version != 41 {
			t.Errorf("indented: reported %+v", reported)
		}
	})
}
