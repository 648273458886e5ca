package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"pinedale/balancer"
)

// settingsText holds the pairs of a config text and the first error met.
type settingsText struct {
	pairs map[string]string
	err   error
}

// get returns the value of a key, parsed; a key that is absent gives def.
func get[T any](t *settingsText, key string, def T, what string, parse func(string) (T, error)) T {
	text, ok := t.pairs[key]
	if !ok {
		return def
	}
	v, err := parse(text)
	if err != nil {
		if t.err == nil {
			t.err = &balancer.SettingError{Key: key, Value: text, Reason: "not " + what}
		}
		return def
	}
	return v
}

func (t *settingsText) number(key string, def float64) float64 {
	return get(t, key, def, "a finite number", func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
			err = strconv.ErrRange
		}
		return v, err
	})
}

func (t *settingsText) integer(key string, def int64) int64 {
	return get(t, key, def, "a whole number", func(s string) (int64, error) {
		return strconv.ParseInt(s, 10, 64)
	})
}

func (t *settingsText) flag(key string, def bool) bool {
	return get(t, key, def, "true or false", strconv.ParseBool)
}

// keyword returns the meaning of a word; what an unlisted word means is an error.
func keyword[T any](t *settingsText, key string, def T, words map[string]T) T {
	return get(t, key, def, "a known word", func(s string) (T, error) {
		if v, ok := words[s]; ok {
			return v, nil
		}
		return def, strconv.ErrSyntax
	})
}

// count returns the length of a list of objects, each of which must be there.
func (t *settingsText) count(key string, required bool) int {
	if _, ok := t.pairs[key+".count"]; !ok && required && t.err == nil {
		t.err = &balancer.SettingError{Key: key + ".count", Value: "", Reason: "is missing"}
	}
	n := t.integer(key+".count", 0)
	if n < 0 || n > 256 {
		if t.err == nil {
			t.err = &balancer.SettingError{Key: key + ".count", Value: strconv.FormatInt(n, 10), Reason: "out of range"}
		}
		return 0
	}
	for i := range int(n) {
		found := false
		for k := range t.pairs {
			if strings.HasPrefix(k, fmt.Sprintf("%s.%d.", key, i)) {
				found = true
				break
			}
		}
		if !found && t.err == nil {
			t.err = &balancer.SettingError{Key: key + ".count", Value: strconv.FormatInt(n, 10),
				Reason: fmt.Sprintf("%s.%d is missing", key, i)}
		}
	}
	return int(n)
}

// items counts the comma-separated items of a list of plain values.
func items(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}

var fieldNames = map[string]balancer.Field{
	"busy_reqs": balancer.FieldInflight, "pending": balancer.FieldQueue, "cpu_share": balancer.FieldUtil,
	"svc_ms": balancer.FieldLatency, "served_ps": balancer.FieldServed, "failed_ps": balancer.FieldErrors,
}

// ParseSettings reads the config text of a begin record. Keys that it does not
// know are skipped. Errors are *balancer.SettingError and name the key on the wire.
func ParseSettings(text string) (balancer.Settings, error) {
	t := &settingsText{pairs: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return balancer.Settings{}, &balancer.SettingError{Key: fmt.Sprintf("line %d", i+1), Value: line,
				Reason: "not of the form path=value"}
		}
		t.pairs[key] = value
	}
	s := balancer.Settings{
		Balancers:     int(t.integer("peers-total", 1)),
		Position:      int(t.integer("position", 0)),
		Zone:          int(t.integer("zone", 0)),
		Zones:         items(t.pairs["areas"]),
		Kinds:         items(t.pairs["skus"]),
		PollDiscovery: keyword(t, "discovery", false, map[string]bool{"automatic": false, "subscribe": true}),
		Tick:          t.integer("tick", 0),
		Limits: balancer.Limits{
			Cancel:        t.flag("limits.cancel", false),
			Probes:        t.flag("limits.probes", false),
			Hedging:       t.flag("limits.second-copies", false),
			RetryAfter:    t.flag("limits.retry-after", false),
			PeerMessages:  t.flag("limits.may-tell", false),
			MaxAttempts:   int(t.integer("limits.most-tries", 1)),
			MaxOpen:       int(t.integer("limits.most-held", math.MaxInt32)),
			MaxRetryAfter: t.integer("limits.max-retry-after", 0),
			DialTimeout:   t.integer("limits.dial-timeout", 0),
			KeepAlive:     t.integer("limits.keepalive", 0),
		},
		Contract: balancer.Contract{
			DrainGrace:       t.integer("contract.drain-grace", 0),
			SlowStartRatio:   t.number("contract.cold-from", 1),
			SlowStartTime:    t.integer("contract.ramp-time", 0),
			OverloadMultiple: t.number("contract.fall-multiple", 1),
			OverloadTime:     t.integer("contract.overload-for", 0),
			PollInterval:     t.integer("contract.ask-within", 10_000_000),
			AnswerSlack:      t.integer("contract.answer-slack", 0),
		},
		Prices: balancer.Prices{
			CrossZone: t.number("prices.cross-zone", 0),
			Probe:     t.number("prices.probe", 0),
			Waste:     t.number("prices.waste", 0),
			LateFail:  t.number("prices.late-fail", 0),
		},
		Goal: balancer.Goal{
			Overall:     t.number("goal.whole", 1),
			WorstWindow: t.number("goal.worst-window", 0),
			WorstClass:  t.number("goal.worst-class", 0),
			WorstTenant: t.number("goal.worst-tenant", 0),
		},
		KeyAffinity:          t.flag("family-info.warm-keys", false),
		OverQuotaWeightRatio: t.number("over-share-worth", 1),
		WeightByWork: keyword(t, "value-by", false,
			map[string]bool{"request": false, "work": true}),
	}
	how := keyword(t, "reporting.how", "none", map[string]string{"answers": "answers", "probe": "probe", "none": "none"})
	if fields := t.pairs["reporting.fields"]; how != "none" && fields != "" {
		for _, f := range strings.Split(fields, ",") {
			s.Fields = append(s.Fields, fieldNames[f])
		}
	}
	for i := range t.count("classes", true) {
		at := fmt.Sprintf("classes.%d.", i)
		for _, key := range [...]string{"target", "give-up", "repeat"} {
			if _, ok := t.pairs[at+key]; !ok && t.err == nil {
				t.err = &balancer.SettingError{Key: at + key, Value: "", Reason: "is missing"}
			}
		}
		s.Classes = append(s.Classes, balancer.Class{
			Name: t.pairs[at+"name"],
			Idempotency: keyword(t, at+"repeat", balancer.NotIdempotent, map[string]balancer.Idempotency{
				"pure": balancer.Idempotent, "token": balancer.IdempotentWithKey, "side_effect": balancer.NotIdempotent}),
			Group: keyword(t, at+"group", balancer.GroupCell, map[string]balancer.Group{
				"all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell}),
			DedupWindow:      t.integer(at+"window", 0),
			LatencyObjective: t.integer(at+"target", 0),
			ClientTimeout:    t.integer(at+"give-up", 0),
			PriorityWeight:   t.number(at+"credit", 1),
			LateWeightRatio:  t.number(at+"late-value", 0),
			Streaming:        t.flag(at+"stream", false),
		})
	}
	for i := range t.count("tenants", false) {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, balancer.Tenant{
			Name:  t.pairs[at+"name"],
			Quota: t.number(at+"allowance-per-s", 0),
			Share: t.number(at+"share", 0),
		})
	}
	return s, t.err
}
