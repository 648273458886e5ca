package main

import (
	"fmt"
	"slices"
	"time"

	"pinedale/internal/emulator/model"
	"pinedale/internal/emulator/sockets"
	"pinedale/internal/standin/fakediscovery"
)

// The demo's servers use these in turn.
var (
	demoSpeeds = []float64{2, 1.2, 0.8}
	demoSites  = []string{"arusha", "dar"}
)

const (
	demoCellSize    = 2
	demoDedupWindow = 1500 * time.Millisecond // the same as in demoConfig
)

// demoFleet holds the demo's servers and the discovery service that lists them.
type demoFleet struct {
	directory *fakediscovery.Directory
	emulated  *sockets.Fleet
	servers   []*sockets.Server
	hosts     []fakediscovery.Host
}

// startDemoFleet starts discovery and a fleet without servers.
func startDemoFleet() (*demoFleet, error) {
	directory, err := fakediscovery.Start()
	if err != nil {
		return nil, err
	}
	emulated := sockets.New(sockets.Options{
		Seed: 1,
		Classes: []sockets.Class{
			{
				Name: demoClasses[priceCheck].name,
				Work: 120 * time.Millisecond,
				CV:   0.4,
			},
			{
				Name:  demoClasses[stallPay].name,
				Class: model.Class{Idempotency: model.IdempotentWithKey, Window: demoDedupWindow},
				Work:  100 * time.Millisecond,
				CV:    0.4,
			},
		},
	})
	return &demoFleet{directory: directory, emulated: emulated}, nil
}

// close stops the servers and discovery.
func (f *demoFleet) close() {
	f.emulated.Close()
	f.directory.Close()
}

// startInitialServers starts the servers that run from the beginning. The first one has a fault.
func (f *demoFleet) startInitialServers(fault model.Fault) error {
	if err := f.startServer(false, fault); err != nil {
		return err
	}
	for range demoServers - 1 {
		if err := f.startServer(false); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts a server, in slow start or at its full capacity, and adds it to discovery's list.
func (f *demoFleet) startServer(slowStart bool, faults ...model.Fault) error {
	index := len(f.servers)
	cell := index / demoCellSize
	server, err := f.emulated.Start(sockets.ServerSpec{
		Name:    fmt.Sprintf("soko-%d", index+1),
		Group:   fmt.Sprint(cell),
		Config:  demoMachine(demoSpeeds[index%len(demoSpeeds)]),
		Seed:    uint64(index + 1),
		Warming: slowStart,
		Faults:  faults,
	})
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	host := fakediscovery.Ready(server.Name, server.Addresses[0])
	host.Site = demoSites[index%len(demoSites)]
	host.Kind = "box"
	host.Cell = uint16(cell)
	if slowStart {
		host.StartedMS = time.Now().UnixMilli()
	}
	f.addHost(host)
	return nil
}

// demoMachine returns the model configuration of a server with the given core speed.
func demoMachine(speed float64) model.Config {
	return model.Config{
		Cores:            3,
		Speed:            speed,
		SlotsPerCore:     1,
		QueuePerCore:     100,
		ThrashRatio:      0.08,
		ThrashThreshold:  5,
		SlowStartRatio:   0.35,
		SlowStartTime:    6 * time.Second,
		OverloadMultiple: 2.5,
		OverloadWindow:   time.Second,
		ReportInterval:   100 * time.Millisecond,
		ProbeWork:        100 * time.Microsecond,
		HandshakeWork:    time.Millisecond,
	}
}

// addHost adds a host to discovery's list.
func (f *demoFleet) addHost(host fakediscovery.Host) {
	f.hosts = append(f.hosts, host)
	f.directory.Change(func() {
		f.directory.List = fakediscovery.Document{
			Seq:      f.directory.List.Seq + 1,
			Complete: true,
			Hosts:    slices.Clone(f.hosts),
		}
	})
}

// serverStates returns the number of requests in flight at each server, and whether it is down or in slow start.
func (f *demoFleet) serverStates() []string {
	var states []string
	for _, server := range f.servers {
		inFlight, _, warmth, down := server.Stats()
		switch {
		case down:
			states = append(states, "down")
		case warmth < 1:
			states = append(states, fmt.Sprintf("%d (%.0f%% warm)", inFlight, 100*warmth))
		default:
			states = append(states, fmt.Sprint(inFlight))
		}
	}
	return states
}

// duplicateEffects returns the number of effects that happened more than once though their class is not idempotent.
func (f *demoFleet) duplicateEffects() int { return len(f.emulated.DuplicateEffects()) }
