package policy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
)

const ms = time.Millisecond

// validConfig returns a valid configuration with a class of each kind.
func validConfig() *Config {
	return &Config{
		Version: "v",
		Limits: Limits{
			MaxAttempts: 3,
			Hedging:     true,
			MaxDeadline: time.Minute,
			DialTimeout: 250 * ms,
			TimerSlack:  10 * ms,
			ClockError:  0.0005,
			DrainGrace:  2 * time.Second,
		},
		Classes: []Class{
			{
				Name:             "price-check",
				Timing:           Timing{Deadline: 3 * time.Second},
				LatencyObjective: 600 * ms,
				PriorityWeight:   2,
			},
			{
				Name:             "stall-pay",
				Idempotency:      balancer.IdempotentWithKey,
				DedupWindow:      1500 * ms,
				Timing:           Timing{Deadline: 2500 * ms},
				LatencyObjective: 600 * ms,
				PriorityWeight:   10,
			},
			{
				Name:             "day-close",
				Idempotency:      balancer.IdempotentWithKey,
				Group:            balancer.GroupCell,
				DedupWindow:      12 * time.Second,
				Timing:           Timing{Deadline: 2500 * ms},
				LatencyObjective: 1200 * ms,
				PriorityWeight:   3,
			},
			{
				Name:             "order",
				Idempotency:      balancer.NotIdempotent,
				Timing:           Timing{Deadline: 2500 * ms},
				LatencyObjective: 600 * ms,
				PriorityWeight:   1,
			},
		},
	}
}

// Indexes of the classes of validConfig.
const (
	classPrices = iota
	classPay
	classDayClose
	classOrder
)

// ptr returns a pointer to a copy of value.
func ptr[T any](value T) *T { return &value }

// faults returns the errors and warnings of a configuration as lines.
func faults(config *Config) (errors, warnings []string) {
	_, compileFaults := Compile(config, nil)
	for _, fault := range compileFaults {
		line := fault.Key + ": " + fault.Reason
		if fault.Warning {
			warnings = append(warnings, line)
		} else {
			errors = append(errors, line)
		}
	}
	return errors, warnings
}

// hasKey reports whether any of the lines is about a key.
func hasKey(lines []string, key string) bool {
	return slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, key+": ") })
}

// setAttempts sets the attempt timeout and the maximum number of attempts of a class.
func setAttempts(class *Class, timeout time.Duration, maxAttempts int) {
	class.AttemptTimeout = timeout
	class.MaxAttempts = maxAttempts
}

// setLongDeadline sets a deadline of 30 s and an attempt timeout.
func setLongDeadline(class *Class, attemptTimeout time.Duration) {
	class.Deadline = 30 * time.Second
	class.AttemptTimeout = attemptTimeout
}

