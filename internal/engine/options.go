package engine

import (
	"log/slog"

	"pinedale/balancer"
)

// RuntimeSettings are the settings that can be changed while an engine runs.
type RuntimeSettings struct {
	Classes []balancer.Class // a class keeps its index
	Budgets []balancer.RetryBudget
	// Pools returns the set of pools of a server, one bit each. It may be nil if there are no pools.
	Pools func(site, kind string) uint64
}

// Options are an engine's settings and dependencies.
type Options struct {
	Settings   balancer.Settings
	Seed       uint64
	Zones      []string // names of sites, indexed by the balancer's zone number
	Kinds      []string // kinds of machine, indexed by the balancer's kind number
	CachedList List     // the last list known to an earlier run, possibly outdated
	Upstream   Upstream
	Source     Source
	Log        *slog.Logger

	Admission Admission // nil admits all requests
	Subset    Subset    // nil uses the complete fleet
	KeyLeases KeyLeases // nil if each instance decides on its own about requests with a key
	// ObserveOutcome, if not nil, is called with the outcome of each attempt and health check of a
	// server, on the engine's goroutine.
	ObserveOutcome func(t *Target, s balancer.Status)
	// Pools is the initial value of RuntimeSettings.Pools.
	Pools func(site, kind string) uint64

	// Clock, if not nil, replaces the system's time and Run: the clock's goroutine calls Start
	// and all other methods, Post handles an event immediately, and UpdateEndpoints replaces Source,
	// which may be nil.
	Clock Clock
	// NewDecider, if not nil, replaces balancer.New.
	NewDecider func(balancer.Settings, uint64, balancer.Actions) (Decider, error)
	// WrapDecider, if not nil, wraps the engine's decider.
	WrapDecider func(Decider) Decider
}
