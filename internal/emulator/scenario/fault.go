package scenario

import (
	"math/rand/v2"
	"slices"
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
)

// addFault puts one fault into a plan.
func (f *File) addFault(s *plan.Scenario, rng *rand.Rand, x Fault) {
	from, until := time.Duration(x.From), time.Duration(x.Until)
	switch x.Kind {
	case "cut_off":
		for n := range s.Servers {
			if s.Servers[n].Site == slices.Index(f.Sites, x.Site) {
				x.addServerFault(s, n, model.Fault{Unresponsive: true})
			}
		}
	case "crash":
		x.crash(s, x.drawServers(s, rng))
	case "kill":
		n := max(1, int(x.Part*float64(len(s.Instances))+0.5))
		s.Kills = append(s.Kills, plan.Kill{At: from, Instances: rng.Perm(len(s.Instances))[:n]})
	case "rotate":
		s.Rotations = append(s.Rotations, plan.Rotation{From: from, Until: until})
	case "surge":
		tenant := slices.IndexFunc(f.Tenants, func(t Tenant) bool { return t.Name == x.Tenant })
		s.Surges = append(s.Surges, plan.Surge{From: from, Until: until, Factor: x.Factor, Tenant: tenant})
	case "costly":
		class := slices.IndexFunc(f.Classes, func(k Class) bool { return k.Name == x.Class })
		s.CostSurges = append(s.CostSurges, plan.CostSurge{From: from, Until: until, Class: class, Share: x.Share, Factor: x.Factor})
	case "start":
		for _, n := range x.drawServers(s, rng) {
			s.Servers[n].Incarnations = []plan.Incarnation{{From: max(from, time.Millisecond), Drain: plan.Never, End: plan.Never}}
		}
	case "drain", "restart":
		x.drain(s, x.drawServers(s, rng))
	default:
		if fault, ok := x.serverFault(); ok {
			for _, n := range x.drawServers(s, rng) {
				x.addServerFault(s, n, fault)
			}
		}
	}
}

// serverFault returns what the model of a server does in a fault of this kind, if it is one of servers.
func (x *Fault) serverFault() (fault model.Fault, ok bool) {
	switch x.Kind {
	case "fail_fast":
		return model.Fault{FailFastRatio: x.Share}, true
	case "swallow":
		return model.Fault{UnansweredRatio: x.Share}, true
	case "silent":
		return model.Fault{Unresponsive: true}, true
	case "slow":
		return model.Fault{SlowdownFactor: x.Factor}, true
	case "break":
		return model.Fault{ResetRatio: x.Share}, true
	}
	return model.Fault{}, false
}

// drawServers draws the part of the servers that the fault is with, at least one.
func (x *Fault) drawServers(s *plan.Scenario, rng *rand.Rand) []int {
	n := max(1, int(x.Part*float64(len(s.Servers))+0.5))
	return rng.Perm(len(s.Servers))[:n]
}

// addServerFault gives a server a fault for as long as the fault lasts.
func (x *Fault) addServerFault(s *plan.Scenario, server int, fault model.Fault) {
	fault.From, fault.Until = time.Duration(x.From), time.Duration(x.Until)
	s.Servers[server].Faults = append(s.Servers[server].Faults, fault)
}

// crash ends the lives of servers when the fault begins and starts them again after its gap.
func (x *Fault) crash(s *plan.Scenario, servers []int) {
	from := time.Duration(x.From)
	for _, n := range servers {
		incarnations := slices.Clone(s.Servers[n].Incarnations)
		last := &incarnations[len(incarnations)-1]
		if from <= last.From || last.End != plan.Never {
			continue // it is not there then
		}
		last.End = from
		incarnations = append(incarnations, plan.Incarnation{From: from + time.Duration(x.Gap), Drain: plan.Never, End: plan.Never})
		s.Servers[n].Incarnations = incarnations
	}
}

// drain drains servers one after the other over the fault's time, and starts them again if it is a restart.
func (x *Fault) drain(s *plan.Scenario, servers []int) {
	from, until := time.Duration(x.From), time.Duration(x.Until)
	for i, n := range servers {
		at := max(from+(until-from)*time.Duration(i)/time.Duration(len(servers)), time.Millisecond)
		incarnations := slices.Clone(s.Servers[n].Incarnations)
		last := &incarnations[len(incarnations)-1]
		if at <= last.From || last.End != plan.Never {
			continue // it is not there then
		}
		last.Drain, last.End = at, at+s.DrainDuration
		if x.Kind == "restart" {
			incarnations = append(incarnations, plan.Incarnation{From: last.End + time.Duration(x.Gap), Drain: plan.Never, End: plan.Never})
		}
		s.Servers[n].Incarnations = incarnations
	}
}