// A configuration that contradicts a rule of a class is rejected with the key and the values. A similar configuration
// that does not is accepted.
func TestContradictionIsRejectedWithKeyAndValues(t *testing.T) {
	for name, c := range map[string]struct {
		accepted func(*Config)
		rejected func(*Config)
		key      string
		reason   []string // parts of the reason
	}{
		"attempts within the window": {
			accepted: func(c *Config) { setAttempts(&c.Classes[classPay], 600*ms, 3) },
			rejected: func(c *Config) { setAttempts(&c.Classes[classPay], 650*ms, 3) },
			key:      "class[1].try_for",
			reason:   []string{"rule window", "attempt 3", "1.5s", "1.570785s"},
		},
		"attempts of a class with deduplication in one pod": {
			accepted: func(c *Config) {
				setLongDeadline(&c.Classes[classDayClose], 5800*ms)
			},
			rejected: func(c *Config) {
				setLongDeadline(&c.Classes[classDayClose], 5900*ms)
			},
			key:    "class[2].try_for",
			reason: []string{"rule window", "12s"},
		},
		"with a slow clock": {
			accepted: func(c *Config) {
				setLongDeadline(&c.Classes[classDayClose], 5800*ms)
			},
			rejected: func(c *Config) {
				setLongDeadline(&c.Classes[classDayClose], 5800*ms)
				c.Limits.ClockError = 0.02
			},
			key:    "class[2].try_for",
			reason: []string{"clocks 0.02 apart"},
		},
		"with a slow connection": {
			accepted: func(c *Config) { c.Classes[classPay].AttemptTimeout = 600 * ms },
			rejected: func(c *Config) {
				c.Classes[classPay].AttemptTimeout = 600 * ms
				c.Limits.DialTimeout = 300 * ms
			},
			key:    "class[1].try_for",
			reason: []string{"connection 300ms"},
		},
		"clients that retry": {
			accepted: func(c *Config) {
				c.Classes[classPay].Clients = ClientsRetryFailed
				c.Classes[classPay].Deadline = 1200 * ms
			},
			rejected: func(c *Config) { c.Classes[classPay].Clients = ClientsRetryFailed },
			key:      "class[1].deadline",
			reason:   []string{"a client that comes again within its deadline of 2.5s"},
		},
		"clients whose retries may reach any pod": {
			accepted: func(c *Config) { c.Classes[classDayClose].Clients = ClientsRetryRejected },
			rejected: func(c *Config) { c.Classes[classDayClose].Clients = ClientsRetryFailed },
			key:      "class[2].clients",
			reason:   []string{"rule group"},
		},
		"clients that retry requests that are not idempotent": {
			accepted: func(c *Config) { c.Classes[classOrder].Clients = ClientsRetryRejected },
			rejected: func(c *Config) { c.Classes[classOrder].Clients = ClientsRetryFailed },
			key:      "class[3].clients",
			reason:   []string{"rule unsafe"},
		},
		"a hedge within the window": {
			accepted: func(c *Config) { c.Classes[classPay].HedgeDelay = 1200 * ms },
			rejected: func(c *Config) { c.Classes[classPay].HedgeDelay = 1600 * ms },
			key:      "class[1].copy_after",
			reason:   []string{"rule window", "a second copy", "1.5s"},
		},
		"a hedge of a class that is not idempotent": {
			accepted: func(c *Config) {},
			rejected: func(c *Config) { c.Classes[classOrder].HedgeDelay = ms },
			key:      "class[3].copy_after",
			reason:   []string{"rule unsafe"},
		},
		"a hedge quantile of a class that is not idempotent": {
			accepted: func(c *Config) { c.Classes[classPay].HedgeQuantile = 0.9 },
			rejected: func(c *Config) { c.Classes[classOrder].HedgeQuantile = 0.9 },
			key:      "class[3].copy_at",
			reason:   []string{"rule unsafe"},
		},
		"a window that is used up by the connection": {
			accepted: func(c *Config) { c.Classes[classPay].DedupWindow = 300 * ms },
			rejected: func(c *Config) { c.Classes[classPay].DedupWindow = 260 * ms },
			key:      "class[1].window",
			reason:   []string{"rule window", "nothing is left"},
		},
		"too many attempts": {
			accepted: func(c *Config) { c.Classes[0].MaxAttempts = 3 },
			rejected: func(c *Config) { c.Classes[0].MaxAttempts = 4 },
			key:      "class[0].attempts",
			reason:   []string{"rule attempts", "4"},
		},
		"a drain that is shorter than an attempt": {
			accepted: func(c *Config) { c.Limits.DrainTimeout = 5100 * ms },
			rejected: func(c *Config) { c.Limits.DrainTimeout = 5 * time.Second },
			key:      "class[0].deadline",
			reason:   []string{"rule drain", "3s", "2s", "5s"},
		},
		"a drain that is longer than an attempt timeout": {
			accepted: func(c *Config) {
				c.Limits.DrainTimeout = 3500 * ms
				for i := range c.Classes {
					setAttempts(&c.Classes[i], 1400*ms, 1)
				}
			},
			rejected: func(c *Config) { c.Limits.DrainTimeout = 3500 * ms },
			key:      "class[0].deadline",
			reason:   []string{"rule drain"},
		},
		"a route with a later hedge than its class": {
			accepted: func(c *Config) {
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{HedgeDelay: time.Second}}}
			},
			rejected: func(c *Config) {
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{HedgeDelay: 1450 * ms}}}
			},
			key:    "route[0].copy_after",
			reason: []string{"rule window"},
		},
		"a route with more attempts than its class": {
			accepted: func(c *Config) {
				setAttempts(&c.Classes[classPay], 1200*ms, 2)
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a"}}
			},
			rejected: func(c *Config) {
				setAttempts(&c.Classes[classPay], 1200*ms, 2)
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{MaxAttempts: 3}}}
			},
			key:    "route[0].try_for",
			reason: []string{"attempt 3"},
		},
		"routes that overlap": {
			accepted: func(c *Config) {
				c.Routes = []Route{{Prefix: "/a", Class: "order"}, {Prefix: "/a", Method: "GET", Class: "price-check"}}
			},
			rejected: func(c *Config) {
				c.Routes = []Route{{Prefix: "/a", Class: "order"}, {Prefix: "/a", Class: "price-check"}}
			},
			key:    "route[1].class",
			reason: []string{"rule overlap", "route[0]", "order"},
		},
	} {
		if errs, _ := faults(configure(c.accepted)); len(errs) > 0 {
			t.Errorf("%s: a valid configuration is rejected: %v", name, errs)
		}
		errs, _ := faults(configure(c.rejected))
		index := slices.IndexFunc(errs, func(line string) bool { return strings.HasPrefix(line, c.key+": ") })
		if index < 0 {
			t.Errorf("%s: errors %v, want one for %s", name, errs, c.key)
			continue
		}
		for _, part := range c.reason {
			if !strings.Contains(errs[index], part) {
				t.Errorf("%s: %q does not contain %q", name, errs[index], part)
			}
		}
	}
}

