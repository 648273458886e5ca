package policy

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
)

const ms = time.Millisecond

// marketConfig returns a legal configuration with a class of each kind.
func marketConfig() *Config {
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

// Indexes of the classes of marketConfig.
const (
	classPrices = iota
	classPay
	classDayClose
	classOrder
)

func ptr[T any](v T) *T { return &v }

// faults returns the faults of a configuration as lines.
func faults(c *Config) (errors, warnings []string) {
	_, all := Compile(c, nil)
	for _, f := range all {
		if f.Warning {
			warnings = append(warnings, f.Key+": "+f.Reason)
		} else {
			errors = append(errors, f.Key+": "+f.Reason)
		}
	}
	return
}

// A contradiction to a rule of a class is rejected with the key and the figure. A configuration one step before that is
// accepted.
func TestContradictionIsRejectedWithKeyAndFigure(t *testing.T) {
	for name, c := range map[string]struct {
		good, bad func(*Config)
		key       string
		says      []string
	}{
		"attempts within the window": {
			func(c *Config) { c.Classes[classPay].AttemptTimeout, c.Classes[classPay].MaxAttempts = 600*ms, 3 },
			func(c *Config) { c.Classes[classPay].AttemptTimeout, c.Classes[classPay].MaxAttempts = 650*ms, 3 },
			"class[1].try_for", []string{"rule window", "attempt 3", "1.5s", "1.570785s"}},
		"attempts of one pod": {
			func(c *Config) {
				c.Classes[classDayClose].Deadline, c.Classes[classDayClose].AttemptTimeout = 30*time.Second, 5800*ms
			},
			func(c *Config) {
				c.Classes[classDayClose].Deadline, c.Classes[classDayClose].AttemptTimeout = 30*time.Second, 5900*ms
			}, "class[2].try_for", []string{"rule window", "12s"}},
		"with a slow clock": {
			func(c *Config) {
				c.Classes[classDayClose].Deadline, c.Classes[classDayClose].AttemptTimeout = 30*time.Second, 5800*ms
			},
			func(c *Config) {
				c.Classes[classDayClose].Deadline, c.Classes[classDayClose].AttemptTimeout = 30*time.Second, 5800*ms
				c.Limits.ClockError = 0.02
			}, "class[2].try_for", []string{"clocks 0.02 apart"}},
		"with a slow connection": {
			func(c *Config) { c.Classes[classPay].AttemptTimeout = 600 * ms },
			func(c *Config) { c.Classes[classPay].AttemptTimeout, c.Limits.DialTimeout = 600*ms, 300*ms },
			"class[1].try_for", []string{"connection 300ms"}},
		"clients that retry": {
			func(c *Config) {
				c.Classes[classPay].Clients, c.Classes[classPay].Deadline = ClientsRetryFailed, 1200*ms
			},
			func(c *Config) { c.Classes[classPay].Clients = ClientsRetryFailed },
			"class[1].deadline", []string{"a client that comes again within its 2.5s"}},
		"clients that retry at any pod": {
			func(c *Config) { c.Classes[classDayClose].Clients = ClientsRetryRejected },
			func(c *Config) { c.Classes[classDayClose].Clients = ClientsRetryFailed },
			"class[2].clients", []string{"rule group"}},
		"clients that retry what is not idempotent": {
			func(c *Config) { c.Classes[classOrder].Clients = ClientsRetryRejected },
			func(c *Config) { c.Classes[classOrder].Clients = ClientsRetryFailed },
			"class[3].clients", []string{"rule unsafe"}},
		"a hedge within the window": {
			func(c *Config) { c.Classes[classPay].HedgeDelay = 1200 * ms },
			func(c *Config) { c.Classes[classPay].HedgeDelay = 1600 * ms },
			"class[1].copy_after", []string{"rule window", "a second copy", "1.5s"}},
		"a hedge of what is not idempotent": {
			func(c *Config) {},
			func(c *Config) { c.Classes[classOrder].HedgeDelay = ms },
			"class[3].copy_after", []string{"rule unsafe"}},
		"a hedge quantile of what is not idempotent": {
			func(c *Config) { c.Classes[classPay].HedgeQuantile = 0.9 },
			func(c *Config) { c.Classes[classOrder].HedgeQuantile = 0.9 },
			"class[3].copy_at", []string{"rule unsafe"}},
		"a window that is all connection": {
			func(c *Config) { c.Classes[classPay].DedupWindow = 300 * ms },
			func(c *Config) { c.Classes[classPay].DedupWindow = 260 * ms },
			"class[1].window", []string{"rule window", "nothing is left"}},
		"too many attempts": {
			func(c *Config) { c.Classes[0].MaxAttempts = 3 },
			func(c *Config) { c.Classes[0].MaxAttempts = 4 },
			"class[0].attempts", []string{"rule attempts", "4"}},
		"a drain that cuts off": {
			func(c *Config) { c.Limits.DrainTimeout = 5100 * ms },
			func(c *Config) { c.Limits.DrainTimeout = 5 * time.Second },
			"class[0].deadline", []string{"rule drain", "3s", "2s", "5s"}},
		"a drain, and time for an attempt": {
			func(c *Config) {
				c.Limits.DrainTimeout = 3500 * ms
				for i := range c.Classes {
					c.Classes[i].AttemptTimeout, c.Classes[i].MaxAttempts = 1400*ms, 1
				}
			}, func(c *Config) { c.Limits.DrainTimeout = 3500 * ms }, "class[0].deadline", []string{"rule drain"}},
		"a route that is later than its class": {
			func(c *Config) {
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{HedgeDelay: time.Second}}}
			},
			func(c *Config) {
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{HedgeDelay: 1450 * ms}}}
			}, "route[0].copy_after", []string{"rule window"}},
		"a route beside its class's attempts": {
			func(c *Config) {
				c.Classes[classPay].AttemptTimeout, c.Classes[classPay].MaxAttempts = 1200*ms, 2
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a"}}
			},
			func(c *Config) {
				c.Classes[classPay].AttemptTimeout, c.Classes[classPay].MaxAttempts = 1200*ms, 2
				c.Routes = []Route{{Class: "stall-pay", Prefix: "/a", Timing: Timing{MaxAttempts: 3}}}
			}, "route[0].try_for", []string{"attempt 3"}},
		"routes that overlap": {
			func(c *Config) {
				c.Routes = []Route{{Prefix: "/a", Class: "order"}, {Prefix: "/a", Method: "GET", Class: "price-check"}}
			},
			func(c *Config) {
				c.Routes = []Route{{Prefix: "/a", Class: "order"}, {Prefix: "/a", Class: "price-check"}}
			}, "route[1].class", []string{"rule overlap", "route[0]", "order"}},
	} {
		c.key += ": "
		good, bad := marketConfig(), marketConfig()
		c.good(good)
		c.bad(bad)
		if errs, _ := faults(good); len(errs) > 0 {
			t.Errorf("%s: a legal configuration is rejected: %v", name, errs)
		}
		errs, _ := faults(bad)
		at := slices.IndexFunc(errs, func(s string) bool { return strings.HasPrefix(s, c.key) })
		if at < 0 {
			t.Errorf("%s: %v, want one of %s", name, errs, c.key)
			continue
		}
		for _, word := range c.says {
			if !strings.Contains(errs[at], word) {
				t.Errorf("%s: %q does not say %q", name, errs[at], word)
			}
		}
	}
}

