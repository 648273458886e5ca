package largelist

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	answerSlack  = 550 * time.Millisecond // after its time a request that has no final answer yet is lost
	forwardSlack = 150 * time.Millisecond // after its end an attempt that begins is a lost request
)

// outcome is how a request ended at its client.
type outcome string

const (
	answered    outcome = "answered"
	cancelled   outcome = "cancelled"    // the client closed the connection early
	unanswered  outcome = "unanswered"   // no complete response in its time
	broken      outcome = "broken"       // the connection ended with no complete response
	notAccepted outcome = "not accepted" // no connection, so that it was never taken
)

// result is the end of a request.
type result struct {
	outcome   outcome
	at        time.Time
	code      int
	body      string
	keepAlive bool // the connection may be used again
}

// request is a client's request with all that was recorded of it.
type request struct {
	id          string
	class       class
	leavesAfter time.Duration // 0 for a client that stays
	sentAt      time.Time     // of its last byte
	result      result

	attempts []time.Time // when servers had read it; guarded by the recorder
}

// recorder holds the records of clients and servers.
type recorder struct {
	mu       sync.Mutex
	requests map[string]*request
	unknown  int // attempts of requests that no client sent
}

func (c *recorder) add(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[q.id] = q
}

func (c *recorder) ended(q *request, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.result = r
}

func (c *recorder) attempted(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.requests[id]; q != nil {
		q.attempts = append(q.attempts, at)
	} else {
		c.unknown++
	}
}

// LossKind is the way in which a request was lost.
type LossKind string

// The kinds of losses.
const (
	NoAnswer      LossKind = "no answer"                // none that is complete in its time
	WrongAnswer   LossKind = "wrong answer"             // served with what no server made
	AttemptAfter  LossKind = "attempt after the end"    // it began after the answer, or after the client had left
	UnknownOrigin LossKind = "attempt without a client" // of a request that no client sent
)

// Loss is one broken rule.
type Loss struct {
	Kind LossKind
	Text string
}

// Report is what came of a run.
type Report struct {
	Requests     int
	Served       int // with a complete answer of a server in time
	Rejected     int // 429 and 503
	Failed       int // any other code
	Late         int // answered after their time, within the slack
	Cancelled    int // by clients that did not wait
	Attempts     int
	Connections  int64         // accepted by servers
	ListBytes    int64         // written by discovery
	Processor    time.Duration // used by all sidecars
	PeakMemory   int64         // bytes, of the largest sidecar
	Descriptors  int           // most open at once in one sidecar
	Losses       []Loss        // each broken rule
	LongestRetry int           // most attempts of one request
}

// report checks the records. The sidecars have ended.
func (r *rig) report() *Report {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	report := &Report{
		Requests:    len(r.recorder.requests),
		Connections: r.servers.conns.Load(),
		ListBytes:   r.discovery.ListBytes.Load(),
	}
	for _, s := range r.sidecars {
		report.Processor += s.processorTime()
		report.PeakMemory = max(report.PeakMemory, s.peakMemory)
		report.Descriptors = max(report.Descriptors, s.maxDescriptors)
	}
	if n := r.recorder.unknown; n > 0 {
		report.Losses = append(report.Losses, Loss{UnknownOrigin, fmt.Sprintf("%d attempts", n)})
	}
	for _, q := range r.recorder.requests {
		report.add(q)
	}
	slices.SortFunc(report.Losses, func(a, b Loss) int { return cmp.Compare(a.Text, b.Text) })
	return report
}

// add counts a request and checks the rules on it.
func (p *Report) add(q *request) {
	p.Attempts += len(q.attempts)
	p.LongestRetry = max(p.LongestRetry, len(q.attempts))
	addLoss := func(kind LossKind, format string, values ...any) {
		text := fmt.Sprintf("%s %s (%d attempts): ", q.id, q.class.name, len(q.attempts))
		p.Losses = append(p.Losses, Loss{kind, text + fmt.Sprintf(format, values...)})
	}
	took := q.result.at.Sub(q.sentAt)
	switch q.result.outcome {
	case unanswered, broken:
		addLoss(NoAnswer, "%s after %v", q.result.outcome, took.Round(time.Millisecond))
	case cancelled:
		p.Cancelled++
	case answered:
		p.addAnswer(q, took)
		if q.result.code == http.StatusOK && !q.servedAs(q.result.body) {
			addLoss(WrongAnswer, "answered 200 with %q, which no server made", q.result.body)
		}
	}
	for _, at := range q.attempts {
		if after := at.Sub(q.result.at); after > forwardSlack {
			addLoss(AttemptAfter, "an attempt began %v after its end (%s)", after.Round(time.Millisecond), q.result.outcome)
		}
	}
}

// addAnswer counts an answer by its code.
func (p *Report) addAnswer(q *request, took time.Duration) {
	switch {
	case took > q.class.deadline:
		p.Late++
	case q.result.code == http.StatusOK:
		p.Served++
	case q.result.code == http.StatusServiceUnavailable || q.result.code == http.StatusTooManyRequests:
		p.Rejected++
	default:
		p.Failed++
	}
}

// servedAs reports whether a body is that of a server that has read the request.
func (q *request) servedAs(body string) bool {
	return len(q.attempts) > 0 && strings.HasPrefix(body, q.id+"@")
}

// maxPrintedLosses bounds the losses of each kind that Print prints.
const maxPrintedLosses = 5

// Print writes the report as text.
func (p *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "requests %d: served %d, rejected %d, failed %d, late %d, left %d, lost %d\n",
		p.Requests, p.Served, p.Rejected, p.Failed, p.Late, p.Cancelled, len(p.Losses))
	fmt.Fprintf(out, "attempts %d (most %d), connections %d, list bytes %d, processor %v, memory %d MB, descriptors %d\n",
		p.Attempts, p.LongestRetry, p.Connections, p.ListBytes, p.Processor.Round(time.Millisecond),
		p.PeakMemory>>20, p.Descriptors)
	kinds := map[LossKind]int{}
	for _, loss := range p.Losses {
		if kinds[loss.Kind]++; kinds[loss.Kind] <= maxPrintedLosses {
			fmt.Fprintf(out, "  lost, %s: %s\n", loss.Kind, loss.Text)
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(out, "  lost, %s: %d\n", kind, kinds[kind])
	}
}
