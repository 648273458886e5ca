package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/testfleet"
	"pinedale/internal/standin/wait"
)

// programName is the name under which testfleet runs the tested program.
const programName = "pinedale-proxy"

func TestMain(m *testing.M) {
	testfleet.Main(m, map[string]func(){programName: main})
}

// command returns a command that runs the program.
func command(args ...string) *exec.Cmd { return testfleet.Command(programName, args...) }

// writeConfig writes an operator's file and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	testfleet.WriteFile(t, path, text)
	return path
}

// fileWithServer returns an operator's file with one server.
func fileWithServer(address string) string {
	return fmt.Sprintf(`version = 1
name = "t"
site = "a"
[http]
listen = "127.0.0.1:0"
[ext_proc]
listen = "127.0.0.1:0"
[fleet]
sites = ["a"]
[[class]]
name = "read"
repeat = "safe"
aim = "600ms"
deadline = "1s"
[[server]]
name = "s-1"
address = %q
site = "a"
`, address)
}

// Invalid arguments and invalid files are reported with exit code 1.
func TestUsageErrorsAndInvalidFilesExitWithOne(t *testing.T) {
	path := writeConfig(t, strings.Replace(fileWithServer("here"), "safe", "never", 1))
	for _, test := range []struct {
		args        []string
		wantOutputs []string
	}{
		{nil, []string{"Usage", "serve"}},
		{[]string{"run"}, []string{"unknown command", "run"}},
		{[]string{"check"}, []string{"--config"}},
		{[]string{"check", "--config", path, "more"}, []string{"more"}},
		{[]string{"check", "--config", path + "x"}, []string{"no such file"}},
		{
			[]string{"check", "--config", path},
			[]string{path, "line 12: class[0].repeat", "line 17: server[0].address"},
		},
		{[]string{"serve", "--config", path}, []string{"line 12: class[0].repeat"}},
	} {
		out, err := command(test.args...).CombinedOutput()
		if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%v: %v, want exit code 1", test.args, err)
		}
		for _, want := range test.wantOutputs {
			if !bytes.Contains(out, []byte(want)) {
				t.Errorf("%v: printed %q, want %q", test.args, out, want)
			}
		}
	}
	testfleet.WriteFile(t, path, fileWithServer("127.0.0.1:1"))
	out, err := command("check", "--config", path).CombinedOutput()
	if err != nil || !bytes.Contains(out, []byte("good")) {
		t.Errorf("a valid file: %v, %q", err, out)
	}
}

// The command check prints the table of classes and routes, and explain prints why a request gets its route.
func TestCheckPrintsTableAndExplainPrintsReasons(t *testing.T) {
	path := writeConfig(t, fileWithServer("127.0.0.1:1")+`[[route]]
name = "prices"
prefix = "/shop"
class = "read"
try_for = "100ms"
[[route]]
prefix = "/shop"
method = "POST"
headers = { X-Tier = "gold" }
class = "read"
`)
	for _, test := range []struct {
		args        []string
		wantOutputs []string
	}{
		{
			[]string{"check", "--config", path},
			[]string{"good", "warning: line ", "table ", "/shop/*", "POST /shop/* X-Tier=gold", "100ms"},
		},
		{
			[]string{"check", "--json", "--config", path},
			[]string{`"version":`, `"try_for": "100ms"`, `"warnings": [`},
		},
		{
			[]string{"explain", "--config", path, "GET", "/shop/x?q=1"},
			[]string{"class read", "> route[0] (prices): matches", "route[1] (of class read): the method is GET, not POST"},
		},
		{
			[]string{"explain", "--config", path, "POST", "/shop", "x-tier: gold"},
			[]string{"> route[1]", "route[0] (prices): matches, but route[1] is more specific"},
		},
		{
			[]string{"explain", "--config", path, "POST", "/shop", "X-Tier: tin"},
			[]string{"> route[0]", `"tin", not "gold"`},
		},
		{
			[]string{"explain", "--config", path, "GET", "/bakery"},
			[]string{"no route: 404", `does not begin with "/shop"`},
		},
	} {
		out, err := command(test.args...).CombinedOutput()
		if err != nil {
			t.Errorf("%v: %v: %s", test.args, err, out)
		}
		for _, want := range test.wantOutputs {
			if !bytes.Contains(out, []byte(want)) {
				t.Errorf("%v: printed\n%s\nwant %q", test.args, out, want)
			}
		}
	}
	for _, args := range [][]string{
		{"explain", "--config", path, "GET"},
		{"explain", "--config", path, "GET", "/a//b"},
		{"explain", "--config", path, "GET", "/a", "no header"},
		{"explain", "--json", "--config", path, "GET", "/a"},
	} {
		if out, err := command(args...).CombinedOutput(); err == nil {
			t.Errorf("%v is accepted: %s", args, out)
		}
	}
}

// exitTimeout is how long the program may take to end.
const exitTimeout = time.Minute

// The program serves a request, uses the servers of a new file after SIGHUP, keeps using the old ones if the new file
// is invalid, and shuts down gracefully after SIGTERM.
func TestServeReloadsOnHangupAndEndsOnTerm(t *testing.T) {
	fleet := &fakebackend.Fleet{}
	first, second := fleet.MustStart(t, "s-1", 0), fleet.MustStart(t, "s-2", 0)
	path := writeConfig(t, fileWithServer(first.Address))
	process := testfleet.StartProcess(t, command("serve", "--config", path))
	wait.Until(t, "the log of addresses", func() bool {
		return process.Log.Find(`http=(\S+) http3=(\S+) ext_proc=(\S+)`) != nil
	})
	address := process.Log.Find(`http=(\S+)`)[1]
	get := func() int {
		request := testfleet.Request{
			ID:       testfleet.NewRequestID(),
			Class:    "read",
			Path:     "x",
			TimeLeft: time.Second,
		}
		response, err := http.DefaultClient.Do(request.HTTP(t, address))
		if err != nil {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	if code := get(); code != http.StatusOK {
		t.Errorf("response %d", code)
	}

	testfleet.WriteFile(t, path, "version = 7")
	process.Signal(syscall.SIGHUP)
	wait.Until(t, "the log of the invalid file", func() bool {
		return process.Log.Find("configuration reload failed") != nil
	})
	if code := get(); code != http.StatusOK || !second.LastRequest().IsZero() {
		t.Errorf("after an invalid file: response %d", code)
	}

	testfleet.WriteFile(t, path, strings.Replace(fileWithServer(second.Address), "s-1", "s-2", 1))
	process.Signal(syscall.SIGHUP)
	wait.Until(t, "the log of the new file", func() bool {
		return process.Log.Find("configuration reloaded") != nil
	})
	wait.Until(t, "a request at the new server", func() bool {
		return get() == http.StatusOK && !second.LastRequest().IsZero()
	})

	process.Signal(syscall.SIGTERM)
	if err := process.Wait(exitTimeout); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
