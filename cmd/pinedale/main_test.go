package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/ports"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// programName is the name of the tested program in testfleet.
const programName = "pinedale"

func TestMain(m *testing.M) {
	testfleet.Main(m, map[string]func(){programName: main})
}

// command returns a command that runs the program with a configuration file of this text, and the path of the file.
func command(t *testing.T, config string) (cmd *exec.Cmd, configPath string) {
	t.Helper()
	configPath = filepath.Join(t.TempDir(), "config.json")
	testfleet.WriteFile(t, configPath, config)
	cmd = testfleet.Command(programName)
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG="+configPath)
	return cmd, configPath
}

// unusedAddress is an address on which no process listens.
const unusedAddress = "127.0.0.1:1"

// minimalConfig returns a configuration whose only endpoint does not exist.
func minimalConfig(t *testing.T, listen, discovery string) string {
	t.Helper()
	return testfleet.SidecarConfig{
		Listen:    listen,
		Discovery: discovery,
		Hosts:     []fakediscovery.Host{fakediscovery.Ready("s-1", unusedAddress)},
		Version:   1,
		Settings:  testfleet.MinimalSettings(),
	}.JSON(t)
}

func TestInvalidConfigurationExitsWithOneLine(t *testing.T) {
	valid := minimalConfig(t, "127.0.0.1:0", unusedAddress)
	for _, test := range []struct {
		name       string
		text       string
		wantOutput string
	}{
		{"no seed", strings.Replace(valid, `"seed"`, `"sed"`, 1), "seed"},
		{"not JSON", valid[:40], "JSON"},
		{"no classes", strings.Replace(valid, `"classes"`, `"glasses"`, 1), "classes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cmd, _ := command(t, test.text)
			output, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("error %v, want exit code 1", err)
			}
			if bytes.Count(output, []byte("\n")) != 1 || !bytes.Contains(output, []byte(test.wantOutput)) {
				t.Errorf("printed %q, want one line with %q", output, test.wantOutput)
			}
		})
	}
}

func TestMissingConfigurationVariableIsReported(t *testing.T) {
	cmd := testfleet.Command(programName)
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG=")
	output, err := cmd.CombinedOutput()
	if err == nil || !bytes.Contains(output, []byte("BALANCER_CONFIG")) {
		t.Errorf("error %v, output %q", err, output)
	}
}

// SIGHUP, which by default ends a process, makes the program read its file again; an invalid file changes nothing.
// SIGTERM ends the program, even if SIGHUP follows.
func TestSIGHUPReloadsAndSIGTERMEndsProgram(t *testing.T) {
	listen := ports.MustFree(t)
	cmd, configPath := command(t, minimalConfig(t, listen, unusedAddress))
	process := testfleet.StartProcess(t, cmd)
	wait.Until(t, "the program to be ready", func() bool { return testfleet.IsReady(listen) })

	testfleet.WriteFile(t, configPath, "{")
	process.Signal(syscall.SIGHUP)
	wait.Until(t, "the log line of the invalid file", func() bool {
		return process.Log.Count("configuration reload failed") == 1
	})

	queries := make(chan string, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.String()
		_, _ = w.Write([]byte(`{"seq":1,"whole":true,"hosts":[
			{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}]}`))
	}))
	defer discovery.Close()
	testfleet.WriteFile(t, configPath, minimalConfig(t, listen, discovery.Listener.Addr().String()))
	process.Signal(syscall.SIGHUP)
	select {
	case query := <-queries:
		if query != "/registry/instances" {
			t.Errorf("the first query to the new address is %s, want /registry/instances", query)
		}
	case <-time.After(wait.Timeout):
		t.Fatal("the new address received no query")
	}
	if !testfleet.IsReady(listen) {
		t.Error("the program is not ready after SIGHUP")
	}

	process.Signal(syscall.SIGTERM)
	process.Signal(syscall.SIGHUP)
	if err := process.Wait(wait.Timeout); err != nil {
		t.Errorf("the program ended with %v, want exit code 0", err)
	}
}
