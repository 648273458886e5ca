package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// class is a class of requests in the settings.
type class struct {
	Name      string  `json:"name"`
	Repeat    string  `json:"repeat"`
	Group     string  `json:"group"`
	Window    int64   `json:"window"`
	Target    int64   `json:"target"`
	GiveUp    int64   `json:"give-up"`
	Credit    float64 `json:"credit"`
	LateValue float64 `json:"late-value"`
	Stream    bool    `json:"stream"`
}

// sokoClasses are the classes of the site arusha-soko, as the wire page prints them.
func sokoClasses() []class {
	return []class{
		{Name: "price-check", Repeat: "pure", Group: "all", Window: 5_000_000, Target: 600_000, GiveUp: 3_000_000,
			Credit: 2, LateValue: 0.2},
		{Name: "stall-pay", Repeat: "token", Group: "all", Window: 1_500_000, Target: 600_000, GiveUp: 2_500_000,
			Credit: 10, LateValue: 0.5},
		{Name: "day-close", Repeat: "token", Group: "cell", Window: 12_000_000, Target: 1_200_000, GiveUp: 2_500_000,
			Credit: 3, LateValue: 0.3},
	}
}

// sokoSettings are the settings of the site arusha-soko, as the wire page prints them.
func sokoSettings(classes []class, sidecars, position, zone int) map[string]any {
	return map[string]any{
		"areas": []string{"arusha", "dar"}, "skus": []string{"big-box", "small-box", "slow-box"},
		"callers": map[string]any{"marks-retry": false}, "classes": classes,
		"contract": map[string]any{"answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.31,
			"drain-grace": 2000000, "fall-multiple": 2.5, "overload-for": 1000000, "ramp-time": 8600000},
		"discovery": "subscribe", "family-info": map[string]any{"warm-keys": false},
		"goal":            map[string]any{"whole": 0.45, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.35},
		"kind-of-service": "mesh",
		"limits": map[string]any{"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 123559,
			"dial-timeout": 250000, "keepalive": 5000000, "max-retry-after": 1500000, "may-tell": false,
			"most-held": 30889, "most-tries": 3, "multiplex": 1, "probes": true, "retry-after": true,
			"second-copies": true},
		"over-share-worth": 0.1, "peers-total": sidecars, "position": position,
		"prices": map[string]any{"connection": 0.0, "cross-zone": 0.03, "discovery": 0.0, "handshake": 0.0,
			"late-fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.05, "waste": 0.05},
		"reporting": map[string]any{"fields": []string{"failed_ps", "pending"}, "how": "probe"},
		"stages":    []string{"soko-api"}, "tenants": []any{}, "tick": 5000, "tier": 0, "value-by": "work",
		"weight-kind": "none", "zone": zone,
	}
}

// sidecar is a running sidecar.
type sidecar struct {
	name    string
	address string
	config  string
	cmd     *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startSidecar writes a configuration file and starts a sidecar on it.
func (w *world) startSidecar(name, discovery string, known document, settings map[string]any) (*sidecar, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": address, "discovery": discovery,
		"seed":   fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": settings,
	})
	if err != nil {
		return nil, err
	}
	s := &sidecar{name: name, address: address, config: filepath.Join(w.tmp, name+".json"), ended: make(chan struct{})}
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		return nil, err
	}
	s.log, err = os.Create(filepath.Join(w.tmp, name+".log"))
	if err != nil {
		return nil, err
	}
	s.cmd = exec.Command("/bin/sh", "-c", w.run)
	s.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+s.config, "BALANCER_NAME="+name, "BALANCER_LISTEN="+address,
		"BALANCER_DISCOVERY="+discovery, "TMPDIR="+w.tmp)
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = s.cmd.Wait()
		close(s.ended)
	}()
	w.logf("sidecar %s started at %s, process %d", name, address, s.cmd.Process.Pid)
	return s, nil
}

// awaitReady waits until the sidecar answers its readiness check with 200.
func (s *sidecar) awaitReady() error {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + s.address + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("sidecar %s is not ready", s.name)
}

// kill ends the sidecar and copies its log to the record.
func (s *sidecar) kill(w *world) {
	_ = s.cmd.Process.Kill()
	<-s.ended
	s.log.Close()
	if text, err := os.ReadFile(s.log.Name()); err == nil {
		w.logf("log of sidecar %s:\n%s", s.name, text)
	}
}