// configure returns a changed copy of validConfig.
func configure(change func(*Config)) *Config {
	config := validConfig()
	change(config)
	return config
}

// A configuration that is valid but probably a mistake is accepted with a warning.
func TestProbableMistakeGivesWarning(t *testing.T) {
	for name, c := range map[string]struct {
		set func(*Config)
		key string
	}{
		"attempt timeout below the usual service time": {
			func(c *Config) { c.Classes[0].AttemptTimeout, c.Classes[0].TypicalWork = 300*ms, 400*ms },
			"class[0].try_for",
		},
		"attempt timeout below the dial timeout": {
			func(c *Config) { c.Classes[0].AttemptTimeout = 200 * ms },
			"class[0].try_for",
		},
		"attempts after the deadline": {
			func(c *Config) { c.Classes[0].AttemptTimeout = 2 * time.Second },
			"class[0].try_for",
		},
		"hedge delay as long as the attempt timeout": {
			func(c *Config) { c.Classes[0].AttemptTimeout, c.Classes[0].HedgeDelay = time.Second, time.Second },
			"class[0].copy_after",
		},
		"hedge delay with one attempt": {
			func(c *Config) { c.Classes[0].MaxAttempts, c.Classes[0].HedgeDelay = 1, time.Second },
			"class[0].copy_after",
		},
		"hedge delay with hedging disabled": {
			func(c *Config) { c.Classes[0].Hedging, c.Classes[0].HedgeDelay = ptr(false), time.Second },
			"class[0].copy_after",
		},
		"route that is never selected": {
			func(c *Config) { c.Routes = []Route{{Path: "/a", Class: "order"}, {Path: "/a", Class: "order"}} },
			"route[1].class",
		},
		"POST route of an idempotent class": {
			func(c *Config) { c.Routes = []Route{{Path: "/a", Method: "POST", Class: "price-check"}} },
			"route[0].method",
		},
	} {
		errs, warnings := faults(configure(c.set))
		if len(errs) > 0 || !hasKey(warnings, c.key) {
			t.Errorf("%s: errors %v, warnings %v", name, errs, warnings)
		}
	}
}

