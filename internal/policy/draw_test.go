package policy

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
	_ "pinedale/internal/standin/seeds"
)

// drawnUnit is the unit of all drawn durations.
const drawnUnit = 50 * time.Millisecond

// drawDuration draws a multiple of drawnUnit.
func drawDuration(t *rapid.T, label string, maxUnits int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxUnits).Draw(t, label)) * drawnUnit
}

// drawConfig draws a configuration, which may violate rules. Route /a belongs to class c0, route /b to class c1.
func drawConfig(t *rapid.T) *Config {
	config := &Config{Limits: Limits{
		MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
		Hedging:     rapid.Bool().Draw(t, "hedging"),
		MaxDeadline: time.Minute,
		DialTimeout: drawDuration(t, "dial", 8),
		TimerSlack:  drawDuration(t, "slack", 2),
		ClockError:  rapid.SampledFrom([]float64{0, 0.0005, 0.05}).Draw(t, "clocks"),
		DrainGrace:  2 * time.Second,
	}}
	if rapid.IntRange(0, 3).Draw(t, "drains") == 0 {
		config.Limits.DrainTimeout = drawDuration(t, "drain", 100)
	}
	for i := range 2 {
		config.Classes = append(config.Classes, drawClass(t, fmt.Sprint("c", i)))
	}
	config.Routes = []Route{
		{Prefix: "/a", Class: "c0", Timing: drawTiming(t)},
		{Prefix: "/b", Class: "c1"},
	}
	return config
}

func drawClass(t *rapid.T, name string) Class {
	class := Class{
		Name:             name,
		Idempotency:      balancer.Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
		Timing:           drawTiming(t),
		LatencyObjective: 500 * time.Millisecond,
		PriorityWeight:   1,
	}
	class.Deadline = 500*time.Millisecond + drawDuration(t, "deadline", 80)
	if class.Idempotency == balancer.IdempotentWithKey {
		class.DedupWindow = drawnUnit + drawDuration(t, "window", 60)
		class.Group = rapid.SampledFrom([]balancer.Group{balancer.GroupAll, balancer.GroupCell}).Draw(t, "group")
	}
	if rapid.IntRange(0, 2).Draw(t, "clients") == 0 {
		class.Clients = ClientsRetryFailed
	}
	return class
}

func drawTiming(t *rapid.T) (timing Timing) {
	if rapid.Bool().Draw(t, "attempt settings") {
		timing.AttemptTimeout = drawDuration(t, "attempt timeout", 20)
		timing.MaxAttempts = rapid.IntRange(0, 3).Draw(t, "class attempts")
	}
	if rapid.Bool().Draw(t, "hedge") {
		timing.HedgeDelay = drawDuration(t, "after", 40)
	}
	return timing
}
