package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"pinedale/balancer"
)

const (
	maxListed           = 256        // classes or tenants
	defaultPollInterval = 10_000_000 // µs
)

// ParseSettings reads the settings text of a begin record: lines of the form path=value. Unknown keys are skipped.
// Errors are *balancer.SettingError and name the key on the wire; whether values make sense is left to balancer.New.
func ParseSettings(text string) (balancer.Settings, error) {
	t, err := parsePairs(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	s := balancer.Settings{
		Balancers:            int(t.integer("peers-total", 1)),
		Position:             int(t.integer("position", 0)),
		Zone:                 int(t.integer("zone", 0)),
		Zones:                countItems(t.pairs["areas"]),
		Kinds:                countItems(t.pairs["skus"]),
		PollDiscovery:        keyword(t, "discovery", false, map[string]bool{"automatic": false, "subscribe": true}),
		Tick:                 t.integer("tick", 0),
		Limits:               t.limits(),
		Contract:             t.contract(),
		Prices:               t.prices(),
		Goal:                 t.goal(),
		KeyAffinity:          t.boolean("family-info.warm-keys"),
		OverQuotaWeightRatio: t.number("over-share-worth", 1),
		WeightByWork:         keyword(t, "value-by", false, map[string]bool{"request": false, "work": true}),
	}
	s.Fields = t.fields()
	s.Classes = t.classes()
	s.Tenants = t.tenants()
	return s, t.err
}

// settingsText holds the pairs of a settings text, and the first error met in reading them.
type settingsText struct {
	pairs map[string]string
	err   error
}

// parsePairs splits a settings text into keys and values.
func parsePairs(text string) (*settingsText, error) {
	t := &settingsText{pairs: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &balancer.SettingError{Key: fmt.Sprintf("line %d", i+1), Value: line,
				Reason: "not of the form path=value"}
		}
		t.pairs[key] = value
	}
	return t, nil
}

func (t *settingsText) limits() balancer.Limits {
	return balancer.Limits{
		Cancel:        t.boolean("limits.cancel"),
		Probes:        t.boolean("limits.probes"),
		Hedging:       t.boolean("limits.second-copies"),
		RetryAfter:    t.boolean("limits.retry-after"),
		PeerMessages:  t.boolean("limits.may-tell"),
		MaxAttempts:   int(t.integer("limits.most-tries", 1)),
		MaxOpen:       int(t.integer("limits.most-held", math.MaxInt32)),
		MaxRetryAfter: t.integer("limits.max-retry-after", 0),
		DialTimeout:   t.integer("limits.dial-timeout", 0),
		KeepAlive:     t.integer("limits.keepalive", 0),
	}
}

func (t *settingsText) contract() balancer.Contract {
	return balancer.Contract{
		DrainGrace:       t.integer("contract.drain-grace", 0),
		SlowStartRatio:   t.number("contract.cold-from", 1),
		SlowStartTime:    t.integer("contract.ramp-time", 0),
		OverloadMultiple: t.number("contract.fall-multiple", 1),
		OverloadTime:     t.integer("contract.overload-for", 0),
		PollInterval:     t.integer("contract.ask-within", defaultPollInterval),
		AnswerSlack:      t.integer("contract.answer-slack", 0),
	}
}

func (t *settingsText) prices() balancer.Prices {
	return balancer.Prices{
		CrossZone: t.number("prices.cross-zone", 0),
		Probe:     t.number("prices.probe", 0),
		Waste:     t.number("prices.waste", 0),
		LateFail:  t.number("prices.late-fail", 0),
	}
}

func (t *settingsText) goal() balancer.Goal {
	return balancer.Goal{
		Overall:     t.number("goal.whole", 1),
		WorstWindow: t.number("goal.worst-window", 0),
		WorstClass:  t.number("goal.worst-class", 0),
		WorstTenant: t.number("goal.worst-tenant", 0),
	}
}

// fieldNames maps the figures of load reports; others are FieldOther.
var fieldNames = map[string]balancer.Field{
	"busy_reqs": balancer.FieldInFlight, "pending": balancer.FieldQueue, "cpu_share": balancer.FieldUtilization,
	"svc_ms": balancer.FieldLatency, "served_ps": balancer.FieldServed, "failed_ps": balancer.FieldErrors,
}

var reportingKinds = map[string]string{"answers": "answers", "probe": "probe", "none": "none"}

