package endpointremoval

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pinedale/internal/measure/harness"
	"pinedale/internal/membership/ephemeral"
	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/fakezookeeper"
)

const (
	rootPath = "/soko" // of the nodes

	// sessionTimeout is short, so that a service that does not respond is detected within a script.
	sessionTimeout = time.Second

	serviceMembers = 2

	clientCount      = 4
	clientTimeout    = 5 * time.Second
	requestTimeout   = 900 * time.Millisecond // stated in each request
	requestInterval  = 2 * time.Millisecond
	minStepInterval  = 50 * time.Millisecond
	stepIntervalSpan = 200 * time.Millisecond // range of the random part of a step interval

	// finalWait is longer than maxRemovalDelay, so that requests that arrive too late are recorded.
	finalWait = maxRemovalDelay + 200*time.Millisecond

	// A removal reaches discovery after a random time between these.
	minDiscoveryLag = 600 * time.Millisecond
	maxDiscoveryLag = 5 * time.Second
)

const configFormat = `version = 1
name = "script"
site = "a"
[http]
listen = "127.0.0.1:0"
[fleet]
sites = ["a"]
warm_within = "0s"
[[class]]
name = "read"
repeat = "safe"
aim = "600ms"
deadline = "1s"
%s`

const ephemeralSection = `[ephemeral]
servers = [%q, %q]
path = %q
session = %q
`

const discoverySection = `[discovery]
address = %q
`

// script is the state of one script.
type script struct {
	options   *Options
	random    *rand.Rand
	backends  *fakebackend.Fleet
	service   *fakezookeeper.Service
	discovery *fakediscovery.Directory
	instance  *harness.Instance

	servers []*fakebackend.Server             // all that were started
	listed  []*fakebackend.Server             // those with a node
	removed map[*fakebackend.Server]time.Time // when their node was removed

	pendingWithdrawals sync.WaitGroup // removals that discovery has not published yet

	requests, failed atomic.Int64

	// The result.
	removals []time.Duration
	late     int
	silences int
	evicted  int
	steps    map[stepKind]int
}

func newScript(o *Options, number int) *script {
	return &script{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, uint64(number))),
		removed: map[*fakebackend.Server]time.Time{},
		steps:   map[stepKind]int{},
	}
}

// run starts the servers and the proxy, runs the steps under load, and measures the removals.
func (s *script) run() error {
	defer s.close()
	if err := s.start(); err != nil {
		return err
	}
	clients := harness.StartClients(clientCount, s.sendRequests)
	for range s.options.Steps {
		time.Sleep(minStepInterval + time.Duration(s.random.IntN(int(stepIntervalSpan/time.Millisecond)))*time.Millisecond)
		s.step()
	}
	s.pendingWithdrawals.Wait()
	time.Sleep(finalWait)
	clients.Stop()
	s.measureRemovals()
	return nil
}

// start starts the service, discovery, the servers and the proxy.
func (s *script) start() (err error) {
	if s.service, err = fakezookeeper.Start(serviceMembers); err != nil {
		return err
	}
	if s.discovery, err = fakediscovery.Start(); err != nil {
		return err
	}
	s.backends = &fakebackend.Fleet{Seed: s.random.Uint64()}
	for range s.options.Servers {
		if err := s.addServer(); err != nil {
			return err
		}
	}
	s.instance, err = harness.StartInstanceFromText(fmt.Sprintf(configFormat, s.sourceConfig()))
	return err
}

// sourceConfig returns the section of the operator's file with the source of the proxy's servers.
func (s *script) sourceConfig() string {
	if s.options.Discovery {
		return fmt.Sprintf(discoverySection, s.discovery.Address)
	}
	first, second := s.service.Member(0).Address, s.service.Member(1).Address
	return fmt.Sprintf(ephemeralSection, first, second, rootPath, sessionTimeout.String())
}

// close stops all that was started.
func (s *script) close() {
	s.pendingWithdrawals.Wait()
	if s.instance != nil {
		_ = s.instance.Close() // an error changes no result: the clients have ended
	}
	for _, server := range s.servers {
		server.Close()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
	if s.service != nil {
		s.service.Close()
	}
}

// measureRemovals determines when each removed server got its last request.
func (s *script) measureRemovals() {
	for server, removedAt := range s.removed {
		delay := max(0, server.LastRequest().Sub(removedAt))
		s.removals = append(s.removals, delay)
		if delay > maxRemovalDelay && !s.options.Discovery {
			s.late++
		}
	}
}

// sendRequests sends one request after the other until ctx ends.
func (s *script) sendRequests(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(requestInterval):
		}
		request := &harness.Request{
			URL:     s.instance.URL(),
			ID:      fmt.Sprintf("%d-%d", number, n),
			Class:   "read",
			Timeout: requestTimeout,
		}
		s.requests.Add(1)
		if response, err := request.Send(client); err != nil || !response.OK() {
			s.failed.Add(1)
		}
	}
}

// addServer starts a server, registers its node and publishes it in discovery.
func (s *script) addServer() error {
	server, err := s.backends.Start(fmt.Sprintf("s-%d", len(s.servers)+1), 0)
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	s.listed = append(s.listed, server)
	s.register(server)
	s.publish()
	return nil
}

func nodePath(server *fakebackend.Server) string { return rootPath + "/" + server.Name }

// register creates the server's node in the coordination service.
func (s *script) register(server *fakebackend.Server) {
	// Marshalling strings and numbers cannot fail.
	data, _ := json.Marshal(ephemeral.Data{Address: server.Address, Site: "a", StartedMS: 1000})
	s.service.Put(nodePath(server), data)
}

// publish replaces discovery's list with the servers that have a node.
func (s *script) publish() {
	s.changeList(func([]fakediscovery.Host) []fakediscovery.Host {
		hosts := []fakediscovery.Host{}
		for _, server := range s.listed {
			hosts = append(hosts, fakediscovery.Ready(server.Name, server.Address))
		}
		return hosts
	})
}

// withdraw removes a server from discovery's list.
func (s *script) withdraw(server *fakebackend.Server) {
	s.changeList(func(hosts []fakediscovery.Host) []fakediscovery.Host {
		return slices.DeleteFunc(hosts, func(host fakediscovery.Host) bool { return host.Name == server.Name })
	})
}

// changeList replaces discovery's list with what change returns for a copy of it.
func (s *script) changeList(change func([]fakediscovery.Host) []fakediscovery.Host) {
	s.discovery.Change(func() {
		previous := s.discovery.List
		s.discovery.List = fakediscovery.Document{
			Seq:      previous.Seq + 1,
			Complete: true,
			Hosts:    change(slices.Clone(previous.Hosts)),
		}
	})
}

// removeServer removes the node of a random server. The server itself keeps running, to record requests that still
// arrive.
func (s *script) removeServer() {
	index := s.random.IntN(len(s.listed))
	server := s.listed[index]
	s.listed = slices.Delete(s.listed, index, index+1)
	s.removed[server] = time.Now()
	s.service.Delete(nodePath(server))
	if !s.options.Discovery {
		return
	}
	lag := minDiscoveryLag + time.Duration(s.random.Float64()*float64(maxDiscoveryLag-minDiscoveryLag))
	s.pendingWithdrawals.Go(func() {
		time.Sleep(lag)
		s.withdraw(server)
	})
}

// randomServer returns one of the listed servers.
func (s *script) randomServer() *fakebackend.Server { return s.listed[s.random.IntN(len(s.listed))] }
