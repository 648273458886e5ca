package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"pinedale/balancer"
	"pinedale/internal/engine"
	"pinedale/internal/membership/registry"
	"pinedale/internal/wire"
)

// Config is a sidecar's configuration. Make one with LoadConfig.
type Config struct {
	Name      string // of the sidecar, for log lines
	Listen    string // host:port on which the application connects
	Discovery string // host:port of the discovery service
	Seed      uint64 // of the balancer's random numbers
	Limits    Limits
	Settings  balancer.Settings

	cachedList   engine.List   // endpoints known before the first response of discovery
	zones        []string      // names, indexed by the balancer's zone numbers
	kinds        []string      // names, indexed by the balancer's kind numbers
	reportFields []string      // of a load report, in the order of Settings.Fields
	idleTimeout  time.Duration // after which an endpoint may close a connection
}

// Limits are the resources that the platform grants a sidecar.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// minSockets is the smallest socket limit with which a sidecar can serve requests.
const minSockets = 64

// Default limits, used where the settings omit them.
const (
	defaultKeepAlive   balancer.Micros = 15_000_000
	defaultDialTimeout balancer.Micros = 250_000
)

// configFile is the format of the configuration file that the platform writes.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`    // a list as discovery sends it
	Settings  json.RawMessage `json:"settings"` // the balancer's
}

// settingsNames holds the names in the settings exactly as written. Everything else is read through the
// simulator's settings text, in which names have no spaces or commas.
type settingsNames struct {
	Classes   []namedEntry `json:"classes"`
	Tenants   []namedEntry `json:"tenants"`
	Areas     []string     `json:"areas"`
	SKUs      []string     `json:"skus"`
	Reporting struct {
		Fields []string `json:"fields"`
	} `json:"reporting"`
}

// namedEntry is an entry of a list. Only its name is read.
type namedEntry struct {
	Name string `json:"name"`
}

// LoadConfig reads a configuration file. An error for an invalid value names its key.
func LoadConfig(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	cfg, err := parseConfig(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// parseConfig parses and checks the text of a configuration file.
func parseConfig(data []byte) (*Config, error) {
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	if err := checkAddress("listen", file.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery", file.Discovery); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", file.Seed)
	}
	if err := file.Limits.check(); err != nil {
		return nil, err
	}
	cfg := &Config{
		Name:      file.Name,
		Listen:    file.Listen,
		Discovery: file.Discovery,
		Seed:      seed,
		Limits:    file.Limits,
	}
	if len(file.Known) > 0 {
		if cfg.cachedList, err = registry.Parse(file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if err := cfg.readSettings(file.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return cfg, nil
}

// checkAddress returns an error that names key unless value is host:port.
func checkAddress(key, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: %q is not host:port", key, value)
	}
	return nil
}

// check returns an error that names the first limit with which a sidecar cannot run.
func (l Limits) check() error {
	if l.MemoryMB <= 0 {
		return fmt.Errorf("limits.memory_mb: %d is not positive", l.MemoryMB)
	}
	if l.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is below the minimum of %d", l.Sockets, minSockets)
	}
	return nil
}

// readSettings reads the balancer's settings with the parser of the simulator's settings text, then sets
// what the simulator does not need: names exactly as written and default limits.
func (c *Config) readSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return errors.New("the key is missing")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps the text: 5000000 must not become 5e+06
	tree := map[string]any{}
	if err := decoder.Decode(&tree); err != nil {
		return err
	}
	var text strings.Builder
	flatten(&text, "", tree)
	var err error
	if c.Settings, err = wire.ParseSettings(text.String()); err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	var names settingsNames
	if err := json.Unmarshal(raw, &names); err != nil {
		return err
	}
	if err := c.applyDefaultLimits(tree); err != nil {
		return err
	}
	if err := c.applyNames(&names); err != nil {
		return err
	}
	c.idleTimeout = micros(c.Settings.Limits.KeepAlive)
	return nil
}

// applyDefaultLimits sets the limits that the settings omit. Limits that the settings contain must be
// positive.
func (c *Config) applyDefaultLimits(settings map[string]any) error {
	given, _ := settings["limits"].(map[string]any)
	for _, limit := range [...]struct {
		key          string
		value        *balancer.Micros
		defaultValue balancer.Micros
	}{
		{"keepalive", &c.Settings.Limits.KeepAlive, defaultKeepAlive},
		{"dial-timeout", &c.Settings.Limits.DialTimeout, defaultDialTimeout},
	} {
		if given[limit.key] == nil {
			*limit.value = limit.defaultValue
		} else if *limit.value <= 0 {
			return fmt.Errorf("limits.%s: %d is not positive", limit.key, *limit.value)
		}
	}
	return nil
}

// applyNames sets the names of classes, tenants, zones, kinds and report fields exactly as written in the
// settings, since requests and endpoint lists refer to them in that form.
func (c *Config) applyNames(names *settingsNames) error {
	if len(names.Classes) != len(c.Settings.Classes) || len(names.Tenants) != len(c.Settings.Tenants) {
		return errors.New("classes or tenants: duplicate key")
	}
	seen := map[string]bool{}
	for i := range c.Settings.Classes {
		name := names.Classes[i].Name
		if name == "" || seen[name] {
			return fmt.Errorf("classes.%d.name: %q is empty or used by another class", i, name)
		}
		seen[name] = true
		c.Settings.Classes[i].Name = name
	}
	for i := range c.Settings.Tenants {
		c.Settings.Tenants[i].Name = names.Tenants[i].Name
	}
	c.zones = names.Areas
	c.kinds = names.SKUs
	c.reportFields = names.Reporting.Fields
	return nil
}

// micros converts the balancer's microseconds to a time.Duration.
func micros(m balancer.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// flatten writes a JSON value as path=value lines, the settings text of the simulator's begin record. A list
// of objects is written as its length and one path for each index, any other list as comma-separated values.
func flatten(out *strings.Builder, path string, value any) {
	switch v := value.(type) {
	case nil: // same as an absent key
	case map[string]any:
		for key, item := range v {
			flatten(out, joinPath(path, key), item)
		}
	case []any:
		flattenList(out, path, v)
	default:
		fmt.Fprintf(out, "%s=%s\n", path, scalar(v))
	}
}

// flattenList writes a list. The type of its first item determines the form of the whole list.
func flattenList(out *strings.Builder, path string, list []any) {
	if len(list) > 0 {
		if _, objects := list[0].(map[string]any); objects {
			fmt.Fprintf(out, "%s=%d\n", joinPath(path, "count"), len(list))
			for i, item := range list {
				flatten(out, joinPath(path, strconv.Itoa(i)), item)
			}
			return
		}
	}
	items := make([]string, len(list))
	for i, item := range list {
		items[i] = scalar(item)
	}
	fmt.Fprintf(out, "%s=%s\n", path, strings.Join(items, ","))
}

// joinPath returns the path of a key within an object at path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// separators replaces the characters that may not occur in a value of the settings text.
var separators = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

// scalar returns the text of a value that is neither a list nor an object.
func scalar(value any) string { return separators.Replace(fmt.Sprint(value)) }
