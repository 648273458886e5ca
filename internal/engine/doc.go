// Package engine runs one balancer.Balancer, the decision module: it passes every event to the module
// and carries out the Actions that the module decides on.
//
// # Event loop
//
// One goroutine owns a module and never blocks. It runs Engine.Run, which takes one event after
// the other from a queue; an event is a function that is called with the module's time. Only that
// goroutine accesses the state of the decision module, the request ledger, the endpoint registry and
// the subset, so none of them is locked. Other goroutines pass their events by Post (waits for
// space in the queue), PostArrival, TryPost (never waits) or Call (waits for the event's end).
// Events that arise within a call of the decision module are deferred until that call has
// returned (Defer), since the module must not be entered again from within. Settings, HasEndpoints,
// Now and WallTime may be called from any goroutine.
//
// On virtual time (Options.Clock) there is no queue: the goroutine of the clock owns the engine,
// and an event runs at once.
//
// # Interfaces
//
// The engine depends on its surroundings only through the interfaces in interfaces.go: a front submits
// requests and receives final answers, an Upstream carries out attempts and health checks, a Source
// supplies the endpoint list. Admission, Subset and KeyLeases are optional.
//
// # A request
//
//  1. A front posts Submit with a Request. Admission may reject it at once.
//  2. The request is entered in the ledger, and the decision module decides: it calls actions.Send,
//     Reject or Fail.
//  3. Send creates an Attempt. If the request's idempotency key must be leased, the attempt
//     waits for the lease (keylease.go); then it is passed to the request's Carrier.
//  4. The Carrier posts the attempt's Result. The engine passes a successful answer to
//     Request.Respond, and the outcome to the decision module, which may send another attempt.
//  5. Once the final answer is given and no attempt is pending, the entry is removed from the ledger.
//
// # An endpoint list
//
//  1. A goroutine per watch reads from the Source and posts snapshots and changes (discovery.go).
//  2. The Subset, if any, reduces them to the selected servers (subset.go).
//  3. The registry gives each endpoint a number that is never reused, and keeps its Target, which
//     is closed once the endpoint drains, restarts, moves or is removed (registry.go).
//  4. The decision module is updated with the entries.
//
// # Files
//
//	interfaces.go  interfaces of the engine: carrier, upstream, source, decider, admission, subset, key leases
//	options.go     Options and RuntimeSettings
//	engine.go      Engine: New, Start, Run, Configure
//	loop.go        the event loop
//	lateness.go    delay of queued events, and rejection of requests that it leaves no time for
//	clock.go       conversion between the system's time and the decision module's
//	ledger.go      requests, from Submit to the final answer
//	attempt.go     attempts, from Send to their outcome
//	actions.go     actions of the decision module
//	keylease.go    leases of idempotency keys
//	endpoint.go    Host, List and Target
//	registry.go    endpoints by number, name and address
//	listparts.go   long lists, applied in parts
//	discovery.go   endpoint lists, replacement of the source
//	sourcewatch.go watches of the source and of replaced ones
//	replaced.go    lists of sources that have been replaced
//	subset.go      restriction to a selected part of the fleet
package engine
