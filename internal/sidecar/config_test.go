package sidecar

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pinedale/balancer"
)

// The error of an invalid configuration is a single line that names the invalid key.
func TestInvalidConfigNamesTheKey(t *testing.T) {
	good := `{
		"name":"n3",
		"listen":"127.0.0.1:1",
		"discovery":"127.0.0.1:2",
		"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
		"known":{"seq":4,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:3","health":"Ready"}]},
		"settings":` + testSettings().JSON(t) + `
	}`
	if cfg, err := parseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	} else if cfg.Settings.Limits.MaxRetryAfter != 1_500_000 || len(cfg.Settings.Classes) != 4 ||
		cfg.Settings.Classes[1].Idempotency != balancer.IdempotentWithKey ||
		len(cfg.Settings.Fields) != 2 || !cfg.Settings.PollDiscovery {
		t.Errorf("settings %+v, want the values of the file", cfg.Settings)
	}
	for _, test := range []struct{ old, new, key string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"listen":"127.0.0.1:1",`, ``, "listen"},
		{`"listen":"127.0.0.1:1"`, `"listen":7`, "listen"},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"host":"s-1"`, `"host":""`, "known: hosts[0].host"},
		{`"health":"Ready"`, `"health":"Fine"`, "known: hosts[0].health"},
		{`"dial":"127.0.0.1:3"`, `"dial":"nowhere"`, "known: hosts[0].dial"},
		{`"settings":`, `"other":`, "settings"},
		{`"keepalive":5000000`, `"keepalive":0`, "limits.keepalive"},
		{`"dial-timeout":2000000`, `"dial-timeout":0`, "limits.dial-timeout"},
		{`{"name":"pay"`, `{"name":"read"`, "classes.1.name"},
		{`{"name":"pay"`, `{"name":""`, "classes.1.name"},
		{`{"name":"pay"`, `{"nam":"pay"`, "classes.1.name"},
		{`"dial-timeout":2000000`, `"dial-timeout":-1`, "DialTimeout"},
		{`"most-tries":3`, `"most-tries":"3.5"`, "limits.most-tries"},
		{`"name":"read","repeat":"pure"`, `"name":"read","repeat":"twice"`, "classes.0.repeat"},
		{`"name":"read","repeat":"pure"`, `"name":"read"`, "classes.0.repeat"},
		{`"discovery":"subscribe"`, `"discovery":"gossip"`, "discovery"},
	} {
		bad := strings.Replace(good, test.old, test.new, 1)
		if bad == good {
			t.Fatalf("%q is not in the configuration", test.old)
		}
		_, err := parseConfig([]byte(bad))
		if err == nil || !strings.Contains(err.Error(), test.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", test.new, err, test.key)
		}
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if _, err := LoadConfig(path); err == nil {
		t.Error("LoadConfig accepts a missing file")
	}
	if err := os.WriteFile(path, []byte(good[:100]), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadConfig(path); err == nil {
		t.Error("LoadConfig accepts a truncated file")
	}
}

// Keys may be missing, unknown or empty, and names may contain characters that the simulator's settings text cannot
// represent.
func TestOptionalSettingsMayBeMissing(t *testing.T) {
	head := `{
		"name":"n3",
		"listen":"127.0.0.1:1",
		"discovery":"127.0.0.1:2",
		"seed":"1f",
		"extra":{"a":[1]},
		"limits":{"memory_mb":32,"sockets":64,"disk":0},
		"settings":`
	for name, test := range map[string]struct {
		settings string
		check    func(*Config) bool
	}{
		"a class and nothing else": {
			settings: `{"classes":[{"name":"only","repeat":"side_effect","target":1,"give-up":2}]}`,
			check: func(cfg *Config) bool {
				limits := cfg.Settings.Limits
				return limits.KeepAlive == defaultKeepAlive && limits.DialTimeout == defaultDialTimeout &&
					!cfg.Settings.PollDiscovery && len(cfg.reportFields) == 0 && len(cfg.zones) == 0
			},
		},
		"nulls and unknown keys": {
			settings: `{
				"areas":null,
				"tenants":null,
				"limits":{"keepalive":null,"colour":"red"},
				"weather":{"sun":[{"x":1}]},
				"classes":[{"name":"only","repeat":"pure","target":1,"give-up":2,"share":0}]
			}`,
			check: func(cfg *Config) bool { return len(cfg.Settings.Tenants) == 0 },
		},
		"names with spaces and commas": {
			settings: `{
				"areas":["Dar es Salaam","Kilwa, old"],
				"tenants":[{"name":"Mission Hospital","allowance-per-s":3}],
				"classes":[
					{"name":"bed, state","repeat":"token","group":"cell","window":5,"target":1,"give-up":2}
				]
			}`,
			check: func(cfg *Config) bool {
				settings := cfg.Settings
				return settings.Classes[0].Name == "bed, state" && settings.Tenants[0].Name == "Mission Hospital" &&
					cfg.zones[1] == "Kilwa, old"
			},
		},
	} {
		cfg, err := parseConfig([]byte(head + test.settings + "}"))
		if err != nil {
			t.Errorf("%s: valid settings are rejected: %v", name, err)
		} else if !test.check(cfg) {
			t.Errorf("%s: wrong configuration %+v", name, cfg)
		}
	}
}

// flatten writes the same path=value lines as the simulator.
func TestFlattenWritesSettingsText(t *testing.T) {
	var out strings.Builder
	flatten(&out, "", map[string]any{"a": map[string]any{"b": []any{
		map[string]any{"name": "x, y\nz=1"}, map[string]any{"on": true}}}})
	flatten(&out, "areas", []any{"p q", "r"})
	flatten(&out, "none", []any{})
	flatten(&out, "absent", nil)
	want := "a.b.count=2\na.b.0.name=x__y_z=1\na.b.1.on=true\nareas=p_q,r\nnone=\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}
