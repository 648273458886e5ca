// Package cluster connects the instances of pinedale-proxy with each other. Each instance runs
// one Node, which combines
//
//   - membership: memberlist (SWIM) finds out which instances are alive and carries the
//     messages, encrypted with its keyring (membership.go, transport.go);
//   - key leases: before a keyed request is sent, a majority of the key's voters grants the
//     instance a lease (leases.go, package keylease);
//   - replication: instances tell each other how servers have fared, by rumours and by
//     anti-entropy (gossip.go, records.go, package replication);
//   - drain advisories: servers that others know to drain are held back although the own
//     endpoint list has them as ready (drains.go, package drainadvisory);
//   - a status over HTTP (status.go).
//
// One goroutine, Node.run, owns the modules' state. The engine hands it lease requests without
// waiting and receives the decision as a posted event. Messages from peers wait in a bounded
// queue and are dropped when it is full. Nothing is stored on disk: a restarted instance has a
// new epoch and grants no leases until those that it may have granted before have expired.
//
// An instance that reaches no other decides as if it were alone, except for requests of classes
// with AgreeAlways, which it denies. Nothing here proves that a request has not been executed.
package cluster
