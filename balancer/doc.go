// Package balancer makes the decisions of a client-side load balancer that runs as a sidecar: which endpoint a request
// is sent to, whether it is retried, hedged or rejected, which endpoints are probed, and when discovery is polled.
//
// A Balancer is a deterministic state machine. It does no I/O, starts no goroutine and reads no clock: its host
// calls one method per event, with the instant of the event, from one goroutine at a time, and carries out the
// Actions that the balancer calls before the method returns. The same seed and the same events give the same
// actions. All state is in memory and is lost with the process.
//
// Events: Start, HandleRequest, ResponseStarted, AttemptCompleted, ClientDisconnected and Expire for requests;
// UpdateEndpoints for discovery; ProbeCompleted for probes; TimerFired for timers that the balancer has set.
//
// Actions: Send, Cancel, Reject and Fail for requests; Probe; Watch for discovery; Timer; Log.
//
// Rules, enforced in balancer.go regardless of all statistics:
//
//   - No request takes effect twice: an attempt that may have run is repeated only as the Idempotency of its class
//     permits, within the group of endpoints and the time window in which duplicates are dropped.
//   - No request is lost: each has exactly one final answer, which is given, or starts to be streamed, by its deadline.
//   - Nothing is sent to a draining or removed endpoint.
//   - An endpoint in slow start is sent work only in proportion to the capacity that it has so far.
//
// Decisions, by file:
//
//   - balancer.go: start, the rules, and the only function that sends.
//   - attempts.go: what happens to a new request and after an attempt; retries and their budget.
//   - rejection.go: which requests would be answered too late to be worth their work, Retry-After, and priorities.
//   - hedging.go: planned hedges, hedges of attempts that seem dropped, and deadlines.
//   - pick.go: choice of an endpoint among probed, random, recently used and key-owning ones.
//   - prediction.go: the latency expected of an endpoint.
//   - learning.go: how outcomes update the statistics of endpoint, kind, fleet and class.
//   - probes.go: probing in rounds and on demand, and load reports, after Prequal (Wydrowski et al., "Load is not
//     what you should balance", NSDI 2024).
//   - breaker.go: the adaptive breaker of go-zero. ejection.go: outlier ejection.
//   - slowstart.go: slow start of new processes. members.go: membership events. polling.go: polling of discovery.
//   - keys.go: owners of keys, for endpoints that cache by key.
//   - idempotency_keys.go: from when on the deduplication window of a key counts, over all its requests.
//
// Types of events and actions are defined in api.go, those of settings in settings.go. These files hold records and
// make no decisions: ledger.go for requests and attempts, endpoints.go, endpointset.go, budgets.go, probe_pool.go,
// key_records.go, generations.go, breaker_window.go, estimates.go for statistics from outcomes, averages.go, random.go
// and eventlog.go.
//
// Times are in microseconds, rates per second, ratios from 0 to 1. Work is the time in microseconds that a request
// takes at an average endpoint without a queue. Slowness is the time that an endpoint takes per unit of work, 1 at
// the average endpoint.
package balancer
