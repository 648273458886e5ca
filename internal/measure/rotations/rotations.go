// Package rotations measures whether requests fail while certificates change. It runs a complete pinedale-proxy between
// clients and servers, with TLS on both sides, and replaces the certificates and roots of either side repeatedly.
//
//	rotations.go  Options, Run and its result
//	rig.go        the proxy, the servers and their certificates
//	rotate.go     the changes of certificates and roots
//	load.go       the clients
package rotations

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/measure/harness"
	"pinedale/internal/upstream/secure"
)

// Options configure a measurement.
type Options struct {
	Rotations int // changes of certificates or roots, on either side in turn
	HTTP3     bool
	Clients   int           // concurrent
	Servers   int           // of the fleet
	Settle    time.Duration // between two changes; connections are replaced within it
	Dir       string        // for the files
}

// Result is the result of a measurement.
type Result struct {
	Rotations        int
	Requests         int
	Failed           map[string]int // requests by the error or status that the client got
	Duplicates       []string       // effects that were executed more than once
	Upstream         secure.Counters
	Stores           map[string]certstore.Counters // by name of the keys
	ClientHandshakes int                           // of the clients with the front
}

// Run runs the measurement.
func Run(o Options) (result *Result, err error) {
	defer recoverError(&err)
	r, err := newTestbed(o)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, r.close()) }()
	l := newLoad(r)
	clients := harness.StartClients(o.Clients, l.run)
	rotations, err := r.rotateAll()
	clients.Stop()
	if err != nil {
		return nil, err
	}
	result = &Result{
		Rotations:        rotations,
		Requests:         l.requests,
		Failed:           l.failed,
		Duplicates:       r.backends.DuplicateEffects(),
		Stores:           r.instance.Keys(),
		ClientHandshakes: int(l.handshakes.Load()),
	}
	result.Upstream, _ = r.instance.HandshakeCounters()
	return result, nil
}

// recoverError sets err to the error that package ca panics with, unless it is set.
func recoverError(err *error) {
	if cause, ok := recover().(error); ok && *err == nil {
		*err = cause
	}
}

// cancelledHandshake is the failure reason of a handshake that was cancelled, as no request waited for it any more.
const cancelledHandshake = "called off"

// Violation describes the rules that were violated, "" for none.
func (r *Result) Violation() string {
	var violations []string
	for reason, count := range r.Failed {
		violations = append(violations, fmt.Sprintf("%d requests failed: %s", count, reason))
	}
	if len(r.Duplicates) > 0 {
		violations = append(violations, fmt.Sprintf("%d effects were executed more than once", len(r.Duplicates)))
	}
	for reason, count := range r.Upstream.Failed {
		if reason != cancelledHandshake {
			violations = append(violations, fmt.Sprintf("%d handshakes failed: %s", count, reason))
		}
	}
	return strings.Join(violations, "; ")
}

// Print writes the result as text.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%d rotations under %d requests: %d failed, %d duplicate effects\n",
		r.Rotations, r.Requests, sum(r.Failed), len(r.Duplicates))
	fmt.Fprintf(w, "handshakes with servers: %d full, %d resumed, %d failed; with clients: %d\n",
		r.Upstream.Full, r.Upstream.Resumed, sum(r.Upstream.Failed), r.ClientHandshakes)
	turns := r.Upstream.Turns
	fmt.Fprintf(w, "handshake budget: %d immediate, %d delayed, %d rejected, %d deferred\n",
		turns.Immediate, turns.Delayed, turns.Rejected, turns.Deferred)
	for name, store := range r.Stores {
		fmt.Fprintf(w, "keys %q: %d changes accepted, %d rejected\n", name, store.Accepted, store.Rejected)
	}
}

func sum(counts map[string]int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}
