package main

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/internal/standin/fakediscovery"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/platform"
	"pinedale/internal/standin/wait"
)

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("PINEDALE_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command runs the program with a configuration file of this text.
func command(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	platform.Write(t, path, config)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "PINEDALE_TEST_RUN=1", "BALANCER_CONFIG="+path)
	return c
}

// config knows one endpoint that is not there.
func config(listen string) string {
	return platform.Config{Listen: listen, Discovery: "127.0.0.1:1",
		Known: []fakediscovery.Host{fakediscovery.Ready("s-1", "127.0.0.1:1")}}.Text()
}

func TestBadConfigurationStopsWithOneLine(t *testing.T) {
	good := config("127.0.0.1:0")
	for name, c := range map[string]struct{ text, key string }{
		"no seed":         {strings.Replace(good, `"seed"`, `"sed"`, 1), "seed"},
		"not JSON":        {good[:40], "JSON"},
		"a class missing": {strings.Replace(good, `"classes"`, `"glasses"`, 1), "classes"},
	} {
		cmd := command(t, c.text)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%s: %v, want exit code 1", name, err)
		}
		if bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte(c.key)) {
			t.Errorf("%s: said %q, want one line with %q", name, out, c.key)
		}
	}
	cmd := command(t, good)
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG=")
	if out, err := cmd.CombinedOutput(); err == nil || !bytes.Contains(out, []byte("BALANCER_CONFIG")) {
		t.Errorf("without the variable: %v, %q", err, out)
	}
}

// SIGHUP, which by default ends a process, has the file read again; a bad file
// changes nothing. SIGTERM ends the program, also with SIGHUP on its heels.
func TestSignals(t *testing.T) {
	listen := platform.FreeAddress(t)
	cmd := command(t, config(listen))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "BALANCER_CONFIG=")
	var log logcapture.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }() // it has ended unless the test fails
	ready := func() bool {
		response, err := http.Get("http://" + listen + "/health/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	wait.Until(t, "the program to be ready", ready)
	signal := func(s os.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	platform.Write(t, path, "{")
	signal(syscall.SIGHUP)
	wait.Until(t, "the bad file's line", func() bool { return log.Count("configuration reload failed") == 1 })
	registry := make(chan string, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		registry <- r.URL.String()
		_, _ = io.WriteString(w, `{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}]}`)
	}))
	defer discovery.Close()
	platform.Write(t, path, strings.Replace(config(listen), "127.0.0.1:1", discovery.Listener.Addr().String(), 1))
	signal(syscall.SIGHUP)
	select {
	case call := <-registry:
		if call != "/registry/instances" {
			t.Errorf("the first call of the new address: %s", call)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the new address is not asked")
	}
	if !ready() {
		t.Error("the program is not ready after SIGHUP")
	}
	signal(syscall.SIGTERM)
	signal(syscall.SIGHUP)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v, want exit code 0", err)
	}
}
