package faulttest

import (
	"pinedale/internal/faulttest/relay"
	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/standin/fakediscovery"
)

// endpoints names the two ends of a path, in the direction of its traffic.
type endpoints struct{ from, to string }

// reverse returns the endpoints of the opposite path.
func (e endpoints) reverse() endpoints { return endpoints{from: e.to, to: e.from} }

// network holds the relays, paths and discovery services that connect the processes of a run.
type network struct {
	seed            uint64
	paths           map[endpoints]*relay.Path
	relays          map[endpoints]*relay.Relay          // by the direction in which connections are established
	clientAddresses map[string]string                   // where clients reach each instance
	directories     map[string]*fakediscovery.Directory // each instance's discovery service
}

// newNetwork returns a network without paths.
func newNetwork(seed uint64) *network {
	return &network{
		seed:            seed,
		paths:           map[endpoints]*relay.Path{},
		relays:          map[endpoints]*relay.Relay{},
		clientAddresses: map[string]string{},
		directories:     map[string]*fakediscovery.Directory{},
	}
}

// pathSeedFactor keeps the path seeds of consecutive schedule seeds apart.
const pathSeedFactor = 1_000_003

// path returns the path between two endpoints, and creates it if it does not exist. Its seed is derived from the
// network's seed and from the number of paths created before.
func (n *network) path(ends endpoints) *relay.Path {
	if n.paths[ends] == nil {
		n.paths[ends] = relay.NewPath(n.seed*pathSeedFactor + uint64(len(n.paths)))
	}
	return n.paths[ends]
}

// connect starts a relay from one process to another, which listens at target, and returns the relay's address.
func (n *network) connect(from, to, target string) (string, error) {
	ends := endpoints{from, to}
	outbound := n.path(ends)
	inbound := n.path(ends.reverse())
	started, err := relay.Start(target, outbound, inbound)
	if err != nil {
		return "", err
	}
	n.relays[ends] = started
	return started.Address, nil
}

// resetConnections resets the connections between two processes.
func (n *network) resetConnections(ends endpoints) {
	for _, direction := range []endpoints{ends, ends.reverse()} {
		if connected := n.relays[direction]; connected != nil {
			connected.ResetConnections()
		}
	}
}

// redirect makes all relays to an instance forward to the addresses of its current process.
func (n *network) redirect(i *instance) error {
	i.mu.Lock()
	httpAddress, peerAddress := i.httpAddress, i.peerAddress
	i.mu.Unlock()
	for ends, connected := range n.relays {
		if ends.to != i.name {
			continue
		}
		target := peerAddress
		if ends.from == schedule.Clients {
			target = httpAddress
		}
		if err := connected.SetTarget(target); err != nil {
			return err
		}
	}
	return nil
}

// close closes the relays and the discovery services.
func (n *network) close() {
	for _, connected := range n.relays {
		connected.Close()
	}
	for _, directory := range n.directories {
		directory.Close()
	}
}

// discoveryName returns the endpoint name of an instance's discovery service.
func discoveryName(instance string) string { return schedule.Discovery + " of " + instance }

// faultEndpoints returns the endpoints of the path that a fault affects.
func faultEndpoints(fault *schedule.Fault) endpoints {
	ends := endpoints{from: fault.Target, to: fault.Destination}
	if fault.Destination == schedule.Discovery {
		ends.to = discoveryName(fault.Target)
	}
	return ends
}
