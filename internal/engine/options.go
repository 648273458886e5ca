package engine

import (
	"log/slog"

	"pinedale/balancer"
)

// RuntimeSettings are the settings that may change while an engine runs.
type RuntimeSettings struct {
	Classes []balancer.Class // a number keeps its class
	Budgets []balancer.RetryBudget
	// Pools returns the pools of a server, one bit each; nil for no pools.
	Pools func(site, kind string) uint64
}

// Options are an engine's settings and surroundings.
type Options struct {
	Settings   balancer.Settings
	Seed       uint64
	Zones      []string // names of sites, by the numbers that the balancer uses
	Kinds      []string // names of kinds of machine, likewise
	CachedList List     // the last known list of an earlier run, possibly outdated
	Upstream   Upstream
	Source     Source
	Log        *slog.Logger

	Admission Admission // nil admits all requests
	Subset    Subset    // nil for the complete fleet
	KeyLeases KeyLeases // nil where each instance decides alone on requests with a key
	// ObserveOutcome, where set, is called with the outcome of each attempt and health check of a
	// server, on the engine's goroutine.
	ObserveOutcome func(t *Target, s balancer.Status)
	// Pools is RuntimeSettings.Pools at the start.
	Pools func(site, kind string) uint64

	// Clock, where set, replaces the system's time and Run: the clock's goroutine calls Start
	// and everything else, Post handles an event at once, and UpdateEndpoints replaces Source,
	// which may be nil.
	Clock Clock
	// NewDecider, where set, replaces balancer.New.
	NewDecider func(balancer.Settings, uint64, balancer.Actions) (Decider, error)
	// WrapDecider, where set, wraps the engine's decider.
	WrapDecider func(Decider) Decider
}