func TestOrdinaryFileHasNoFaults(t *testing.T) {
	if errs, warnings := faults(validConfig()); len(errs)+len(warnings) > 0 {
		t.Errorf("errors %v, warnings %v", errs, warnings)
	}
}

func TestValueOutOfBoundsIsRejected(t *testing.T) {
	for key, set := range map[string]func(*Config){
		"limits.timer_slack":     func(c *Config) { c.Limits.TimerSlack = -1 },
		"limits.clock_error":     func(c *Config) { c.Limits.ClockError = 1 },
		"fleet.drain_for":        func(c *Config) { c.Limits.DrainTimeout = -1 },
		"class[0].copy_at":       func(c *Config) { c.Classes[0].HedgeQuantile = 1 },
		"class[1].copy_at":       func(c *Config) { c.Classes[1].HedgeQuantile, c.Classes[1].HedgeDelay = 0.5, ms },
		"class[0].usual":         func(c *Config) { c.Classes[0].TypicalWork = -1 },
		"class[0].open":          func(c *Config) { c.Classes[0].MaxInFlight = -1 },
		"class[0].brown_out":     func(c *Config) { c.Classes[0].BrownoutLevel = 10 },
		"class[0].clients":       func(c *Config) { c.Classes[0].Clients = "never" },
		"class[0].try_for":       func(c *Config) { c.Classes[0].AttemptTimeout = -1 },
		"class[1].try_for":       func(c *Config) { c.Classes[1].AttemptTimeout = time.Minute },
		"class[0].copy_after":    func(c *Config) { c.Classes[0].HedgeDelay = -1 },
		"class[0].deadline":      func(c *Config) { c.Classes[0].Deadline = time.Hour },
		"class[0].attempts":      func(c *Config) { c.Classes[0].MaxAttempts = -1 },
		"class[0].retry_share":   func(c *Config) { c.Classes[0].RetryRatio = ptr(1.1) },
		"class[0].retry_burst":   func(c *Config) { c.Classes[0].RetryBurst = ptr(-1.0) },
		"class[0].second_copies": func(c *Config) { c.Limits.Hedging, c.Classes[0].Hedging = false, ptr(true) },
		"pool":                   func(c *Config) { c.Pools = make([]Pool, 65) },
		"pool[0].name":           func(c *Config) { c.Pools = []Pool{{}} },
		"tenant":                 func(c *Config) { c.Tenants = make([]Tenant, 1001) },
		"tenant[0].name":         func(c *Config) { c.Tenants = []Tenant{{Weight: 1}} },
		"tenant[1].name":         func(c *Config) { c.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "a", Weight: 1}} },
		"tenant[0].weight":       func(c *Config) { c.Tenants = []Tenant{{Name: "a"}} },
		"tenant[0].open":         func(c *Config) { c.Tenants = []Tenant{{Name: "a", Weight: 1, Open: -1}} },
		"route":                  func(c *Config) { c.Routes = make([]Route, 10_001) },
		"route[0].class":         func(c *Config) { c.Routes = []Route{{Class: "none"}} },
		"route[0].prefix":        func(c *Config) { c.Routes = []Route{{Class: "order", Prefix: "/a/"}} },
		"route[0].path":          func(c *Config) { c.Routes = []Route{{Class: "order", Path: "a"}} },
		"route[0].host":          func(c *Config) { c.Routes = []Route{{Class: "order", Host: "A.example"}} },
		"route[0].method":        func(c *Config) { c.Routes = []Route{{Class: "order", Method: "get"}} },
		"route[0].headers": func(c *Config) {
			c.Routes = []Route{{Class: "order", Headers: map[string]string{"a b": ""}}}
		},
		"route[0].pool":     func(c *Config) { c.Routes = []Route{{Class: "order", Pool: "none"}} },
		"route[0].deadline": func(c *Config) { c.Routes = []Route{{Class: "order", Timing: Timing{Deadline: -1}}} },
	} {
		if errs, _ := faults(configure(set)); !hasKey(errs, key) {
			t.Errorf("%s: errors %v, want one for this key", key, errs)
		}
	}
}
