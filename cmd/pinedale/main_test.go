package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
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
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "PINEDALE_TEST_RUN=1", "BALANCER_CONFIG="+path)
	return c
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func config(listen string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}]},
"settings":{"areas":["a"],"skus":["m"],"discovery":"subscribe","limits":{"keepalive":5000000,"dial-timeout":250000},
"classes":[{"name":"read","repeat":"pure","target":600000,"give-up":1000000}]}}`, listen)
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

func TestStartsAndEndsOnSIGTERM(t *testing.T) {
	listen := freeAddress(t)
	cmd := command(t, config(listen))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		response, err := http.Get("http://" + listen + "/health/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			t.Fatal("the program does not become ready")
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v, want exit code 0", err)
	}
}
