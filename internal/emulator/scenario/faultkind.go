package scenario

import (
	"maps"
	"slices"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults, by their names in a file.
const (
	FaultFailFast       FaultKind = "fail_fast" // servers fail a ratio of requests at once and appear healthy
	FaultNoResponse     FaultKind = "swallow"   // servers never answer a ratio of requests
	FaultUnresponsive   FaultKind = "silent"    // servers answer neither requests nor probes
	FaultSlow           FaultKind = "slow"      // servers work slower and answer probes as before
	FaultCrash          FaultKind = "crash"     // servers end without a drain and restart with slow start
	FaultReset          FaultKind = "break"     // a ratio of requests loses its connection once its work is done
	FaultSiteOutage     FaultKind = "cut_off"   // no server of a site answers
	FaultSurge          FaultKind = "surge"     // the request rate is multiplied
	FaultCostSurge      FaultKind = "costly"    // the work of a ratio of a class's requests is multiplied
	FaultServerStart    FaultKind = "start"     // servers join the fleet with slow start
	FaultDrain          FaultKind = "drain"     // servers drain one after the other and stop
	FaultInstanceKill   FaultKind = "kill"      // instances end without a drain and restart without state
	FaultKeyRotation    FaultKind = "rotate"    // connections are replaced after a key rotation
	FaultRollingRestart FaultKind = "restart"   // servers drain one after the other, stop and restart with slow start
)

// faultKeys are the keys of a fault that depend on its kind.
type faultKeys struct {
	until, affectedRatio, requestRatio, factor, class, site bool // required
	restartDelay                                            bool // optional
}

// keysByKind lists the keys that each kind of fault uses.
var keysByKind = map[FaultKind]faultKeys{
	FaultFailFast:       {until: true, affectedRatio: true, requestRatio: true},
	FaultNoResponse:     {until: true, affectedRatio: true, requestRatio: true},
	FaultUnresponsive:   {until: true, affectedRatio: true},
	FaultSlow:           {until: true, affectedRatio: true, factor: true},
	FaultCrash:          {affectedRatio: true, restartDelay: true},
	FaultReset:          {until: true, affectedRatio: true, requestRatio: true},
	FaultSiteOutage:     {until: true, site: true},
	FaultSurge:          {until: true, factor: true},
	FaultCostSurge:      {until: true, requestRatio: true, factor: true, class: true},
	FaultServerStart:    {affectedRatio: true},
	FaultDrain:          {affectedRatio: true},
	FaultInstanceKill:   {affectedRatio: true},
	FaultKeyRotation:    {until: true},
	FaultRollingRestart: {until: true, affectedRatio: true, restartDelay: true},
}

// faultKinds returns the known kinds in alphabetical order.
func faultKinds() []FaultKind {
	return slices.Sorted(maps.Keys(keysByKind))
}
