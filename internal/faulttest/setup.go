package faulttest

import (
	"encoding/base64"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
)

// serverFaults are injected by the servers themselves in all runs, so that retries occur without any other fault.
var serverFaults = fakebackend.Faults{
	Reject:       0.03,
	Error:        0.03,
	Reset:        0.03,
	Unresponsive: 0.02,
}

const (
	serviceTime = 10 * time.Millisecond // of each request
	podSize     = 2                     // servers
	keyBytes    = 32
	keySequence = 3 // random sequence of the schedule's seed that the shared key is drawn from
)

// Names in the instances' configuration and endpoint lists. There is one site, and all servers are of one kind.
const (
	siteName       = "a"
	serverKind     = "box"
	healthReady    = "Ready"
	healthDraining = "Terminating"
)

// start starts the servers, the relays and the instances.
func (r *testRun) start() error {
	if err := r.startServers(); err != nil {
		return err
	}
	if err := r.writeKey(); err != nil {
		return err
	}
	for i := range r.options.Schedule.Instances {
		if err := r.addInstance(schedule.InstanceName(i)); err != nil {
			return err
		}
	}
	for _, instance := range r.instances {
		if err := r.connect(instance); err != nil {
			return err
		}
		if err := r.writeConfig(instance); err != nil {
			return err
		}
	}
	for _, instance := range r.instances {
		if err := instance.start(); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts the server process.
func (r *testRun) startServers() error {
	spec := serverSpec{
		Seed:        r.options.Schedule.Seed,
		ServiceTime: serviceTime,
		Faults:      serverFaults,
	}
	for i := range r.options.Schedule.Servers {
		spec.Servers = append(spec.Servers, serverIdentity{Name: schedule.ServerName(i), Pod: i / podSize})
	}
	servers, err := startServerProcess(spec)
	r.servers = servers
	return err
}

// writeKey writes the file with the key that the instances share. The key is drawn from the seed.
func (r *testRun) writeKey() error {
	rng := rand.New(rand.NewPCG(r.options.Schedule.Seed, keySequence))
	key := make([]byte, keyBytes)
	for i := range key {
		key[i] = byte(rng.Uint32())
	}
	r.keyFile = filepath.Join(r.options.Dir, "peers.key")
	return os.WriteFile(r.keyFile, []byte(base64.StdEncoding.EncodeToString(key)+"\n"), 0o600)
}

// addInstance adds an instance without starting it.
func (r *testRun) addInstance(name string) error {
	logFile, err := os.Create(filepath.Join(r.options.Dir, name+".log"))
	if err != nil {
		return err
	}
	added := &instance{
		name:    name,
		logFile: logFile,
		program: r.options.Program,
	}
	r.instances = append(r.instances, added)
	r.byName[name] = added
	return added.allocateAddresses()
}

// connect starts the relays from clients to an instance, and from the instance to the other instances, to the servers
// and to its discovery service, which lists the servers at the addresses of their relays.
func (r *testRun) connect(i *instance) error {
	clientAddress, err := r.network.connect(schedule.Clients, i.name, i.httpAddress)
	if err != nil {
		return err
	}
	r.network.clientAddresses[i.name] = clientAddress
	if err := r.connectPeers(i); err != nil {
		return err
	}
	hosts, err := r.connectServers(i)
	if err != nil {
		return err
	}
	directory, err := fakediscovery.Start(hosts...)
	if err != nil {
		return err
	}
	r.network.directories[i.name] = directory
	i.discoveryAddress, err = r.network.connect(i.name, discoveryName(i.name), directory.Address)
	return err
}

// connectPeers starts the relays from an instance to the other instances.
func (r *testRun) connectPeers(i *instance) error {
	i.peerRelays = map[string]string{}
	for _, peer := range r.instances {
		if peer == i {
			continue
		}
		address, err := r.network.connect(i.name, peer.name, peer.peerAddress)
		if err != nil {
			return err
		}
		i.peerRelays[peer.name] = address
	}
	return nil
}

// connectServers starts the relays from an instance to the servers and returns the entries of its endpoint list.
func (r *testRun) connectServers(i *instance) ([]fakediscovery.Host, error) {
	var hosts []fakediscovery.Host
	for _, server := range r.servers.running {
		address, err := r.network.connect(i.name, server.Name, server.address)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, fakediscovery.Host{
			Name:    server.Name,
			Address: address,
			Site:    siteName,
			Kind:    serverKind,
			Cell:    uint16(server.Pod),
			State:   healthReady,
			Weight:  1,
		})
	}
	return hosts, nil
}

// stop stops all processes, relays and discovery services of the run.
func (r *testRun) stop() {
	for _, instance := range r.instances {
		if current := instance.currentProcess(); current != nil {
			instance.signalProcess(current, syscall.SIGKILL)
			instance.waitExit()
		}
		instance.logFile.Close()
	}
	r.network.close()
	if r.servers != nil {
		r.servers.stop()
	}
}
