package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
)

// scripted is a discovery service in memory. Each call has the next of the script's fates;
// behind its end all calls are answered. A watch call with no news waits.
type scripted struct {
	fates []string
	seq   uint64
	at    func(call int) string // the document of a call that is answered; nil for an empty list
	calls []call
}

type call struct {
	url string
	at  time.Time
}

func (s *scripted) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	n := len(s.calls)
	s.calls = append(s.calls, call{r.URL.RequestURI(), time.Now()})
	fate := "answered"
	if n < len(s.fates) {
		fate = s.fates[n]
	}
	text := fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[]}`, s.seq, !strings.Contains(r.URL.RawQuery, "after"))
	if s.at != nil {
		text = s.at(n)
	}
	body := io.Reader(strings.NewReader(text))
	switch fate {
	case "silent":
		<-r.Context().Done()
		return nil, r.Context().Err()
	case "silent in its document":
		body = io.MultiReader(strings.NewReader(text[:9]), silence{r.Context()})
	case "reset":
		return nil, errors.New("reset")
	case "spoilt":
		body = strings.NewReader("<html>")
	case "indented":
		body = strings.NewReader("\n\t{ \"seq\" : 41,\r\n  \"whole\": true , \"hosts\" : [\n ]\n}\n")
	case "held": // until its wait is over
		time.Sleep(3500 * time.Millisecond)
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
}

// silence is a body that does not come.
type silence struct{ ctx context.Context }

func (s silence) Read([]byte) (int, error) {
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// watch plays a script and returns when each list and failure was told.
func watch(t *testing.T, pace Timing, s *scripted, until int) (told []time.Time, kinds []balancer.ListKind, lists []engine.List) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	d := New("127.0.0.1:1", pace)
	d.client.Transport = s
	d.Watch(ctx, nil, func(k balancer.ListKind, l engine.List) {
		if len(told) == until {
			return // that it was stopped
		}
		told, kinds, lists = append(told, time.Now()), append(kinds, k), append(lists, l)
		if len(told) == until {
			stop()
		}
	})
	return told, kinds, lists
}

// Wherever a watch falls silent, it is opened anew and answered before what it missed counts
// as told, and with half of the grace of drains to spare where the agent's lists count at once.
func TestSilenceIsFoundInTime(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name  string
		pace  Timing
		fates []string
		kinds []balancer.ListKind
		most  time.Duration // from the call that fell silent until the next list
	}{
		{"asked, right at the start", PollTiming, []string{"answered", "silent"}, []balancer.ListKind{balancer.ListFull, balancer.ListDelta}, 6 * second},
		{"asked, in a document", PollTiming, []string{"answered", "silent in its document"}, []balancer.ListKind{balancer.ListFull, balancer.ListDelta}, 6 * second},
		{"asked, later", PollTiming, []string{"answered", "held", "held", "silent"}, []balancer.ListKind{balancer.ListFull, balancer.ListDelta, balancer.ListDelta, balancer.ListDelta}, 6 * second},
		{"asked, twice in a row: the balancer decides when to ask again", PollTiming, []string{"answered", "silent", "silent"}, []balancer.ListKind{balancer.ListFull, balancer.ListFailed}, 10 * second},
		{"asked, the first call", PollTiming, []string{"silent"}, []balancer.ListKind{balancer.ListFailed}, 6 * second},
		{"pushed, right at the start", PushTiming(second), []string{"answered", "silent"}, []balancer.ListKind{balancer.ListFull, balancer.ListDelta}, second / 2},
		{"pushed, twice in a row", PushTiming(2 * second), []string{"answered", "silent", "silent"}, []balancer.ListKind{balancer.ListFull, balancer.ListFailed, balancer.ListDelta}, 3 * second / 2},
		{"pushed, the first call", PushTiming(second), []string{"silent"}, []balancer.ListKind{balancer.ListFailed, balancer.ListFull}, second / 2},
		{"pushed, in a document", PushTiming(2 * second), []string{"silent in its document"}, []balancer.ListKind{balancer.ListFailed, balancer.ListFull}, second},
		{"pushed, reset", PushTiming(second), []string{"answered", "reset"}, []balancer.ListKind{balancer.ListFull, balancer.ListFailed, balancer.ListDelta}, second / 2},
		{"pushed, no grace told", PushTiming(0), []string{"answered", "silent"}, []balancer.ListKind{balancer.ListFull, balancer.ListDelta}, second / 2},
		{"spoilt, and asked for anew", PushTiming(second), []string{"spoilt"}, []balancer.ListKind{balancer.ListFailed, balancer.ListFull}, second / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{fates: c.fates, seq: 41}
				told, kinds, _ := watch(t, c.pace, s, len(c.kinds))
				if fmt.Sprint(kinds) != fmt.Sprint(c.kinds) {
					t.Fatalf("told %v, want %v; calls %v", kinds, c.kinds, s.calls)
				}
				from := len(c.fates) - 1
				for from > 0 && strings.HasPrefix(c.fates[from-1], "silent") {
					from--
				}
				if took := told[len(told)-1].Sub(s.calls[from].at); took > c.most {
					t.Errorf("the next list after %v, want %v at most", took, c.most)
				}
			})
		})
	}
}

// A watch that is in order asks no more often than its pace says.
func TestQuietWatchCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{fates: []string{"answered", "held", "held", "held", "held"}, seq: 41}
		began := time.Now()
		watch(t, PollTiming, s, 5)
		if took := time.Since(began); len(s.calls) != 5 || took < 14*time.Second || s.calls[1].url != "/registry/instances?after=41&wait_ms=3500" {
			t.Errorf("%d calls in %v: %v", len(s.calls), took, s.calls)
		}
	})
}

// Lists may come indented. A version that goes back is another list's: a whole one is asked
// for, changes to it say nothing. A whole list may have any version.
func TestVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		documents := []string{`{"seq":41,"whole":true,"hosts":[]}`, `{"seq":7,"whole":false,"hosts":[]}`, `{"seq":8,"whole":true,"hosts":[]}`, `{"seq":3,"whole":true,"hosts":[]}`}
		s := &scripted{at: func(n int) string { return documents[n] }}
		_, kinds, lists := watch(t, PollTiming, s, 3)
		if fmt.Sprint(kinds) != fmt.Sprint([]balancer.ListKind{balancer.ListFull, balancer.ListFull, balancer.ListFull}) || lists[1].Version != 8 || lists[2].Version != 3 {
			t.Errorf("told %v, %+v", kinds, lists)
		}
		if s.calls[2].url != "/registry/instances" {
			t.Errorf("after the version that went back: %s", s.calls[2].url)
		}
		s = &scripted{fates: []string{"indented"}}
		if _, kinds, lists = watch(t, PollTiming, s, 1); kinds[0] != balancer.ListFull || lists[0].Version != 41 {
			t.Errorf("indented: told %v, %+v", kinds, lists)
		}
	})
}
