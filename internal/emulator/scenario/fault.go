package scenario

import (
	"math/rand/v2"
	"slices"
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/plan"
)

// minEventTime is the earliest time at which a fault starts or drains a server: a server whose incarnation starts at 0
// was running before the run, and an incarnation cannot drain at its own start.
const minEventTime = time.Millisecond

// addFault adds one fault to a plan.
func (f *File) addFault(s *plan.Scenario, rng *rand.Rand, fault *Fault) {
	from, until := time.Duration(fault.From), time.Duration(fault.Until)
	switch fault.Kind {
	case FaultFailFast, FaultNoResponse, FaultUnresponsive, FaultSlow, FaultReset:
		for _, server := range fault.drawServers(s, rng) {
			fault.addServerFault(s, server)
		}
	case FaultSiteOutage:
		site := slices.Index(f.Sites, fault.Site)
		for server := range s.Servers {
			if s.Servers[server].Site == site {
				fault.addServerFault(s, server)
			}
		}
	case FaultCrash:
		fault.crashServers(s, fault.drawServers(s, rng))
	case FaultServerStart:
		incarnation := plan.Incarnation{From: max(from, minEventTime), Drain: plan.Never, End: plan.Never}
		for _, server := range fault.drawServers(s, rng) {
			s.Servers[server].Incarnations = []plan.Incarnation{incarnation}
		}
	case FaultDrain, FaultRollingRestart:
		fault.drainServers(s, fault.drawServers(s, rng))
	case FaultInstanceKill:
		s.Kills = append(s.Kills, plan.Kill{At: from, Instances: fault.drawIndexes(len(s.Instances), rng)})
	case FaultKeyRotation:
		s.Rotations = append(s.Rotations, plan.Rotation{From: from, Until: until})
	case FaultSurge:
		s.Surges = append(s.Surges, plan.Surge{
			From:   from,
			Until:  until,
			Factor: fault.Factor,
			Tenant: f.tenantIndex(fault.Tenant),
		})
	case FaultCostSurge:
		s.CostSurges = append(s.CostSurges, plan.CostSurge{
			From:   from,
			Until:  until,
			Class:  f.classIndex(fault.Class),
			Share:  fault.RequestRatio,
			Factor: fault.Factor,
		})
	}
}

// drawIndexes returns the indexes of a random part of count servers or instances, at least one of them.
func (f *Fault) drawIndexes(count int, rng *rand.Rand) []int {
	affected := max(1, int(f.AffectedRatio*float64(count)+0.5))
	return rng.Perm(count)[:affected]
}

// drawServers returns the indexes of the servers that have the fault.
func (f *Fault) drawServers(s *plan.Scenario, rng *rand.Rand) []int {
	return f.drawIndexes(len(s.Servers), rng)
}

// addServerFault gives the fault to one server.
func (f *Fault) addServerFault(s *plan.Scenario, server int) {
	s.Servers[server].Faults = append(s.Servers[server].Faults, f.serverFault())
}

// serverFault returns the fault in the form of the server model.
func (f *Fault) serverFault() model.Fault {
	fault := model.Fault{From: time.Duration(f.From), Until: time.Duration(f.Until)}
	switch f.Kind {
	case FaultFailFast:
		fault.FailFastRatio = f.RequestRatio
	case FaultNoResponse:
		fault.UnansweredRatio = f.RequestRatio
	case FaultUnresponsive, FaultSiteOutage:
		fault.Unresponsive = true
	case FaultSlow:
		fault.SlowdownFactor = f.Factor
	case FaultReset:
		fault.ResetRatio = f.RequestRatio
	}
	return fault
}

// crashServers ends the processes of servers at the start of the fault and restarts them after its restart delay.
func (f *Fault) crashServers(s *plan.Scenario, servers []int) {
	from := time.Duration(f.From)
	for _, server := range servers {
		incarnations := slices.Clone(s.Servers[server].Incarnations)
		last := &incarnations[len(incarnations)-1]
		if from <= last.From || last.End != plan.Never {
			continue // the server is not running at that time
		}
		last.End = from
		incarnations = append(incarnations, f.restartAfter(from))
		s.Servers[server].Incarnations = incarnations
	}
}

// drainServers starts the drains of servers one after the other over the duration of the fault. A rolling restart
// restarts each of them after its drain.
func (f *Fault) drainServers(s *plan.Scenario, servers []int) {
	from, until := time.Duration(f.From), time.Duration(f.Until)
	for i, server := range servers {
		offset := (until - from) * time.Duration(i) / time.Duration(len(servers))
		drain := max(from+offset, minEventTime)
		incarnations := slices.Clone(s.Servers[server].Incarnations)
		last := &incarnations[len(incarnations)-1]
		if drain <= last.From || last.End != plan.Never {
			continue // the server is not running at that time
		}
		end := drain + s.DrainDuration
		last.Drain, last.End = drain, end
		if f.Kind == FaultRollingRestart {
			incarnations = append(incarnations, f.restartAfter(end))
		}
		s.Servers[server].Incarnations = incarnations
	}
}

// restartAfter returns the incarnation of a server whose previous process ended at this time.
func (f *Fault) restartAfter(end time.Duration) plan.Incarnation {
	return plan.Incarnation{From: end + time.Duration(f.RestartDelay), Drain: plan.Never, End: plan.Never}
}
