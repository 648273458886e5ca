package faulttest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"pinedale/balancer"
	"pinedale/internal/standin/fakebackend"
)

// serverProcessVariable is the environment variable that tells a process to run the servers.
const serverProcessVariable = "PINEDALE_FLEET_SERVERS"

// ServeIfServerProcess runs the servers of a run until standard input ends, if Run has started this process as the
// server process; otherwise it returns false. The main function of each program that calls Run must call it first.
func ServeIfServerProcess() (served bool, err error) {
	if os.Getenv(serverProcessVariable) == "" {
		return false, nil
	}
	return true, serveServers(os.Stdin, os.Stdout)
}

// serveServers starts servers and executes commands until the input ends.
func serveServers(input io.Reader, output io.Writer) error {
	decoder, encoder := json.NewDecoder(input), json.NewEncoder(output)
	var spec serverSpec
	if err := decoder.Decode(&spec); err != nil {
		return fmt.Errorf("reading the server specification: %w", err)
	}
	host := newServerHost(spec)
	defer host.stopAll()
	addresses, err := host.startAll(spec.Servers)
	if err != nil {
		return err
	}
	stopObserving := host.observeStalls()
	defer stopObserving()
	if err := encoder.Encode(addresses); err != nil {
		return err
	}
	for {
		var command serverCommand
		if err := decoder.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("reading a server command: %w", err)
		}
		if err := encoder.Encode(host.execute(command)); err != nil {
			return err
		}
	}
}

// serverHost runs the servers in the server process.
type serverHost struct {
	fleet   *fakebackend.Fleet
	servers map[string]*hostedServer // by name

	mu     sync.Mutex
	stalls []stall
}

// hostedServer is a server of a serverHost.
type hostedServer struct {
	identity serverIdentity
	address  string // host:port, also after a restart
	running  *fakebackend.Server
}

// newServerHost returns a host without servers.
func newServerHost(spec serverSpec) *serverHost {
	fleet := &fakebackend.Fleet{
		Seed:        spec.Seed,
		ServiceTime: spec.ServiceTime,
		Faults:      spec.Faults,
	}
	for _, class := range requestClasses {
		fleet.Classes = append(fleet.Classes, balancer.Class{
			Name:        class.name,
			Idempotency: class.idempotency,
			Group:       class.group,
			DedupWindow: class.dedupWindow.Microseconds(),
		})
	}
	return &serverHost{fleet: fleet, servers: map[string]*hostedServer{}}
}

// startAll starts servers and returns their addresses in the same order.
func (h *serverHost) startAll(identities []serverIdentity) ([]string, error) {
	var addresses []string
	for _, identity := range identities {
		server, err := h.fleet.Start(identity.Name, identity.Pod)
		if err != nil {
			return nil, err
		}
		h.servers[identity.Name] = &hostedServer{
			identity: identity,
			address:  server.Address,
			running:  server,
		}
		addresses = append(addresses, server.Address)
	}
	return addresses, nil
}

func (h *serverHost) stopAll() {
	for _, server := range h.servers {
		server.running.Close()
	}
}

// observeStalls starts to record stalls of this process, until the caller calls stop.
func (h *serverHost) observeStalls() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var observer sync.WaitGroup
	observer.Go(func() { observeStalls(ctx, h.recordStall) })
	return func() {
		cancel()
		observer.Wait()
	}
}

func (h *serverHost) recordStall(recorded stall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stalls = append(h.stalls, recorded)
}

func (h *serverHost) execute(command serverCommand) serverResponse {
	if command.Action == actionReport {
		return serverResponse{Report: h.report()}
	}
	server := h.servers[command.Server]
	if server == nil {
		return serverResponse{Error: fmt.Sprintf("unknown server %q", command.Server)}
	}
	var err error
	switch command.Action {
	case actionStopServer:
		server.running.Close()
	case actionStartServer:
		err = h.restart(server)
	default:
		err = fmt.Errorf("unknown action %q", command.Action)
	}
	if err != nil {
		return serverResponse{Error: err.Error()}
	}
	return serverResponse{}
}

// restart starts a stopped server at its previous address.
func (h *serverHost) restart(server *hostedServer) error {
	running, err := h.fleet.StartAt(server.address, server.identity.Name, server.identity.Pod)
	if err != nil {
		return err
	}
	server.running = running
	return nil
}

// report returns what has been observed so far.
func (h *serverHost) report() *serverReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &serverReport{
		Executions:       h.fleet.EffectCounts(),
		DuplicateEffects: h.fleet.DuplicateEffects(),
		Stalls:           slices.Clone(h.stalls),
	}
}
