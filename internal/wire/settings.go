package wire

import (
	"fmt"
	"math"
	"strings"

	"pinedale/balancer"
)

const (
	second              balancer.Micros = 1_000_000
	defaultPollInterval                 = 10 * second
)

// discoveryModes maps the values of "discovery" to Settings.PollDiscovery.
var discoveryModes = map[string]bool{
	"automatic": false,
	"subscribe": true,
}

// valueUnits maps the values of "value-by" to Settings.WeightByWork.
var valueUnits = map[string]bool{
	"request": false,
	"work":    true,
}

// ParseSettings reads the settings text of a begin record: lines of the form path=value. Unknown keys are skipped.
// Errors are *balancer.SettingError with the key as written in the text. Ranges of values are checked by balancer.New.
func ParseSettings(text string) (balancer.Settings, error) {
	t, err := parsePairs(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	settings := balancer.Settings{
		Balancers:            int(t.integer("peers-total", 1)),
		Position:             int(t.integer("position", 0)),
		Zone:                 int(t.integer("zone", 0)),
		Zones:                countItems(t.pairs["areas"]),
		Kinds:                countItems(t.pairs["skus"]),
		PollDiscovery:        keyword(t, "discovery", false, discoveryModes),
		Tick:                 t.integer("tick", 0),
		Limits:               t.limits(),
		Contract:             t.contract(),
		Prices:               t.prices(),
		Goal:                 t.goal(),
		KeyAffinity:          t.boolean("family-info.warm-keys"),
		OverQuotaWeightRatio: t.number("over-share-worth", 1),
		WeightByWork:         keyword(t, "value-by", false, valueUnits),
	}
	settings.Fields = t.fields()
	settings.Classes = t.classes()
	settings.Tenants = t.tenants()
	return settings, t.err
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

// fieldsByName maps the names of load report fields. Other names map to FieldOther, the zero value.
var fieldsByName = map[string]balancer.Field{
	"busy_reqs": balancer.FieldInFlight,
	"pending":   balancer.FieldQueue,
	"cpu_share": balancer.FieldUtilization,
	"svc_ms":    balancer.FieldLatency,
	"served_ps": balancer.FieldServed,
	"failed_ps": balancer.FieldErrors,
}

// reportingModes maps the values of "reporting.how" to whether endpoints report their load.
var reportingModes = map[string]bool{
	"answers": true,
	"probe":   true,
	"none":    false,
}

// fields returns the fields of load reports in order, nil if endpoints do not report.
func (t *settingsText) fields() []balancer.Field {
	reported := keyword(t, "reporting.how", false, reportingModes)
	names := t.pairs["reporting.fields"]
	if !reported || names == "" {
		return nil
	}
	var fields []balancer.Field
	for _, name := range strings.Split(names, ",") {
		fields = append(fields, fieldsByName[name])
	}
	return fields
}

// idempotencies maps the values of "repeat" of a class.
var idempotencies = map[string]balancer.Idempotency{
	"pure":        balancer.Idempotent,
	"token":       balancer.IdempotentWithKey,
	"side_effect": balancer.NotIdempotent,
}

// groups maps the values of "group" of a class.
var groups = map[string]balancer.Group{
	"all":  balancer.GroupAll,
	"zone": balancer.GroupZone,
	"cell": balancer.GroupCell,
}

// requiredClassKeys must be present in each class.
var requiredClassKeys = [...]string{"target", "give-up", "repeat"}

func (t *settingsText) classes() []balancer.Class {
	var classes []balancer.Class
	for i := range t.count("classes", true) {
		prefix := fmt.Sprintf("classes.%d.", i)
		for _, key := range requiredClassKeys {
			t.require(prefix + key)
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
