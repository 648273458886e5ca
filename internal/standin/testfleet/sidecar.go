package testfleet

import (
	"cmp"
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/wait"
)

// SidecarConfig is the configuration file that the platform gives to its sidecar.
type SidecarConfig struct {
	Listen    string
	Discovery string
	Hosts     []fakediscovery.Host // known before discovery has responded
	Version   uint64               // of the list of Hosts
	Seed      string               // hexadecimal; empty for defaultSeed
	MemoryMB  int                  // 0 for defaultMemoryMB
	Sockets   int                  // 0 for defaultSockets
	Settings  SidecarSettings
}

// Defaults of fields of [SidecarConfig].
const (
	defaultSeed     = "1f"
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// SidecarSettings are a customer's settings. Fields are named as in package balancer, and JSON keys as in the
// platform's file. Times are in microseconds.
type SidecarSettings struct {
	Zones     []string   `json:"areas"`
	Kinds     []string   `json:"skus"`
	Stages    []string   `json:"stages,omitempty"`
	Tenants   []Tenant   `json:"tenants,omitempty"`
	Discovery string     `json:"discovery"` // DiscoveryPolled or DiscoveryPushed
	Classes   []Class    `json:"classes"`
	Contract  *Contract  `json:"contract,omitempty"`
	Limits    Limits     `json:"limits"`
	Reporting *Reporting `json:"reporting,omitempty"`
	Prices    *Prices    `json:"prices,omitempty"`
	Balancers int        `json:"peers-total,omitempty"`
	Position  int        `json:"position"`
	Zone      int        `json:"zone"`
}

// Values of SidecarSettings.Discovery.
const (
	DiscoveryPolled = "subscribe"
	DiscoveryPushed = "automatic"
)

// Values of Class.Idempotency.
const (
	Idempotent        = "pure"
	IdempotentWithKey = "token"
	NotIdempotent     = "side_effect"
)

// Values of Class.Group: the servers among which requests with the same idempotency key are deduplicated.
const (
	GroupAll  = "all"
	GroupCell = "cell"
)

// ReportingByProbe is the value of Reporting.Mode with which endpoints report their load in responses to probes.
const ReportingByProbe = "probe"

// Class is a class of requests.
type Class struct {
	Name             string  `json:"name"`
	Idempotency      string  `json:"repeat"`
	Group            string  `json:"group,omitempty"`
	DedupWindow      int64   `json:"window,omitempty"`
	LatencyObjective int64   `json:"target"`
	ClientTimeout    int64   `json:"give-up"`
	PriorityWeight   float64 `json:"credit,omitempty"`
}

// Tenant is the entry of one tenant in the settings.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Quota float64 `json:"allowance-per-s"`
}

// Contract is what the platform guarantees about endpoints.
type Contract struct {
	AnswerSlack      int64   `json:"answer-slack"`
	PollInterval     int64   `json:"ask-within"`
	SlowStartRatio   float64 `json:"cold-from"`
	DrainGrace       int64   `json:"drain-grace"`
	OverloadMultiple float64 `json:"fall-multiple"`
	OverloadTime     int64   `json:"overload-for"`
	SlowStartTime    int64   `json:"ramp-time"`
}

// Limits restrict what the sidecar may do.
type Limits struct {
	Cancel        bool  `json:"cancel"`
	DialTimeout   int64 `json:"dial-timeout"`
	KeepAlive     int64 `json:"keepalive"`
	MaxRetryAfter int64 `json:"max-retry-after,omitempty"`
	MaxOpen       int   `json:"most-held,omitempty"`
	MaxAttempts   int   `json:"most-tries,omitempty"`
	Multiplex     int   `json:"multiplex,omitempty"`
	Probes        bool  `json:"probes"`
	RetryAfter    bool  `json:"retry-after"`
	Hedging       bool  `json:"second-copies"`
}

// Prices are the costs of events, relative to the weight of a request.
type Prices struct {
	Probe float64 `json:"probe"`
}

// Reporting configures how endpoints report their load.
type Reporting struct {
	Mode   string   `json:"how"`
	Fields []string `json:"fields"`
}

