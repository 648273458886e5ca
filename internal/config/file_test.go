package config

import (
	"slices"
	"strings"
	"testing"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/subset"
)

// exampleFile is the example in the repository.
const exampleFile = "../../deploy/site.example.toml"

// goodFile is a valid file.
const goodFile = `version = 1
name = "arusha-1"
site = "arusha"
[http]
listen = "127.0.0.1:0"
[ext_proc]
listen = "127.0.0.1:0"
retries = "ask-again"
[limits]
attempts = 2
[fleet]
sites = ["arusha", "dar"]
kinds = ["big-box"]
reports = ["eps", "queue"]
[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = "3s"
[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = "1.5s"
aim = "600ms"
deadline = "2.5s"
worth = 10
[[server]]
name = "soko-1"
address = "127.0.0.1:9101"
site = "dar"
kind = "big-box"
pod = 3
`

// mustParse parses a valid file.
func mustParse(t *testing.T, text string) *File {
	t.Helper()
	file, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// A valid file becomes the settings of the balancer.
func TestGoodFileBecomesSettings(t *testing.T) {
	settings := mustParse(t, goodFile).Settings()
	if settings.Zone != 0 || settings.Limits.MaxAttempts != 2 || settings.PollDiscovery ||
		!slices.Equal(settings.Fields, []balancer.Field{balancer.FieldErrors, balancer.FieldQueue}) {
		t.Errorf("settings %+v, want zone 0, at most 2 attempts, no polls of discovery, and the errors and queue fields",
			settings)
	}
	price, pay := settings.Classes[0], settings.Classes[1]
	if pay.Idempotency != balancer.IdempotentWithKey || pay.Group != balancer.GroupAll ||
		pay.ClientTimeout != 2_500_000 || pay.PriorityWeight != 10 || price.PriorityWeight != 1 {
		t.Errorf("classes %+v, want the values of the file for price and pay", settings.Classes)
	}
	// The window of 1.5 s is reduced by the time of a dial, late timers and clock drift.
	if pay.DedupWindow != 1_239_250 {
		t.Errorf("deduplication window %d", pay.DedupWindow)
	}
}

// The [[server]] entries of a file become hosts.
func TestServersOfFileBecomeHosts(t *testing.T) {
	want := []engine.Host{{
		Name:    "soko-1",
		Address: "127.0.0.1:9101",
		Site:    "dar",
		Kind:    "big-box",
		Cell:    3,
		State:   balancer.Ready,
		Weight:  1,
	}}
	if hosts := mustParse(t, goodFile).Hosts(); !slices.Equal(hosts, want) {
		t.Errorf("hosts %+v, want %+v", hosts, want)
	}
}

// The summary of a file names its classes and counts its servers.
func TestSummaryNamesClassesAndCountsServers(t *testing.T) {
	summary := mustParse(t, goodFile).Summary()
	for _, want := range []string{"stall-pay", "1 servers"} {
		if !strings.Contains(summary, want) {
			t.Errorf("summary %q, want %q", summary, want)
		}
	}
}

// The example in the repository is valid.
func TestExampleFileIsValid(t *testing.T) {
	if _, err := Load(exampleFile); err != nil {
		t.Error(err)
	}
}

// A subset is at least large enough for retries within each site, and fleet.subset_spread has bounds.
func TestSubsetBounds(t *testing.T) {
	example := readExample(t)
	for _, test := range []struct{ name, keys, reason string }{
		{"smallest subset", "subset = 8\n", ""},
		{"below the smallest", "subset = 7\n", "8 to 10000"},
		{"negative", "subset = -1\n", "8 to 10000"},
		{"negative spread", "subset = 8\nsubset_spread = -1\n", "0 to 1000"},
		{"spread that is no number", "subset = 8\nsubset_spread = nan\n", "0 to 1000"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file, err := Parse([]byte(replaceOnce(t, example, "[fleet]\n", "[fleet]\n"+test.keys)))
			if test.reason != "" {
				if err == nil || !strings.Contains(err.Error(), test.reason) {
					t.Errorf("%q: error %v, want %q", test.keys, err, test.reason)
				}
				return
			}
			if err != nil {
				t.Fatalf("%q is rejected: %v", test.keys, err)
			}
			settings, ok := file.SubsetConfig()
			if part, err := subset.New(settings); !ok || part == nil || err != nil {
				t.Errorf("%q: no subset, %v", test.keys, err)
			}
		})
	}
}
