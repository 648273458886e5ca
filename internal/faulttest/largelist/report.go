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
	responseSlack = 550 * time.Millisecond // a request without a response this long after its deadline is lost
	forwardSlack  = 150 * time.Millisecond // an attempt that begins this long after the end of its request is a loss
)

// outcome is the result of a request as observed by its client.
type outcome string

const (
	answered    outcome = "answered"
	cancelled   outcome = "cancelled"    // the client closed the connection early
	unanswered  outcome = "unanswered"   // no complete response within the deadline and responseSlack
	broken      outcome = "broken"       // the connection ended before a complete response
	notAccepted outcome = "not accepted" // no connection could be established, so the sidecar never had the request
)

// result is how and when a request ended.
type result struct {
	outcome   outcome
	at        time.Time // when the request ended
	code      int
	body      string
	keepAlive bool // whether the connection may be reused
}

// request is a client's request with all records of it.
type request struct {
	id          string
	class       class
	cancelAfter time.Duration // when the client cancels the request, 0 if it does not
	sentAt      time.Time     // when the last byte was sent
	result      result

	attempts []time.Time // when servers had received it completely; guarded by the recorder's mutex
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

func (c *recorder) recordResult(q *request, r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q.result = r
}

func (c *recorder) recordAttempt(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q := c.requests[id]; q != nil {
		q.attempts = append(q.attempts, at)
	} else {
		c.unknown++
	}
}

// LossKind is the rule that a loss violates.
type LossKind string

// The kinds of losses.
const (
	NoAnswer      LossKind = "no answer"                // the client received no complete response in time
	WrongAnswer   LossKind = "wrong answer"             // a response with status 200 did not come from a server
	AttemptAfter  LossKind = "attempt after the end"    // an attempt began after the request had ended at the client
	UnknownOrigin LossKind = "attempt without a client" // a server received a request that no client sent
)

// Loss is one violation of a rule.
type Loss struct {
	Kind LossKind
	Text string
}

// Report summarizes a run.
type Report struct {
	Requests    int
	Served      int // with a complete response of a server, before the deadline
	Rejected    int // with status 429 or 503
	Failed      int // with any other status
	Late        int // answered after the deadline, but within responseSlack
	Cancelled   int // by clients before the deadline
	Attempts    int
	Connections int64         // accepted by servers
	ListBytes   int64         // written by discovery
	Processor   time.Duration // used by all sidecars
	PeakMemory  int64         // bytes, of the sidecar that used most
	Descriptors int           // highest number open at the same time in one sidecar
	Losses      []Loss        // violations of the rules
	MaxAttempts int           // highest number of attempts of one request
}

// report checks the records. The sidecars must have exited.
func (r *testRun) report() *Report {
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

// add counts a request and checks whether it violates a rule.
func (p *Report) add(q *request) {
	p.Attempts += len(q.attempts)
	p.MaxAttempts = max(p.MaxAttempts, len(q.attempts))
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
		if q.result.code == http.StatusOK && !q.isServerBody(q.result.body) {
			addLoss(WrongAnswer, "answered 200 with body %q, which no server sent", q.result.body)
		}
	}
	for _, at := range q.attempts {
		if after := at.Sub(q.result.at); after > forwardSlack {
			addLoss(AttemptAfter, "an attempt began %v after the request had ended (%s)",
				after.Round(time.Millisecond), q.result.outcome)
		}
	}
}

// addAnswer counts an answered request by its status and by whether it was late.
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

// isServerBody reports whether a body was sent by a server that received the request.
func (q *request) isServerBody(body string) bool {
	return len(q.attempts) > 0 && strings.HasPrefix(body, q.id+"@")
}

// maxPrintedLosses bounds the losses of each kind that Print prints.
const maxPrintedLosses = 5

// Print writes the report as text.
func (p *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "requests %d: served %d, rejected %d, failed %d, late %d, cancelled %d, lost %d\n",
		p.Requests, p.Served, p.Rejected, p.Failed, p.Late, p.Cancelled, len(p.Losses))
	fmt.Fprintf(out, "attempts %d (most %d), connections %d, list bytes %d, processor %v, memory %d MB, descriptors %d\n",
		p.Attempts, p.MaxAttempts, p.Connections, p.ListBytes, p.Processor.Round(time.Millisecond),
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
