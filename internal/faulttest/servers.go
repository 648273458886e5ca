package faulttest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"pinedale/balancer"
	"pinedale/internal/standin/fakebackend"
)

// envServers is set for a process that is the rig's servers.
const envServers = "PINEDALE_FLEET_SERVERS"

// class is one class of the rig's requests.
type class struct {
	name      string
	repeat    balancer.Idempotency
	group     balancer.Group
	window    time.Duration
	share     float64 // of the effects
	objective time.Duration
	patience  time.Duration // of its clients, over all tries
}

// The rig's classes: those of the co-operative, with patience scaled to runs of seconds. What
// all drop repeats of is forgotten sooner than its clients give up.
var classes = []class{
	{"price-check", balancer.Idempotent, 0, 0, 0.15, 600 * time.Millisecond, 1500 * time.Millisecond},
	{"stall-pay", balancer.IdempotentWithKey, balancer.GroupAll, time.Second, 0.25, 600 * time.Millisecond, 1500 * time.Millisecond},
	{"day-close", balancer.IdempotentWithKey, balancer.GroupCell, 6 * time.Second, 0.6, 600 * time.Millisecond, 1500 * time.Millisecond},
}

// serverSpec is what the servers' process is told.
type serverSpec struct {
	Names  []string
	Pods   []int
	Seed   uint64
	Work   time.Duration
	Faults fakebackend.Faults
}

// serverReport is what it tells at the end.
type serverReport struct {
	Done   map[string]int
	Twice  []string
	Stalls []stall // in which they stood still
}

// Main serves what this process was started for, if it was: programs that run a rig call it
// first.
func Main() (did bool, err error) {
	if os.Getenv(envServers) == "" {
		return false, nil
	}
	return true, serveServers(os.Stdin, os.Stdout)
}

// serveServers runs the servers until its input ends. It answers each line with a line.
func serveServers(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	if !lines.Scan() {
		return errors.New("nothing is said of the servers")
	}
	var spec serverSpec
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return err
	}
	fleet := &fakebackend.Fleet{Seed: spec.Seed, ServiceTime: spec.Work, Faults: spec.Faults}
	for _, c := range classes {
		fleet.Classes = append(fleet.Classes, balancer.Class{Name: c.name, Idempotency: c.repeat, Group: c.group, DedupWindow: c.window.Microseconds()})
	}
	servers, at := map[string]*fakebackend.Server{}, map[string]string{}
	pods := map[string]int{}
	var addresses []string
	for n, name := range spec.Names {
		s, err := fleet.Start(name, spec.Pods[n])
		if err != nil {
			return err
		}
		servers[name], at[name], pods[name] = s, s.Address, spec.Pods[n]
		addresses = append(addresses, s.Address)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var mu sync.Mutex
	var still []stall
	go observeStalls(ctx, func(s stall) {
		mu.Lock()
		defer mu.Unlock()
		still = append(still, s)
	})
	enc := json.NewEncoder(out)
	if err := enc.Encode(addresses); err != nil {
		return err
	}
	for lines.Scan() {
		what, name, _ := strings.Cut(lines.Text(), " ")
		response := any("done")
		switch what {
		case "stop":
			servers[name].Close()
		case "start":
			s, err := fleet.StartAt(at[name], name, pods[name])
			if err != nil {
				response = err.Error()
				break
			}
			servers[name] = s
		case "report":
			mu.Lock()
			response = serverReport{fleet.EffectCounts(), fleet.DuplicateEffects(), slices.Clone(still)}
			mu.Unlock()
		}
		if err := enc.Encode(response); err != nil {
			return err
		}
	}
	return nil
}

// servers is the rig's side of their process.
type servers struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
}

func startServers(spec serverSpec) (*servers, []string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	s := &servers{cmd: exec.Command(self)}
	s.cmd.Env = append(os.Environ(), envServers+"=1")
	s.cmd.Stderr = os.Stderr
	if s.in, err = s.cmd.StdinPipe(); err != nil {
		return nil, nil, err
	}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	s.out = json.NewDecoder(out)
	if err := s.cmd.Start(); err != nil {
		return nil, nil, err
	}
	var addresses []string
	err = json.NewEncoder(s.in).Encode(spec)
	if err == nil {
		err = s.out.Decode(&addresses)
	}
	if err == nil && len(addresses) != len(spec.Names) {
		err = fmt.Errorf("%d addresses of %d", len(addresses), len(spec.Names))
	}
	if err != nil {
		s.stop()
		return nil, nil, fmt.Errorf("the servers did not start: %w", err)
	}
	return s, addresses, nil
}

// request has the servers do something and reads what they say.
func (s *servers) request(line string, into any) error {
	if _, err := fmt.Fprintln(s.in, line); err != nil {
		return err
	}
	return s.out.Decode(into)
}

// stop ends the process, which ends with its input, and waits for it.
func (s *servers) stop() {
	s.in.Close()
	_ = s.cmd.Wait() // nothing more is asked of it
}
