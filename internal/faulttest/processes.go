package faulttest

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"pinedale/internal/cluster"
	"pinedale/internal/faulttest/schedule"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
)

// ordinary are the servers' own faults: enough that requests are repeated without any other trouble.
var ordinary = fakebackend.Faults{Reject: 0.03, Error: 0.03, Reset: 0.03, Unresponsive: 0.02}

const (
	serverWork    = 10 * time.Millisecond
	podSize       = 2
	keyBytes      = 32
	readyTimeout  = 60 * time.Second // for all processes to be there, on a machine that does much else
	readyInterval = 50 * time.Millisecond
	statusTimeout = 2 * time.Second // of a request for an instance's status
)

// start starts the servers, the relays and the instances.
func (r *rig) start() error {
	addresses, err := r.startServers()
	if err != nil {
		return err
	}
	if err := r.writeKey(); err != nil {
		return err
	}
	for n := range r.options.Schedule.Instances {
		if err := r.addInstance(schedule.InstanceName(n)); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := r.connect(i, addresses); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts the servers' process and returns their addresses.
func (r *rig) startServers() (addresses []string, err error) {
	s := r.options.Schedule
	r.serverSpec = serverSpec{Seed: s.Seed, Work: serverWork, Faults: ordinary}
	for n := range s.Servers {
		r.serverSpec.Names = append(r.serverSpec.Names, schedule.ServerName(n))
		r.serverSpec.Pods = append(r.serverSpec.Pods, n/podSize)
	}
	r.servers, addresses, err = startServers(r.serverSpec)
	return addresses, err
}

// writeKey writes the key that the instances share, which follows from the seed.
func (r *rig) writeKey() error {
	key := make([]byte, keyBytes)
	rng := rand.New(rand.NewPCG(r.options.Schedule.Seed, 3))
	for i := range key {
		key[i] = byte(rng.Uint32())
	}
	r.keyFile = filepath.Join(r.options.Dir, "peers.key")
	return os.WriteFile(r.keyFile, []byte(base64.StdEncoding.EncodeToString(key)+"\n"), 0o600)
}

// addInstance adds an instance that is not started yet.
func (r *rig) addInstance(name string) (err error) {
	i := &instance{name: name, program: r.options.Program}
	if err := i.allocateAddresses(); err != nil {
		return err
	}
	if i.log, err = os.Create(filepath.Join(r.options.Dir, i.name+".log")); err != nil {
		return err
	}
	r.instances = append(r.instances, i)
	r.byName[i.name] = i
	return nil
}

// connect makes an instance's relays: from clients, to the other instances, to the servers and to
// its discovery, which lists the servers at their relays. It writes the instance's configuration.
func (r *rig) connect(i *instance, addresses []string) (err error) {
	n := r.network
	if n.fronts[i.name], err = n.connect(schedule.Clients, i.name, i.http); err != nil {
		return err
	}
	i.via = map[string]string{}
	for _, other := range r.instances {
		if other == i {
			continue
		}
		if i.via[other.name], err = n.connect(i.name, other.name, other.peers); err != nil {
			return err
		}
	}
	var hosts []fakediscovery.Host
	for s, name := range r.serverSpec.Names {
		address, err := n.connect(i.name, name, addresses[s])
		if err != nil {
			return err
		}
		hosts = append(hosts, fakediscovery.Host{
			Name: name, Dial: address, Site: "a", Class: "box", Block: uint16(r.serverSpec.Pods[s]), Health: "Ready", Share: 1,
		})
	}
	if n.lists[i.name], err = fakediscovery.Start(hosts...); err != nil {
		return err
	}
	if i.discovery, err = n.connect(i.name, discoveryName(i.name), n.lists[i.name].Address); err != nil {
		return err
	}
	return r.writeConfig(i)
}

// stop ends all that the run has started.
func (r *rig) stop() {
	for _, i := range r.instances {
		if i.process() != nil {
			i.signal(syscall.SIGKILL)
			i.waitEnd()
		}
		i.log.Close()
	}
	r.network.close()
	if r.servers != nil {
		r.servers.stop()
	}
}

// status fetches an instance's status, past the relays.
func (r *rig) status(ctx context.Context, i *instance, timeout time.Duration) (cluster.Status, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	i.mu.Lock()
	address := i.status
	i.mu.Unlock()
	return cluster.Fetch(ctx, address)
}

// waitReady waits until all instances know each other, and answer as witnesses.
func (r *rig) waitReady(ctx context.Context) error {
	reason := ""
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyInterval) {
		reason = r.notReady(ctx)
		if reason == "" || ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("the fleet is not ready after %v: %s (logs in %s)", readyTimeout, reason, r.options.Dir)
}

// notReady returns what is missing, "" if nothing is.
func (r *rig) notReady(ctx context.Context) (reason string) {
	for _, i := range r.instances {
		s, err := r.status(ctx, i, time.Second)
		if err != nil {
			reason = fmt.Sprintf("%s: %v", i.name, err)
		} else if len(s.Alive) != len(r.instances) || s.RecoveringFor != "0s" {
			reason = fmt.Sprintf("%s knows %v, and is quiet for %s", i.name, s.Alive, s.RecoveringFor)
		}
	}
	return reason
}

// requestServers has the servers' process carry out a line, and fails unless it has.
func (r *rig) requestServers(line string) error {
	r.serverMu.Lock()
	defer r.serverMu.Unlock()
	var response string
	if err := r.servers.request(line, &response); err != nil {
		return err
	}
	if response != "done" {
		return fmt.Errorf("the servers: %s", response)
	}
	return nil
}
