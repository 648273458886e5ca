package scenario

import (
	"cmp"
	"time"

	"pinedale/internal/emulator/model"
)

// A warming server collapses when the work that it is sent within overloadWindow exceeds overloadMultiple times its
// capacity at that moment. Both figures are part of the contract that is configured on the instances.
const (
	overloadMultiple = 2.5
	overloadWindow   = time.Second
)

// Defaults of a machine.
const (
	defaultProbeWork      = 120 * time.Microsecond
	defaultHandshakeWork  = time.Millisecond
	defaultReportInterval = 150 * time.Millisecond
)

// config returns the configuration of the server model for this kind of machine.
func (m *Machine) config() model.Config {
	return model.Config{
		Cores:            m.Cores,
		Speed:            m.Speed,
		SlotsPerCore:     max(1, m.SlotsPerCore),
		QueuePerCore:     m.QueuePerCore,
		ThrashRatio:      m.ThrashRatio,
		ThrashThreshold:  m.ThrashThreshold,
		SlowStartRatio:   m.SlowStartRatio,
		SlowStartTime:    time.Duration(m.SlowStartTime),
		WarmByWork:       m.WarmByWork,
		OverloadMultiple: overloadMultiple,
		OverloadWindow:   overloadWindow,
		PauseInterval:    time.Duration(m.PauseInterval),
		PauseDuration:    time.Duration(m.PauseDuration),
		ReportInterval:   cmp.Or(time.Duration(m.ReportInterval), defaultReportInterval),
		ReportDelay:      time.Duration(m.ReportDelay),
		ReportNoise:      m.ReportNoise,
		MaxConnections:   m.MaxConnections,
		HandshakeWork:    cmp.Or(time.Duration(m.HandshakeWork), defaultHandshakeWork),
		ProbeWork:        cmp.Or(time.Duration(m.ProbeWork), defaultProbeWork),
		KeyCacheSize:     m.KeyCacheSize,
		KeyCacheSavings:  m.KeyCacheSavings,
		KeyCacheTTL:      time.Duration(m.KeyCacheTTL),
	}
}
