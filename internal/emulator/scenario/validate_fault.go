package scenario

import (
	"slices"
	"strings"
	"time"
)

// maxFactor limits the factor of a surge or a slowdown.
const maxFactor = 1000

// validateFault checks one fault; prefix is the path of its keys.
func (v *validator) validateFault(prefix string, fault *Fault) {
	keys, knownKind := keysByKind[fault.Kind]
	v.Require(knownKind, prefix+"kind", "%q is not one of %s", fault.Kind, joinKinds(faultKinds()))
	v.Require(fault.From >= 0 && fault.From < v.scenario.Length, prefix+"from", "%v is not within the run of %v",
		time.Duration(fault.From), time.Duration(v.scenario.Length))
	untilOmitted := !keys.until && fault.Until == 0
	v.Require(fault.Until > fault.From || untilOmitted, prefix+"until", "%v is not after from, which is %v",
		time.Duration(fault.Until), time.Duration(fault.From))
	if keys.affectedRatio {
		v.requirePositive(prefix+"part", fault.AffectedRatio, 1)
	}
	if keys.requestRatio {
		v.requirePositive(prefix+"share", fault.RequestRatio, 1)
	}
	if keys.factor {
		v.requirePositive(prefix+"factor", fault.Factor, maxFactor)
	}
	if keys.class {
		known := v.scenario.classIndex(fault.Class) >= 0
		v.Require(known, prefix+"class", "%q is not a class of this file", fault.Class)
	}
	if keys.site {
		v.requireSite(prefix+"site", fault.Site)
	}
	v.Require(fault.RestartDelay >= 0 && (keys.restartDelay || fault.RestartDelay == 0), prefix+"gap",
		"%v is negative, or faults of kind %q do not use this key", time.Duration(fault.RestartDelay), fault.Kind)
	validTenant := fault.Kind == FaultSurge && v.scenario.tenantIndex(fault.Tenant) >= 0
	v.Require(fault.Tenant == "" || validTenant, prefix+"tenant",
		"%q is not a tenant of this file, or faults of kind %q do not use this key", fault.Tenant, fault.Kind)
}

// joinKinds joins the names of kinds with commas.
func joinKinds(kinds []FaultKind) string {
	var names []string
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// classIndex returns the index of the class with the given name, or -1 if there is none.
func (f *File) classIndex(name string) int {
	return slices.IndexFunc(f.Classes, func(c Class) bool { return c.Name == name })
}

// tenantIndex returns the index of the tenant with the given name, or -1 if there is none.
func (f *File) tenantIndex(name string) int {
	return slices.IndexFunc(f.Tenants, func(t Tenant) bool { return t.Name == name })
}
