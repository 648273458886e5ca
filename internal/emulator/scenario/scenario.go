// Package scenario reads scenario files. A scenario describes a fleet of servers, the load from clients, how clients
// retry, and a timeline of faults. File.Plan turns a file into a plan.Scenario that a simulation runs; File.WriteText
// and File.WriteHTML report the result of a run.
package scenario

import (
	"os"
	"time"

	"pinedale/internal/tomlfile"
)

// Limits of a scenario file.
const (
	fileVersion  = 1 // version of the file format
	maxFileBytes = 1 << 20
)

// Defaults of optional keys.
const (
	defaultSeed         = 1
	defaultPodSize      = 4
	defaultMaxAttempts  = 3
	defaultTimeoutRatio = 1
	defaultRetryDelay   = 50 * time.Millisecond
)

// Load reads and validates the scenario file at a path.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// Parse decodes and validates the text of a scenario file. Its error joins one *tomlfile.Error for each invalid key.
func Parse(data []byte) (*File, error) {
	file := &File{Seed: defaultSeed, PodSize: defaultPodSize}
	file.Limits.MaxAttempts = defaultMaxAttempts
	file.Clients.TimeoutRatio = defaultTimeoutRatio
	file.Clients.RetryDelay = Duration(defaultRetryDelay)
	decoded, err := tomlfile.Decode(data, maxFileBytes, file)
	if err != nil {
		return nil, err
	}
	v := validator{File: decoded, scenario: file}
	v.validate()
	if err := v.Err(); err != nil {
		return nil, err
	}
	return file, nil
}