// MinimalSettings returns settings with one idempotent class and hardly any optional setting.
func MinimalSettings() SidecarSettings {
	return SidecarSettings{
		Zones:     []string{"a"},
		Kinds:     []string{"m"},
		Discovery: DiscoveryPolled,
		Classes: []Class{
			{Name: "read", Idempotency: Idempotent, LatencyObjective: 600_000, ClientTimeout: 1_000_000},
		},
		Limits: Limits{KeepAlive: 5_000_000, DialTimeout: 250_000},
	}
}

// FullSettings returns settings with a class for each kind of idempotency: "read" is idempotent, "pay" and "close" use
// an idempotency key, which is deduplicated in the whole fleet and in a cell respectively, and "order" is not
// idempotent.
// A request may take up to clientTimeout, and its key is deduplicated for dedupWindow.
func FullSettings(clientTimeout, dedupWindow time.Duration) SidecarSettings {
	class := func(name, idempotency, group string) Class {
		c := Class{
			Name:             name,
			Idempotency:      idempotency,
			Group:            group,
			LatencyObjective: 600_000,
			ClientTimeout:    clientTimeout.Microseconds(),
			PriorityWeight:   1,
		}
		if group != "" {
			c.DedupWindow = dedupWindow.Microseconds()
		}
		return c
	}
	return SidecarSettings{
		Zones:     []string{"a", "b"},
		Kinds:     []string{"m1"},
		Discovery: DiscoveryPolled,
		Classes: []Class{
			class("read", Idempotent, ""),
			class("pay", IdempotentWithKey, GroupAll),
			class("close", IdempotentWithKey, GroupCell),
			class("order", NotIdempotent, ""),
		},
		Contract: &Contract{
			AnswerSlack:      20_000,
			PollInterval:     1_000_000,
			SlowStartRatio:   0.3,
			DrainGrace:       1_000_000,
			OverloadMultiple: 2.5,
			OverloadTime:     1_000_000,
		},
		Limits: Limits{
			Cancel:        true,
			DialTimeout:   2_000_000,
			KeepAlive:     5_000_000,
			MaxRetryAfter: 1_500_000,
			MaxOpen:       1000,
			MaxAttempts:   3,
			Multiplex:     1,
			RetryAfter:    true,
		},
		Balancers: 1,
	}
}

// resources are what the platform grants a sidecar.
type resources struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// sidecarFile is the JSON form of a [SidecarConfig].
type sidecarFile struct {
	Name      string                 `json:"name"`
	Listen    string                 `json:"listen"`
	Discovery string                 `json:"discovery"`
	Seed      string                 `json:"seed"`
	Limits    resources              `json:"limits"`
	Known     fakediscovery.Document `json:"known"`
	Settings  SidecarSettings        `json:"settings"`
}

// JSON returns the content of the file. It ends the test on an error.
func (c SidecarConfig) JSON(t testing.TB) string {
	t.Helper()
	text, err := c.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Marshal returns the content of the file.
func (c SidecarConfig) Marshal() ([]byte, error) {
	file := sidecarFile{
		Name:      "n0",
		Listen:    c.Listen,
		Discovery: c.Discovery,
		Seed:      cmp.Or(c.Seed, defaultSeed),
		Limits: resources{
			Cores:    1,
			MemoryMB: cmp.Or(c.MemoryMB, defaultMemoryMB),
			Sockets:  cmp.Or(c.Sockets, defaultSockets),
		},
		Known:    fakediscovery.Document{Seq: c.Version, Complete: true, Hosts: c.Hosts},
		Settings: c.Settings,
	}
	if file.Known.Hosts == nil {
		file.Known.Hosts = []fakediscovery.Host{}
	}
	return json.Marshal(file)
}

// JSON returns the settings as they appear in the file. It ends the test on an error.
func (s SidecarSettings) JSON(t testing.TB) string {
	t.Helper()
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// WriteFile writes a configuration file, whose content may be invalid.
func WriteFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Readiness returns the status code with which a sidecar responds to a readiness check, 0 if it does not respond.
// Each check uses a new connection.
func Readiness(address string) int {
	client := http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		Timeout:   wait.Timeout,
	}
	response, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// IsReady reports whether a sidecar is ready.
func IsReady(address string) bool { return Readiness(address) == http.StatusOK }
