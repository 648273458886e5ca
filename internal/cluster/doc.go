// Package cluster connects the instances of pinedale-proxy with each other. Each instance runs
// one Node, which combines
//
//   - membership: memberlist (SWIM) detects which instances are alive and carries the
//     messages, encrypted with its keyring (membership.go, transport.go);
//   - key leases: before a request with an idempotency key is sent, a majority of the key's
//     voters grants the instance a lease (leases.go, decision.go, package keylease);
//   - replication: instances exchange the outcomes of their attempts per server, by rumours and
//     by anti-entropy (gossip.go, records.go, tallies.go, package replication);
//   - drain advisories: a server that other instances report as draining gets no new requests,
//     even if this instance's endpoint list has it as ready (drains.go, package drainadvisory);
//   - a status over HTTP (status.go).
//
// One goroutine, Node.run, owns the modules' state (run.go). The engine queues lease requests
// without waiting and receives the decision as a posted event. Messages from peers are queued,
// and dropped if the queue is full. Nothing is stored on disk: a restarted instance has a new
// epoch and grants no leases until those that it may have granted before have expired.
//
// An instance that cannot reach any other instance decides alone, except that it denies requests
// of classes with AgreeAlways. No decision is proof that a request has not been executed.
package cluster
