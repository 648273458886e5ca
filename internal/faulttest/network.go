package faulttest

import (
	"pinedale/internal/faulttest/relay"
	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/standin/fakediscovery"
)

// path names a direction between two processes.
type path struct{ from, to string }

// network is what is between the rig's processes: a relay on each path, and each instance's discovery.
type network struct {
	seed   uint64
	paths  map[path]*relay.Path
	relays map[path]*relay.Relay               // by the direction in which connections are opened
	fronts map[string]string                   // where clients reach an instance
	lists  map[string]*fakediscovery.Directory // each instance's discovery: addresses differ, since paths do
}

// newNetwork makes a network without processes.
func newNetwork(seed uint64) *network {
	return &network{
		seed:   seed,
		paths:  map[path]*relay.Path{},
		relays: map[path]*relay.Relay{},
		fronts: map[string]string{},
		lists:  map[string]*fakediscovery.Directory{},
	}
}

// direction returns the path from one process to another. Its fates follow from the seed and the order
// in which paths are made.
func (n *network) direction(from, to string) *relay.Path {
	k := path{from, to}
	if n.paths[k] == nil {
		n.paths[k] = relay.NewPath(n.seed*1_000_003 + uint64(len(n.paths)))
	}
	return n.paths[k]
}

// connect makes a relay from one process to another and returns its address.
func (n *network) connect(from, to, target string) (string, error) {
	x, err := relay.Start(target, n.direction(from, to), n.direction(to, from))
	if err != nil {
		return "", err
	}
	n.relays[path{from, to}] = x
	return x.Address, nil
}

// reset breaks the connections that stand between two processes.
func (n *network) reset(a, b string) {
	for _, k := range []path{{a, b}, {b, a}} {
		if x := n.relays[k]; x != nil {
			x.ResetConnections()
		}
	}
}

// redirect has all relays to an instance lead to its present addresses from now on.
func (n *network) redirect(i *instance) error {
	for k, x := range n.relays {
		if k.to != i.name {
			continue
		}
		target := i.peers
		if k.from == schedule.Clients {
			target = i.http
		}
		if err := x.SetTarget(target); err != nil {
			return err
		}
	}
	return nil
}

// close ends the relays and the discoveries.
func (n *network) close() {
	for _, x := range n.relays {
		x.Close()
	}
	for _, d := range n.lists {
		d.Close()
	}
}

// discoveryName names an instance's discovery, as the end of a path.
func discoveryName(instance string) string { return schedule.Discovery + " of " + instance }

// remoteEnd is the name of the process at the far end of a fault's path.
func remoteEnd(f *schedule.Fault) string {
	if f.Destination == schedule.Discovery {
		return discoveryName(f.Target)
	}
	return f.Destination
}
