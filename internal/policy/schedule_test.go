package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinedale/balancer"
)

// simulatedSchedule is the result of simulateSchedule.
type simulatedSchedule struct {
	latestRepeat time.Duration // latest time at which a repeat may reach a server, by the server's clock
	hedged       bool
}

// simulateSchedule simulates the schedule of a configuration step by step with maximum delays. It shares no code with
// Limits.Schedule, which computes the times.
func simulateSchedule(limits *Limits, settings Effective) (result simulatedSchedule) {
	const step = 10 * time.Millisecond // all drawn durations are multiples
	latest := time.Duration(0)
	sends := 1
	attemptEnd := settings.AttemptTimeout + limits.TimerSlack
	for now := step; now < settings.Deadline && sends < settings.MaxAttempts; now += step {
		if settings.AttemptTimeout > 0 && now == attemptEnd { // the previous attempt is cancelled
			attemptEnd = now + settings.AttemptTimeout + limits.TimerSlack
			sends++
			latest = max(latest, now+limits.DialTimeout)
		}
	}
	// A hedge is sent if its delay ends while the first attempt is in flight, even if its timer is late.
	firstEnd := settings.Deadline
	if settings.AttemptTimeout > 0 {
		firstEnd = min(firstEnd, settings.AttemptTimeout)
	}
	hedgeDelay := settings.HedgeDelay
	if hedgeDelay > 0 && settings.Hedging && settings.MaxAttempts > 1 && hedgeDelay < firstEnd {
		latest = max(latest, hedgeDelay+limits.TimerSlack+limits.DialTimeout)
		result.hedged = true
	}
	if settings.Class.Clients == ClientsRetryFailed {
		latest = max(latest, settings.Deadline+limits.TimerSlack+limits.DialTimeout)
	}
	result.latestRepeat = time.Duration(float64(latest) * (1 + limits.ClockError))
	return result
}

// violatedRule returns the rule of a class that a configuration violates, "" for none. It simulates the schedule.
func violatedRule(config *Config) string {
	for i := range config.Classes {
		class := &config.Classes[i]
		if violation := violatedClassRule(config, class); violation != "" {
			return violation
		}
		variants := []Effective{config.Effective(class, nil)}
		for j := range config.Routes {
			if config.Routes[j].Class == class.Name {
				variants = append(variants, config.Effective(class, &config.Routes[j]))
			}
		}
		for _, settings := range variants {
			if violation := violatedScheduleRule(&config.Limits, settings); violation != "" {
				return violation
			}
		}
	}
	return ""
}

// violatedClassRule returns the rule that a class violates regardless of its schedule, "" for none.
func violatedClassRule(config *Config, class *Class) string {
	limits := &config.Limits
	withKey := class.Idempotency == balancer.IdempotentWithKey
	window := float64(class.DedupWindow)/(1+limits.ClockError) - float64(limits.DialTimeout+limits.TimerSlack)
	if withKey && window < float64(time.Millisecond) {
		return "nothing of the window is left"
	}
	unguarded := class.Idempotency == balancer.NotIdempotent || withKey && class.Group != balancer.GroupAll
	if class.Clients == ClientsRetryFailed && unguarded {
		return "clients retry without deduplication"
	}
	return ""
}

// violatedScheduleRule returns the rule that the schedule of a class or route violates, "" for none.
func violatedScheduleRule(limits *Limits, settings Effective) string {
	class := settings.Class
	schedule := simulateSchedule(limits, settings)
	if class.Idempotency == balancer.IdempotentWithKey && schedule.latestRepeat >= class.DedupWindow {
		return fmt.Sprintf("a repeat of %s after %v", class.Name, schedule.latestRepeat)
	}
	if class.Idempotency == balancer.NotIdempotent && (schedule.hedged || settings.HedgeDelay > 0) {
		return "a hedge of a class that is not idempotent"
	}
	if settings.AttemptTimeout > settings.Deadline || settings.MaxAttempts > limits.MaxAttempts {
		return "more than the limits"
	}
	longest := settings.Deadline
	if settings.AttemptTimeout > 0 {
		longest = settings.AttemptTimeout
	}
	if limits.DrainTimeout > 0 && longest+limits.DrainGrace+limits.TimerSlack > limits.DrainTimeout {
		return "a drain ends before an attempt"
	}
	return ""
}

// A configuration is rejected if and only if it violates a rule when its schedule is simulated.
func TestConfigIsRejectedIffItsScheduleViolatesRule(t *testing.T) {
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		table, compileFaults := Compile(config, nil)
		violation := violatedRule(config)
		if (table == nil) != (violation != "") {
			t.Fatalf("simulated: %q; compiled: %v\n%+v", violation, compileFaults, config)
		}
		if violation == "" {
			accepted++
		} else {
			rejected++
		}
	})
	if accepted == 0 || rejected == 0 {
		t.Errorf("%d accepted configurations and %d rejected ones, want some of each", accepted, rejected)
	}
}

// With any accepted configuration and any outcomes and delays, no request runs twice unless its class permits it, and
// every request gets one response.
func TestAcceptedConfigKeepsRulesOfItsClasses(t *testing.T) {
	simulated := 0
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		table, _ := Compile(config, nil)
		if table == nil {
			return
		}
		simulated++
		s := newSimulation(t, config, table)
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			bounds, ok := table.Lookup(&Query{Method: "POST", Path: []string{"/a", "/b"}[i%2]})
			if !ok {
				t.Fatal("no route matches the request")
			}
			class := config.class(bounds.ClassName)
			sendAt := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * 100 * time.Millisecond
			s.schedule(sendAt, func() {
				s.submit(&clientRequest{bounds: bounds, class: class, key: fmt.Sprint("k", i), firstSent: s.now})
			})
		}
		s.run()
		for id, request := range s.requests {
			if !request.answered {
				t.Fatalf("request %d of %s has no answer", id, request.class.Name)
			}
		}
	})
	if simulated == 0 {
		t.Error("no configuration was simulated")
	}
}

// slowConnectionConfig returns a configuration with one class whose deduplication window is 1 s, where a connection
// takes up to 400 ms.
func slowConnectionConfig(attemptTimeout time.Duration) *Config {
	return &Config{
		Limits: Limits{MaxAttempts: 2, MaxDeadline: time.Minute, DialTimeout: 400 * time.Millisecond},
		Classes: []Class{{
			Name:             "pay",
			Idempotency:      balancer.IdempotentWithKey,
			DedupWindow:      time.Second,
			Timing:           Timing{Deadline: 5 * time.Second, AttemptTimeout: attemptTimeout},
			LatencyObjective: time.Second,
		}},
	}
}

// The module's window is shorter than the configured one, because a slow connection delays a repeat.
func TestModuleWindowLeavesTimeForConnection(t *testing.T) {
	table, compileFaults := Compile(slowConnectionConfig(0), nil)
	if table == nil {
		t.Fatal(compileFaults)
	}
	if got := table.Classes()[0].DedupWindow; got != 600_000 {
		t.Errorf("the module's window is %d µs, want 1 s less a connection of 400 ms", got)
	}
}

func TestSimulatedScheduleFindsLateRepeat(t *testing.T) {
	violation := violatedRule(slowConnectionConfig(700 * time.Millisecond))
	if !strings.Contains(violation, "a repeat of pay after 1.1s") {
		t.Errorf("violated rule %q, want a late repeat", violation)
	}
}
