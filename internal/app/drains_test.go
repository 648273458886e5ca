package app

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/wait"
)

// listedCluster is a cluster whose instances each have an endpoint list of their own.
type listedCluster struct {
	t         *testing.T
	fleet     *fakebackend.Fleet
	servers   []*fakebackend.Server
	hosts     []fakediscovery.Host // of the servers, as all lists state them at first
	lists     []*fakediscovery.Directory
	instances []*Instance
	requests  int // sent so far
}

// startListedCluster starts a cluster and servers, and waits until each instance watches its list.
func startListedCluster(t *testing.T) *listedCluster {
	t.Helper()
	c := &listedCluster{t: t, fleet: &fakebackend.Fleet{Classes: dayCloseClasses()}}
	for n := range 6 {
		server := c.fleet.MustStart(t, fmt.Sprint("s-", n), n/serversPerCell)
		c.servers = append(c.servers, server)
		c.hosts = append(c.hosts, fakediscovery.Host{
			Name:    server.Name,
			Address: server.Address,
			Site:    "a",
			Kind:    "k0",
			Cell:    uint16(server.Cell),
			State:   "Ready",
			Weight:  1,
		})
	}
	c.instances = startCluster(t, func(int) string {
		list := fakediscovery.New(t, c.hosts...)
		c.lists = append(c.lists, list)
		return fmt.Sprintf(dayCloseFormat, "never") + fmt.Sprintf(`[discovery]
address = %q
ask_within = "2s"
`, list.Address)
	})
	for n, list := range c.lists {
		wait.Until(t, fmt.Sprint("the watch of instance ", n), func() bool { return list.CallCount() > 1 })
	}
	return c
}

// changeFirstHost replaces the entry of the first server in the list of an instance.
func (c *listedCluster) changeFirstHost(instance int, alter func(host *fakediscovery.Host)) {
	hosts := slices.Clone(c.hosts)
	alter(&hosts[0])
	list := c.lists[instance]
	list.Change(func() {
		list.List = fakediscovery.Document{Seq: list.List.Seq + 1, Complete: true, Hosts: hosts}
	})
}

// advisedDraining returns the servers to which an instance sends no requests on the advisory of others.
func (c *listedCluster) advisedDraining(instance int) []string {
	c.t.Helper()
	status, err := c.instances[instance].Peers.Status(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	return status.Withheld
}

// sendRequest sends a request with a key of its own through an instance.
func (c *listedCluster) sendRequest(instance int) {
	c.t.Helper()
	id := c.requests
	c.requests++
	sendDayClose(c.t.Context(), c.t, c.instances[instance], fmt.Sprint("r-", id), fmt.Sprint("key-", id))
}

// The endpoint list of one instance stalls while the two others learn that a server is draining. On their advisory,
// the first sends the server no more requests. It follows its own list again once that is updated.
func TestServerKnownToDrainByPeersGetsNoRequests(t *testing.T) {
	const (
		stalled     = 2 // the instance whose list stalls
		requests    = 60
		minExecuted = 50
	)
	c := startListedCluster(t)
	c.lists[stalled].Silence()
	for _, instance := range []int{0, 1} {
		c.changeFirstHost(instance, func(host *fakediscovery.Host) { host.State = "Terminating" })
	}
	wait.Until(t, "the advisory of two instances", func() bool {
		return slices.Equal(c.advisedDraining(stalled), []string{"s-0@0"})
	})
	start := time.Now()
	for range requests {
		c.sendRequest(stalled)
	}
	if c.servers[0].LastRequest().After(start) {
		t.Error("a request was sent to a server that two other instances report as draining")
	}
	if executed := c.fleet.Counts().Executed; executed < minExecuted {
		t.Errorf("%d of %d requests were executed, want at least %d", executed, requests, minExecuted)
	}
	// All lists say that the server was restarted: the advisory on its previous incarnation no longer applies.
	for instance := range c.instances {
		c.changeFirstHost(instance, func(host *fakediscovery.Host) { host.StartedMS = 1 })
	}
	wait.Until(t, "the instance to follow its own list", func() bool { return len(c.advisedDraining(stalled)) == 0 })
	wait.Until(t, "the server to get requests again", func() bool {
		c.sendRequest(stalled)
		return c.servers[0].LastRequest().After(start)
	})
}
