package wire

import (
	"fmt"

	"pinedale/balancer"
)

// Bits of the options of a request record.
const (
	optionHasWorkHint uint8 = 1 << iota
	optionClientRetry
	optionWrite
)

// States of endpoints in a manifest record.
const (
	stateReady    = 0
	stateDraining = 1
	stateRemoved  = 3
)

// Kinds of list in a membership record.
const (
	kindDelta  = 0
	kindFailed = 2
	kindCached = 3
	kindFull   = 4
)

// Statuses of attempts and health checks.
const (
	statusOK            = 200
	statusNotSent       = 410
	statusCancelled     = 499
	statusError         = 500
	statusConnectFailed = 502
	statusFull          = 503
	statusTimeout       = 504
	statusReset         = 598
)

// endpointState reads the state of an endpoint.
func (d *Decoder) endpointState() balancer.State {
	code := d.uint8()
	switch code {
	case stateReady:
		return balancer.Ready
	case stateDraining:
		return balancer.Draining
	case stateRemoved:
		return balancer.Removed
	}
	d.failAtLast(1, fmt.Sprintf("unknown endpoint status %d", code))
	return balancer.Ready
}

// listKind reads the kind of a list.
func (d *Decoder) listKind() balancer.ListKind {
	code := d.uint8()
	switch code {
	case kindDelta:
		return balancer.ListDelta
	case kindFull:
		return balancer.ListFull
	case kindCached:
		return balancer.ListCached
	case kindFailed:
		return balancer.ListFailed
	}
	d.failAtLast(1, fmt.Sprintf("unknown kind %d", code))
	return balancer.ListFailed
}

// status reads the status of an attempt or a health check.
func (d *Decoder) status() balancer.Status {
	code := d.uint16()
	switch code {
	case statusOK:
		return balancer.OK
	case statusError:
		return balancer.Error
	case statusFull:
		return balancer.Full
	case statusTimeout:
		return balancer.Timeout
	case statusConnectFailed:
		return balancer.ConnectFailed
	case statusReset:
		return balancer.Reset
	case statusCancelled:
		return balancer.Cancelled
	case statusNotSent:
		return balancer.NotSent
	}
	d.failAtLast(2, fmt.Sprintf("unknown status %d", code))
	return balancer.Error
}
