package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"pinedale/internal/standin/fakebackend"
	"pinedale/internal/standin/logcapture"
	"pinedale/internal/standin/wait"
)

// TestMain lets the test binary run as the program.
func TestMain(m *testing.M) {
	if os.Getenv("PINEDALE_SITE_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command returns a run of the program.
func command(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "PINEDALE_SITE_TEST_RUN=1")
	return c
}

// fileFor returns an operator's file with one server.
func fileFor(address string) string {
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

// Wrong arguments and invalid files are reported with exit code 1.
func TestUsageErrorsAndInvalidFilesExitWithOne(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(fileFor("here"), "safe", "never", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		says []string
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
		out, err := command(c.args...).CombinedOutput()
		if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%v: %v, want exit code 1", c.args, err)
		}
		for _, wantOutput := range c.says {
			if !bytes.Contains(out, []byte(wantOutput)) {
				t.Errorf("%v: printed %q, want %q", c.args, out, wantOutput)
			}
		}
	}
	if err := os.WriteFile(path, []byte(fileFor("127.0.0.1:1")), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := command("check", "--config", path).CombinedOutput()
	if err != nil || !bytes.Contains(out, []byte("good")) {
		t.Errorf("a good file: %v, %q", err, out)
	}
}

// check prints the table of classes and routes, explain why a request gets its route.
func TestCheckPrintsTableAndExplainPrintsReasons(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	routed := fileFor("127.0.0.1:1") + `[[route]]
name = "prices"
prefix = "/shop"
class = "read"
try_for = "100ms"
[[route]]
prefix = "/shop"
method = "POST"
headers = { X-Tier = "gold" }
class = "read"
`
	if err := os.WriteFile(path, []byte(routed), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		says []string
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
			[]string{"class read", "> route[0] (prices): it matches", "route[1] (of class read): the method is GET, not POST"},
		},
		{
			[]string{"explain", "--config", path, "POST", "/shop", "x-tier: gold"},
			[]string{"> route[1]", "route[0] (prices): it matches, and route[1] is more specific"},
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
		out, err := command(c.args...).CombinedOutput()
		if err != nil {
			t.Errorf("%v: %v: %s", c.args, err, out)
		}
		for _, wantOutput := range c.says {
			if !bytes.Contains(out, []byte(wantOutput)) {
				t.Errorf("%v: printed\n%s\nwant %q", c.args, out, wantOutput)
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

// The program serves a request, uses the servers of a new file after SIGHUP, keeps the old ones if that file is
// invalid, and ends gracefully after SIGTERM.
func TestServeReloadsOnHangupAndEndsOnTerm(t *testing.T) {
	fleet := &fakebackend.Fleet{}
	first, err := fleet.Start("s-1", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := fleet.Start("s-2", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(fileFor(first.Address)), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := command("serve", "--config", path)
	var log logcapture.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }() // it has ended unless the test fails
	wait.Until(t, "the log of addresses", func() bool {
		return log.Find(`http=(\S+) http3=(\S+) ext_proc=(\S+)`) != nil
	})
	url := "http://" + log.Find(`http=(\S+)`)[1]
	n := 0
	get := func() int {
		n++
		r, err := http.NewRequest("GET", url+"/read/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Correlation-Id", fmt.Sprint(n))
		r.Header.Set("X-Service-Class", "read")
		r.Header.Set("X-Time-Left-Ms", "1000")
		out, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		out.Body.Close()
		return out.StatusCode
	}
	if code := get(); code != 200 {
		t.Errorf("answer %d", code)
	}
	if err := os.WriteFile(path, []byte("version = 7"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	wait.Until(t, "the log of the invalid file", func() bool { return log.Find("configuration reload failed") != nil })
	if code := get(); code != 200 || !second.LastRequest().IsZero() {
		t.Errorf("after a bad file: %d", code)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(fileFor(second.Address), "s-1", "s-2", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	wait.Until(t, "the new file", func() bool { return log.Find("configuration reloaded") != nil })
	wait.Until(t, "a request at the new server", func() bool { return get() == 200 && !second.LastRequest().IsZero() })
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
