package wire

import (
	"errors"
	"strings"
	"testing"

	"pinedale/balancer"
)

// goodSettings is a valid settings text.
const goodSettings = `areas=a,b
classes.count=2
classes.0.name=x
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
classes.1.give-up=600000
classes.1.group=zone
classes.1.repeat=token
classes.1.target=300000
classes.1.window=400000
contract.cold-from=0.14
contract.ramp-time=23000000
discovery=subscribe
future.key=whatever
goal.whole=0.6
limits.most-tries=3
limits.probes=true
prices.probe=0.002
reporting.fields=busy_reqs,served_ps,brand_new
reporting.how=probe
tenants.count=1
tenants.0.allowance-per-s=137.0
tenants.0.name=t
value-by=work
`

func TestParseSettings(t *testing.T) {
	settings, err := ParseSettings(goodSettings)
	if err != nil {
		t.Fatal(err)
	}
	if len(settings.Classes) != 2 || settings.Classes[1].Idempotency != balancer.IdempotentWithKey ||
		settings.Classes[1].Group != balancer.GroupZone || settings.Classes[1].DedupWindow != 400000 ||
		!settings.PollDiscovery || !settings.WeightByWork || settings.Zones != 2 || settings.Limits.MaxAttempts != 3 ||
		settings.Goal.Overall != 0.6 || settings.Tenants[0].Quota != 137 || settings.Prices.Probe != 0.002 {
		t.Errorf("%+v", settings)
	}
	fields := settings.Fields
	if len(fields) != 3 || fields[0] != balancer.FieldInFlight || fields[2] != balancer.FieldOther {
		t.Errorf("fields %v, want the three of goodSettings", fields)
	}
	if _, err := balancer.New(settings, 1, nil); err != nil {
		t.Errorf("balancer.New rejects the parsed settings: %v", err)
	}
	settings, err = ParseSettings(strings.Replace(goodSettings, "how=probe", "how=none", 1))
	if err != nil || settings.Fields != nil {
		t.Errorf("without load reports: fields %v, error %v, want neither", settings.Fields, err)
	}
}

func TestParseSettingsNamesInvalidKey(t *testing.T) {
	for _, c := range []struct {
		old, new string // replacement in goodSettings
		key      string // in the error
	}{
		{"classes.count=2", "classes.count=3", "classes.count"},
		{"classes.count=2\n", "", "classes.count"},
		{"classes.count=2", "classes.count=-1", "classes.count"},
		{"repeat=pure", "repeat=sometimes", "classes.0.repeat"},
		{"classes.0.target=250000\n", "", "classes.0.target"},
		{"window=400000", "window=soon", "classes.1.window"},
		{"cold-from=0.14", "cold-from=NaN", "contract.cold-from"},
		{"probes=true", "probes=maybe", "limits.probes"},
		{"discovery=subscribe", "discovery=magic", "discovery"},
		{"value-by=work", "no pair", "line 25"},
	} {
		_, err := ParseSettings(strings.Replace(goodSettings, c.old, c.new, 1))
		var invalid *balancer.SettingError
		if !errors.As(err, &invalid) || invalid.Key != c.key {
			t.Errorf("%s -> %s: error %v, want a *balancer.SettingError", c.old, c.new, err)
		}
	}
}

// Values of the right form that are out of range are rejected by balancer.New, not by ParseSettings.
func TestParseSettingsLeavesRangesToBalancer(t *testing.T) {
	settings, err := ParseSettings(strings.Replace(goodSettings, "window=400000", "window=-1", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = balancer.New(settings, 1, nil); err == nil || !strings.Contains(err.Error(), "DedupWindow=-1") {
		t.Errorf("negative window: error %v, want one that names DedupWindow=-1", err)
	}
}
