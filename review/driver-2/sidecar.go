package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// smallDeployment returns settings with the names, limits and rules of the site arusha-soko. Lists are asked for.
func smallDeployment(classes ...object) object {
	return object{
		"areas":       []string{"arusha", "dar"},
		"skus":        []string{"big-box", "small-box", "slow-box"},
		"stages":      []string{"soko-api"},
		"tenants":     []string{},
		"discovery":   "subscribe",
		"classes":     classes,
		"peers-total": 1,
		"position":    0,
		"tick":        5000,
		"tier":        0,
		"value-by":    "work",
		"weight-kind": "none",
		"zone":        0,
		"reporting":   object{"fields": []string{"failed_ps", "pending"}, "how": "probe"},
		"goal":        object{"whole": 0.45, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.35},
		"prices":      object{"cross-zone": 0.03, "late-fail": 0.05, "probe": 0.05, "waste": 0.05},
		"contract": object{
			"answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.31, "drain-grace": 2000000,
			"fall-multiple": 2.5, "overload-for": 1000000, "ramp-time": 8600000,
		},
		"limits": object{
			"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 123559, "dial-timeout": 250000,
			"keepalive": 5000000, "max-retry-after": 1500000, "may-tell": false, "most-held": 30889,
			"most-tries": 3, "multiplex": 1, "probes": true, "retry-after": true, "second-copies": true,
		},
	}
}

// The classes of the site arusha-soko.
func priceCheck() object {
	return object{
		"name": "price-check", "repeat": "pure", "group": "all", "window": 5000000, "credit": 2.0,
		"give-up": 3000000, "target": 600000, "late-value": 0.2, "stream": false,
	}
}

func stallPay() object {
	return object{
		"name": "stall-pay", "repeat": "token", "group": "all", "window": 1500000, "credit": 10.0,
		"give-up": 2500000, "target": 600000, "late-value": 0.5, "stream": false,
	}
}

func dayClose() object {
	return object{
		"name": "day-close", "repeat": "token", "group": "cell", "window": 12000000, "credit": 3.0,
		"give-up": 2500000, "target": 1200000, "late-value": 0.3, "stream": false,
	}
}

// sidecar is one real sidecar, started by the line run of the deploy file.
type sidecar struct {
	listen string
	config object
	folder string // private, removed at the end
	path   string // of the configuration file
	cmd    *exec.Cmd
	exited chan struct{}
}

// runCommand returns the value of run in the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		rest, found := strings.CutPrefix(line, "run = \"")
		if command, _, ended := strings.Cut(rest, "\""); found && ended {
			return command, nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no line run")
}

// processes are those that this program has started.
type processes struct {
	mu       sync.Mutex
	commands []*exec.Cmd
}

var started processes

func (p *processes) add(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commands = append(p.commands, cmd)
}

// kill ends all processes that still run.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cmd := range p.commands {
		_ = cmd.Process.Kill() // fails if it has ended
	}
}

// startSidecar starts a sidecar and waits until it is ready.
func startSidecar(root, discovery string, settings object, memoryMB, sockets int, known document) (*sidecar, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	s := &sidecar{exited: make(chan struct{})}
	if s.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	if s.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	s.path = filepath.Join(s.folder, "config.json")
	s.config = object{
		"name": "n0", "listen": s.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":    known,
		"settings": settings,
	}
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	s.cmd = exec.Command("/bin/sh", "-c", command)
	s.cmd.Dir = root
	s.cmd.Env = append(os.Environ(), "BALANCER_NAME=n0", "BALANCER_LISTEN="+s.listen,
		"BALANCER_DISCOVERY="+discovery, "BALANCER_CONFIG="+s.path, "TMPDIR="+s.folder)
	log, err := os.Create(filepath.Join(s.folder, "log"))
	if err != nil {
		return nil, err
	}
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := startOnOneProcessor(s.cmd); err != nil {
		return nil, err
	}
	started.add(s.cmd)
	go func() {
		_ = s.cmd.Wait()
		log.Close()
		close(s.exited)
	}()
	for range 300 {
		if s.ready() {
			return s, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	text := s.log()
	s.end()
	return nil, fmt.Errorf("the sidecar is not ready after 15 s: %s", text)
}

// ready asks for the sidecar's readiness on a connection of its own.
func (s *sidecar) ready() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + s.listen + "/health/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// writeConfig replaces the configuration file in one step.
func (s *sidecar) writeConfig() error {
	text, err := json.Marshal(s.config)
	if err != nil {
		return err
	}
	next := s.path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.path)
}

// reload names another discovery in the configuration file and sends SIGHUP.
func (s *sidecar) reload(discovery string) error {
	s.config["discovery"] = discovery
	if err := s.writeConfig(); err != nil {
		return err
	}
	return s.cmd.Process.Signal(syscall.SIGHUP)
}

// alive reports whether the process still runs.
func (s *sidecar) alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// log returns the end of what the sidecar has written.
func (s *sidecar) log() string {
	text, _ := os.ReadFile(filepath.Join(s.folder, "log"))
	if len(text) > 4000 {
		text = text[len(text)-4000:]
	}
	return string(text)
}

// end kills the sidecar and removes its folder.
func (s *sidecar) end() {
	_ = s.cmd.Process.Kill()
	<-s.exited
	os.RemoveAll(s.folder)
}
