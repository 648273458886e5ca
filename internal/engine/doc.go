// Package engine runs one balancer.Balancer, the decision module: it passes it every event and
// carries out the Actions that it decides on.
//
// # Event loop
//
// One goroutine owns a module and never blocks. It runs Engine.Run, which takes one event after
// the other from a queue; an event is a function of the module's time. Everything that the
// decision module, the request ledger, the endpoint registry and the subset hold is touched by
// that goroutine alone, without locks. Other goroutines hand their events over by Post (waits for
// space in the queue), PostArrival, TryPost (never waits) or Call (waits for the event's end).
// Events that arise within a call of the decision module are deferred until that call has
// returned (Defer), since the module must not be entered again from within. Settings, HasEndpoints,
// Now and WallTime may be called from any goroutine.
//
// On virtual time (Options.Clock) there is no queue: the goroutine of the clock owns the engine,
// and an event runs at once.
//
// # Surroundings
//
// The engine knows its surroundings by the interfaces in interfaces.go alone: a front brings
// requests and takes final answers, an Upstream carries out attempts and health checks, a Source
// supplies the endpoint list. Admission, Subset and KeyLeases are optional.
//
// # A request
//
//  1. A front posts Submit with a Request. Admission may reject it at once.
//  2. The request gets its entry in the ledger, and the decision module decides: it calls actions.Send,
//     Reject or Fail.
//  3. Send makes an Attempt. Where the request's idempotency key must be leased, the attempt
//     waits for the lease (keylease.go); then the request's Carrier gets it.
//  4. The Carrier posts the attempt's Result. The engine passes a successful answer to
//     Request.Respond, and the outcome to the decision module, which may send a further attempt.
//  5. Once the final answer is out and no attempt is pending, the entry leaves the ledger.
//
// # An endpoint list
//
//  1. A goroutine per watch reads from the Source and posts snapshots and changes (discovery.go).
//  2. The Subset, if any, reduces them to the selected servers (subset.go).
//  3. The registry gives each endpoint a number that is never reused, and keeps its Target, which
//     is closed once the endpoint drains, restarts, moves or is removed (registry.go).
//  4. The decision module gets the entries.
//
// # Files
//
//	interfaces.go  what surrounds the engine: carrier, upstream, source, decider, admission, subset, key leases
//	options.go     Options and RuntimeSettings
//	engine.go      Engine: New, Start, Run, Configure
//	loop.go        the event loop
//	lateness.go    how long events wait, and what is rejected for that
//	clock.go       time of the system and of the decision module
//	ledger.go      requests, from Submit to the final answer
//	attempt.go     attempts, from Send to their outcome
//	actions.go     what the decision module decides on
//	keylease.go    leases of idempotency keys
//	endpoint.go    Host, List and Target
//	registry.go    endpoints by number, name and address
//	listparts.go   long lists, taken in by parts
//	discovery.go   watches of the source, endpoint lists
//	subset.go      selection of a part of the fleet
package engine
