// Package endpointremoval runs seeded scripts of faults of a coordination service against a complete pinedale-proxy
// under load, and measures the time from the removal of a server's node to the last request at the server.
//
//	endpointremoval.go  Options, Run and its report
//	script.go           one script: the servers, the service, the proxy and its load
//	steps.go            the steps of a script
package endpointremoval

import (
	"fmt"
	"io"
	"sync"
	"time"

	"pinedale/internal/measure/harness"
)

// Options configure a measurement.
type Options struct {
	Scripts  int
	Parallel int // scripts that run concurrently
	Servers  int // at the start of each script
	Steps    int // of each script
	Seed     uint64

	// Discovery has servers listed by discovery only. Like the discovery of the platform, it publishes each removal after
	// 0.6 to 5 s.
	Discovery bool
}

// maxRemovalDelay is how long a server may get requests after its node was removed. It does not apply to removals by
// discovery, which count from when they are published.
const maxRemovalDelay = 2 * time.Second

// Report is the result of a measurement.
type Report struct {
	Scripts  int
	Removals []time.Duration // from the removal of a node to the last request at its server; 0 if there was none
	Late     int             // of these, longer than maxRemovalDelay
	Silences int             // steps in which the service did not respond or lost its nodes
	Evicted  int             // servers that got no requests because of such a step
	Requests int
	Failed   int // requests that were not served
	Steps    map[stepKind]int
}

// Run runs the scripts.
func Run(o Options) (*Report, error) {
	report := &Report{Scripts: o.Scripts, Steps: map[stepKind]int{}}
	var mu sync.Mutex
	err := harness.ForEach(o.Scripts, o.Parallel, func(number int) error {
		s := newScript(&o, number)
		err := s.run()
		mu.Lock()
		defer mu.Unlock()
		report.add(s)
		if err != nil {
			return fmt.Errorf("script %d: %w", number, err)
		}
		return nil
	})
	return report, err
}

// add adds the result of a script.
func (r *Report) add(s *script) {
	r.Removals = append(r.Removals, s.removals...)
	r.Late += s.late
	r.Silences += s.silences
	r.Evicted += s.evicted
	r.Requests += int(s.requests.Load())
	r.Failed += int(s.failed.Load())
	for kind, count := range s.steps {
		r.Steps[kind] += count
	}
}

// Violation describes the rule that was violated, "" for none.
func (r *Report) Violation() string {
	switch {
	case r.Late > 0:
		return fmt.Sprintf("%d servers got a request more than 2 s after the removal of their node", r.Late)
	case r.Evicted > 0:
		return fmt.Sprintf("%d servers got no requests while the service did not respond or had lost its nodes", r.Evicted)
	}
	return ""
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	percentile := func(percent int) time.Duration {
		return harness.Percentile(r.Removals, percent).Round(time.Microsecond)
	}
	fmt.Fprintf(w, "%d scripts, %d requests, %d not served; steps %v\n", r.Scripts, r.Requests, r.Failed, r.Steps)
	fmt.Fprintf(w, "%d removals: last request after the removal, median %v, 99th percentile %v, maximum %v; over 2 s %d\n",
		len(r.Removals), percentile(50), percentile(99), percentile(100), r.Late)
	fmt.Fprintf(w, "%d outages and losses of nodes: evicted servers %d\n", r.Silences, r.Evicted)
}