// fields returns the figures of load reports, in order; none where endpoints do not report.
func (t *settingsText) fields() []balancer.Field {
	kind := keyword(t, "reporting.how", "none", reportingKinds)
	names := t.pairs["reporting.fields"]
	if kind == "none" || names == "" {
		return nil
	}
	var fields []balancer.Field
	for _, name := range strings.Split(names, ",") {
		fields = append(fields, fieldNames[name])
	}
	return fields
}

var idempotencies = map[string]balancer.Idempotency{
	"pure": balancer.Idempotent, "token": balancer.IdempotentWithKey, "side_effect": balancer.NotIdempotent,
}

var groups = map[string]balancer.Group{
	"all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell,
}

func (t *settingsText) classes() []balancer.Class {
	var classes []balancer.Class
	for i := range t.count("classes", true) {
		prefix := fmt.Sprintf("classes.%d.", i)
		for _, key := range [...]string{"target", "give-up", "repeat"} {
			if _, ok := t.pairs[prefix+key]; !ok {
				t.fail(prefix+key, "", "is missing")
			}
		}
		classes = append(classes, balancer.Class{
			Name:             t.pairs[prefix+"name"],
			Idempotency:      keyword(t, prefix+"repeat", balancer.NotIdempotent, idempotencies),
			Group:            keyword(t, prefix+"group", balancer.GroupCell, groups),
			DedupWindow:      t.integer(prefix+"window", 0),
			LatencyObjective: t.integer(prefix+"target", 0),
			ClientTimeout:    t.integer(prefix+"give-up", 0),
			PriorityWeight:   t.number(prefix+"credit", 1),
			LateWeightRatio:  t.number(prefix+"late-value", 0),
			Streaming:        t.boolean(prefix + "stream"),
		})
	}
	return classes
}

func (t *settingsText) tenants() []balancer.Tenant {
	var tenants []balancer.Tenant
	for i := range t.count("tenants", false) {
		prefix := fmt.Sprintf("tenants.%d.", i)
		tenants = append(tenants, balancer.Tenant{
			Name:  t.pairs[prefix+"name"],
			Quota: t.number(prefix+"allowance-per-s", 0),
			Share: t.number(prefix+"share", 0),
		})
	}
	return tenants
}

// fail records the first error.
func (t *settingsText) fail(key, value, reason string) {
	if t.err == nil {
		t.err = &balancer.SettingError{Key: key, Value: value, Reason: reason}
	}
}

// value returns the value of a key, parsed, or the fallback if the key is absent.
func value[T any](t *settingsText, key string, fallback T, form string, parse func(string) (T, error)) T {
	text, ok := t.pairs[key]
	if !ok {
		return fallback
	}
	v, err := parse(text)
	if err != nil {
		t.fail(key, text, "not "+form)
		return fallback
	}
	return v
}

func (t *settingsText) number(key string, fallback float64) float64 {
	return value(t, key, fallback, "a finite number", func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
			err = strconv.ErrRange
		}
		return v, err
	})
}

func (t *settingsText) integer(key string, fallback int64) int64 {
	return value(t, key, fallback, "a whole number", func(s string) (int64, error) {
		return strconv.ParseInt(s, 10, 64)
	})
}

// boolean returns false for a key that is absent.
func (t *settingsText) boolean(key string) bool {
	return value(t, key, false, "true or false", strconv.ParseBool)
}

// keyword returns the meaning of a word; an unknown word is an error.
func keyword[T any](t *settingsText, key string, fallback T, meanings map[string]T) T {
	return value(t, key, fallback, "a known word", func(s string) (T, error) {
		if meaning, ok := meanings[s]; ok {
			return meaning, nil
		}
		return fallback, strconv.ErrSyntax
	})
}

// count returns the length of a list of objects, each of which must have a key at least.
func (t *settingsText) count(list string, required bool) int {
	key := list + ".count"
	if _, ok := t.pairs[key]; !ok && required {
		t.fail(key, "", "is missing")
	}
	count := t.integer(key, 0)
	text := strconv.FormatInt(count, 10)
	if count < 0 || count > maxListed {
		t.fail(key, text, "out of range")
		return 0
	}
	for i := range int(count) {
		if object := fmt.Sprintf("%s.%d", list, i); !t.has(object + ".") {
			t.fail(key, text, object+" is missing")
		}
	}
	return int(count)
}

// has reports whether any key has a prefix.
func (t *settingsText) has(prefix string) bool {
	for key := range t.pairs {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// countItems counts the comma-separated items of a list of plain values.
func countItems(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}
