package schedule

import (
	"fmt"
	"slices"
	"time"

	"pinedale/internal/tomlfile"
)

// The bounds of a schedule: what one machine can run.
const (
	minInstances    = 3
	maxInstances    = 24
	minServers      = 2
	maxServers      = 48
	maxLoadDuration = 10 * time.Minute
	maxRate         = 2000
)

// agreements are the valid values of Schedule.Agreement.
var agreements = []Agreement{AgreeNever, AgreeSoon, AgreeAlways}

// requireFunc records an error for a key unless ok.
type requireFunc func(ok bool, key, format string, args ...any)

// Validate returns a *tomlfile.Error for the first invalid key of the schedule, nil if all are valid.
func (s *Schedule) Validate() error {
	var first error
	s.validate(func(ok bool, key, format string, args ...any) {
		if !ok && first == nil {
			first = &tomlfile.Error{Key: key, Reason: fmt.Sprintf(format, args...)}
		}
	})
	return first
}

// validate checks all keys of the schedule.
func (s *Schedule) validate(require requireFunc) {
	loadDuration := time.Duration(s.LoadDuration)
	require(s.Version == currentVersion, "version",
		"%d is not a known version of this file; this program reads %d", s.Version, currentVersion)
	require(s.Instances >= minInstances && s.Instances <= maxInstances, "instances",
		"%d is not in %d to %d", s.Instances, minInstances, maxInstances)
	require(s.Servers >= minServers && s.Servers <= maxServers, "servers",
		"%d is not in %d to %d", s.Servers, minServers, maxServers)
	require(loadDuration > 0 && loadDuration <= maxLoadDuration, "length",
		"%v is not over 0 and up to %v", loadDuration, maxLoadDuration)
	require(s.Rate > 0 && s.Rate <= maxRate, "rate",
		"%v is not over 0 and up to %d", s.Rate, maxRate)
	require(slices.Contains(agreements, s.Agreement), "agree",
		"%q is not one of never, soon, always", s.Agreement)
	processes := s.processNames()
	for i := range s.Faults {
		validator := faultValidator{
			fault:        &s.Faults[i],
			table:        fmt.Sprintf("fault[%d]", i),
			loadDuration: loadDuration,
			processes:    processes,
			requireKey:   require,
		}
		validator.validate()
	}
}

// processNames holds the names of all processes that can be targets of faults.
type processNames struct {
	instances, servers map[string]bool
}

// processNames returns the names of the schedule's processes, up to maxInstances and maxServers of them.
func (s *Schedule) processNames() processNames {
	names := processNames{instances: map[string]bool{}, servers: map[string]bool{}}
	for i := range min(max(0, s.Instances), maxInstances) {
		names.instances[InstanceName(i)] = true
	}
	for i := range min(max(0, s.Servers), maxServers) {
		names.servers[ServerName(i)] = true
	}
	return names
}

// hasPath reports whether a network path leads from one endpoint to another.
func (n processNames) hasPath(from, to string) bool {
	if n.instances[to] {
		return to != from
	}
	return (n.servers[to] || to == Discovery) && from != Clients
}

// faultValidator checks one fault of a schedule.
type faultValidator struct {
	fault        *Fault
	table        string // key of the fault's table in the file
	loadDuration time.Duration
	processes    processNames
	requireKey   requireFunc
}

// require records an error for a key of the fault unless ok.
func (v *faultValidator) require(ok bool, key, format string, args ...any) {
	v.requireKey(ok, v.table+"."+key, format, args...)
}

// validate checks all keys of the fault.
func (v *faultValidator) validate() {
	kind := v.fault.Kind
	v.require(kind.affectsProcess() || kind.affectsPath(), "kind",
		"%q is not one of %v", kind, slices.Concat(processKinds, pathKinds))
	v.validateTimes()
	v.validateParameters()
	v.validateEndpoints()
}

// validateTimes checks the start and the duration.
func (v *faultValidator) validateTimes() {
	fault := v.fault
	v.require(fault.Start >= 0 && fault.Duration >= 0 && fault.EndTime() <= v.loadDuration, "for",
		"the fault ends %v after the start of the load, and the load lasts %v", fault.EndTime(), v.loadDuration)
	v.require(fault.Duration > 0 || fault.Kind == ResetConnections, "for",
		"missing duration: a fault of kind %q needs one", fault.Kind)
}

// validateParameters checks the probability and the delay, which must be set for some kinds and unset for others.
func (v *faultValidator) validateParameters() {
	fault := v.fault
	inRange := fault.Probability >= 0 && fault.Probability <= 1
	v.require(inRange && (fault.Probability > 0) == fault.Kind.hasProbability(), "share",
		"%v is not valid for a fault of kind %q", fault.Probability, fault.Kind)
	v.require(fault.Delay >= 0 && (fault.Delay > 0) == (fault.Kind == Latency), "delay",
		"%v is not valid for a fault of kind %q", time.Duration(fault.Delay), fault.Kind)
}

// validateEndpoints checks the names of the process or of both ends of the path.
func (v *faultValidator) validateEndpoints() {
	target, destination, kind := v.fault.Target, v.fault.Destination, v.fault.Kind
	switch {
	case kind == StopServer || kind == DrainServer:
		v.require(v.processes.servers[target], "of", "%q is not a server", target)
	case kind.affectsProcess():
		v.require(v.processes.instances[target], "of", "%q is not an instance", target)
	case kind.affectsPath():
		v.require(v.processes.instances[target] || target == Clients, "of",
			"%q is neither an instance nor %s", target, Clients)
		v.require(v.processes.hasPath(target, destination), "to",
			"there is no network path from %q to %q", target, destination)
	}
	v.require(kind.affectsPath() || destination == "" && !v.fault.Bidirectional, "to",
		"a fault of kind %q affects one process and has no path", kind)
}
