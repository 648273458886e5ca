// Package platform stands in for what the platform does for a sidecar: it has an address for it
// and writes its configuration.
package platform

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/ports"
)

// FreeAddress is one on which nobody listens now.
func FreeAddress(t testing.TB) string {
	t.Helper()
	address, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Config is a sidecar's configuration. Settings left nil are those of one class that is safe
// to repeat.
type Config struct {
	Listen    string
	Discovery string
	Known     []fakediscovery.Host
	Settings  map[string]any
}

// Text is the configuration as the platform writes it.
func (c Config) Text() string {
	settings := c.Settings
	if settings == nil {
		settings = map[string]any{"areas": []string{"a"}, "skus": []string{"m"}, "discovery": "subscribe",
			"limits":  map[string]any{"keepalive": 5000000, "dial-timeout": 250000},
			"classes": []any{map[string]any{"name": "read", "repeat": "pure", "target": 600000, "give-up": 1000000}}}
	}
	known := c.Known
	if known == nil {
		known = []fakediscovery.Host{}
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": c.Listen, "discovery": c.Discovery, "seed": "1f",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  fakediscovery.Document{Seq: 1, Complete: true, Hosts: known}, "settings": settings})
	if err != nil {
		panic(fmt.Sprintf("a configuration that JSON has no words for: %v", err))
	}
	return string(text)
}

// Write puts a configuration, or what a test wants in its place, into a file.
func Write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