// What is legal but unwise gives a warning, and is accepted.
func TestUnwiseFigureGivesWarning(t *testing.T) {
	for name, c := range map[string]struct {
		set func(*Config)
		key string
	}{
		"less than the usual work": {
			func(c *Config) { c.Classes[0].AttemptTimeout, c.Classes[0].TypicalWork = 300*ms, 400*ms },
			"class[0].try_for",
		},
		"less than a connection": {func(c *Config) { c.Classes[0].AttemptTimeout = 200 * ms }, "class[0].try_for"},
		"attempts past the end":  {func(c *Config) { c.Classes[0].AttemptTimeout = 2 * time.Second }, "class[0].try_for"},
		"a hedge past the attempt": {
			func(c *Config) { c.Classes[0].AttemptTimeout, c.Classes[0].HedgeDelay = time.Second, time.Second },
			"class[0].copy_after",
		},
		"a hedge, and one attempt": {
			func(c *Config) { c.Classes[0].MaxAttempts, c.Classes[0].HedgeDelay = 1, time.Second },
			"class[0].copy_after",
		},
		"a hedge, and hedging off": {
			func(c *Config) { c.Classes[0].Hedging, c.Classes[0].HedgeDelay = ptr(false), time.Second },
			"class[0].copy_after",
		},
		"a route never reached": {
			func(c *Config) { c.Routes = []Route{{Path: "/a", Class: "order"}, {Path: "/a", Class: "order"}} },
			"route[1].class",
		},
		"a POST that is safe": {
			func(c *Config) { c.Routes = []Route{{Path: "/a", Method: "POST", Class: "price-check"}} },
			"route[0].method",
		},
	} {
		m := marketConfig()
		c.set(m)
		errs, warned := faults(m)
		if len(errs) > 0 || !slices.ContainsFunc(warned, func(s string) bool { return strings.HasPrefix(s, c.key+": ") }) {
			t.Errorf("%s: faults %v, warnings %v", name, errs, warned)
		}
	}
	if errs, warned := faults(marketConfig()); len(errs)+len(warned) > 0 {
		t.Errorf("an ordinary file: %v, %v", errs, warned)
	}
}

// Each key has its bounds.
func TestFigureOutOfBoundsIsRejected(t *testing.T) {
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
		c := marketConfig()
		set(c)
		if errs, _ := faults(c); !slices.ContainsFunc(errs, func(s string) bool { return strings.HasPrefix(s, key+": ") }) {
			t.Errorf("%s: %v", key, errs)
		}
	}
}
