package schedule

import (
	"fmt"
	"time"

	"pinedale/internal/tomlfile"
)

// Agreement states when instances agree on an idempotency key, as in the configuration of pinedale-proxy.
type Agreement string

// The values of Agreement.
const (
	AgreeNever  Agreement = "never"
	AgreeSoon   Agreement = "soon"
	AgreeAlways Agreement = "always"
)

// Schedule describes a run. Runs of schedules that differ only in their faults send the same requests at the same times
// to the same instances.
type Schedule struct {
	Version      int               `toml:"version" json:"version"`
	Name         string            `toml:"name" json:"name"`
	Seed         uint64            `toml:"seed" json:"seed"`
	LoadDuration tomlfile.Duration `toml:"length" json:"length"`
	Instances    int               `toml:"instances" json:"instances"`
	Servers      int               `toml:"servers" json:"servers"`
	Rate         float64           `toml:"rate" json:"rate"`   // effects requested per second
	Agreement    Agreement         `toml:"agree" json:"agree"` // of the classes with idempotency keys
	Faults       []Fault           `toml:"fault" json:"faults"`
}

// The values of a schedule that does not set them.
const (
	currentVersion      = 1
	defaultServers      = 6
	defaultRate         = 60
	defaultAgreement    = AgreeAlways
	defaultLoadDuration = 8 * time.Second
)

// maxFileBytes is the size of the largest file that Parse accepts.
const maxFileBytes = 1 << 20

// InstanceName returns the name of the instance with the given index, from 0.
func InstanceName(index int) string { return fmt.Sprint("i-", index+1) }

// ServerName returns the name of the server with the given index, from 0.
func ServerName(index int) string { return fmt.Sprint("s-", index+1) }

// Parse parses a schedule in TOML and validates it. Its error joins one *tomlfile.Error for each invalid key.
func Parse(data []byte) (*Schedule, error) {
	schedule := &Schedule{
		LoadDuration: tomlfile.Duration(defaultLoadDuration),
		Servers:      defaultServers,
		Rate:         defaultRate,
		Agreement:    defaultAgreement,
	}
	file, err := tomlfile.Decode(data, maxFileBytes, schedule)
	if err != nil {
		return nil, err
	}
	schedule.validate(file.Require)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return schedule, nil
}

// LastFaultEnd returns the time from the start of the load to the end of the last fault.
func (s *Schedule) LastFaultEnd() time.Duration {
	var end time.Duration
	for i := range s.Faults {
		end = max(end, s.Faults[i].EndTime())
	}
	return end
}

// Filter returns a copy of the schedule with only those faults for whose index keep returns true.
func (s *Schedule) Filter(keep func(index int) bool) *Schedule {
	filtered := *s
	filtered.Faults = nil
	for i, fault := range s.Faults {
		if keep(i) {
			filtered.Faults = append(filtered.Faults, fault)
		}
	}
	return &filtered
}
