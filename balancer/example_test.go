package balancer_test

import (
	"fmt"

	"pinedale/balancer"
)

// host prints the actions of a balancer. A sidecar would carry them out.
type host struct{ sent []uint32 }

func (h *host) Send(id uint64, endpoint uint32, timeout, by balancer.Micros) {
	h.sent = append(h.sent, endpoint)
	fmt.Printf("send request %d to endpoint %d\n", id, endpoint)
}
func (h *host) Reject(id uint64, after balancer.Micros) { fmt.Printf("reject request %d\n", id) }
func (h *host) Fail(id uint64)                          { fmt.Printf("fail request %d\n", id) }
func (h *host) Cancel(id uint64, attempt int)           {}
func (h *host) Timer(balancer.Micros, uint32)           {}
func (h *host) Probe(endpoint uint32)                   {}
func (h *host) Watch(on bool)                           {}
func (h *host) Log(event string, attributes ...any) {
	fmt.Println(append([]any{event}, attributes...)...)
}

func Example() {
	settings := balancer.Settings{
		Balancers: 1,
		Classes: []balancer.Class{{
			Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 200_000, ClientTimeout: 800_000,
			PriorityWeight: 1,
		}},
		Fields:   []balancer.Field{balancer.FieldInFlight},
		Limits:   balancer.Limits{Probes: true, MaxAttempts: 2, MaxOpen: 1000},
		Contract: balancer.Contract{SlowStartRatio: 0.2, SlowStartTime: 10_000_000, OverloadMultiple: 2.5},
		Goal:     balancer.Goal{Overall: 1},
	}
	h := &host{}
	b, err := balancer.New(settings, 1, h)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(0)
	b.UpdateEndpoints(0, balancer.ListCached, []balancer.Endpoint{{ID: 7}, {ID: 8}})
	b.ProbeCompleted(1_000, 7, balancer.OK, 500, []float32{2}) // endpoint 7 has two requests in flight
	b.ProbeCompleted(1_000, 8, balancer.OK, 500, []float32{0}) // endpoint 8 has none

	b.HandleRequest(2_000, balancer.Request{ID: 1, Deadline: 802_000})
	b.AttemptCompleted(3_000, balancer.Outcome{ID: 1, Endpoint: 8, Status: balancer.Error, Latency: 1_000})
	b.AttemptCompleted(40_000, balancer.Outcome{
		ID: 1, Attempt: 1, Endpoint: 7, Status: balancer.OK, Latency: 37_000, Settled: true,
	})

	b.UpdateEndpoints(50_000, balancer.ListDelta, []balancer.Endpoint{
		{ID: 7, State: balancer.Removed},
		{ID: 8, State: balancer.Draining},
	})
	b.HandleRequest(60_000, balancer.Request{ID: 2, Deadline: 860_000})
	// Output:
	// send request 1 to endpoint 8
	// endpoint ejected endpoint 8 failure_ratio 0.5 count 1
	// send request 1 to endpoint 7
	// request retried request 1 endpoint 8 status error count 1
	// request rejected request 2 reason no endpoint available attempts 0 count 1
	// reject request 2
}
