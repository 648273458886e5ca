// Package deploy has the files by which the platform builds and starts the programs, and holds them to its terms.
package deploy

import (
	"bytes"
	"debug/elf"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pinedale/internal/standin/platform"
	"pinedale/internal/standin/wait"
)

// keys are those that the platform reads.
type keys struct {
	Build, Run, Sim string
	Policy, Node    []string
	Packages        []string
}

func read(t *testing.T) (k keys) {
	t.Helper()
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&k); err != nil {
		t.Fatal(err)
	}
	return k
}

// shell runs a command as the platform does, in a folder, with cgo switched off by the machine's environment.
func shell(dir, command string) *exec.Cmd {
	c := exec.Command("/bin/sh", "-c", command)
	c.Dir = dir
	c.Env = append(os.Environ(), "CGO_ENABLED=0")
	return c
}

// What the deploy file builds is linked against the C library, whatever the environment says of cgo, and what it
// runs becomes the one process that the shell was.
func TestBuiltAndRun(t *testing.T) {
	k := read(t)
	// Into a folder of the test's own: the root's bin may be in use.
	bin := t.TempDir()
	build := strings.NewReplacer("mkdir -p bin", "true", "-o bin/", "-o "+bin+"/").Replace(k.Build)
	if out, err := shell("..", build).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	file, err := elf.Open(filepath.Join(bin, "pinedale"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	libraries, err := file.ImportedLibraries()
	if err != nil || !slices.Contains(libraries, "libc.so.6") {
		t.Fatalf("linked against %q, %v: want the C library", libraries, err)
	}

	listen := platform.FreeAddress(t)
	config := filepath.Join(t.TempDir(), "config.json")
	platform.Write(t, config, platform.Config{Listen: listen, Discovery: "127.0.0.1:1"}.Text())
	c := shell("..", strings.ReplaceAll(k.Run, "bin/", bin+"/"))
	c.Env = append(c.Env, "BALANCER_CONFIG="+config)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill() }() // it may have ended
	wait.Until(t, "the sidecar to listen", func() bool {
		answer, err := http.Get("http://" + listen + "/health/ready")
		if err == nil {
			answer.Body.Close()
		}
		return err == nil
	})
	if exe, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", c.Process.Pid)); err != nil || exe != filepath.Join(bin, "pinedale") {
		t.Errorf("the shell became %s, %v", exe, err)
	}
	children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", c.Process.Pid, c.Process.Pid))
	if err != nil || len(children) > 0 {
		t.Errorf("it has processes of its own: %s, %v", children, err)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- c.Wait() }()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("after SIGTERM: %v", err)
		}
	case <-time.After(time.Minute):
		t.Error("it goes on after SIGTERM")
	}
}

// records are the files of the module that hold its types, records and averages, and decide nothing. A new file
// decides unless it is added here.
var records = []string{
	"balancer/api.go", "balancer/ledger.go", "balancer/endpoints.go", "balancer/budgets.go", "balancer/probe_pool.go",
	"balancer/key_records.go", "balancer/breaker_window.go", "balancer/estimates.go", "balancer/averages.go",
	"balancer/random.go", "balancer/eventlog.go",
}

// The files that decide are all of the module's but its records and its settings.
func TestKeys(t *testing.T) {
	k := read(t)
	for key, names := range map[string][]string{"policy": k.Policy, "node": k.Node} {
		for _, name := range names {
			if _, err := os.Stat(filepath.Join("..", name)); err != nil {
				t.Errorf("%s names what is not there: %v", key, err)
			}
		}
	}
	all, err := filepath.Glob("../balancer/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range all {
		name := strings.TrimPrefix(path, "../")
		if !strings.HasSuffix(name, "_test.go") && !slices.Contains(records, name) &&
			!slices.Contains(k.Policy, name) {
			t.Errorf("policy does not name %s", name)
		}
	}
}
