package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinedale/balancer"
	"pinedale/internal/subset"
)

const goodFile = `version = 1
name = "arusha-1"
site = "arusha"
[http]
listen = "127.0.0.1:0"
[ext_proc]
listen = "127.0.0.1:0"
retries = "ask-again"
[limits]
attempts = 2
[fleet]
sites = ["arusha", "dar"]
kinds = ["big-box"]
reports = ["eps", "queue"]
[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = "3s"
[[class]]
name = "stall-pay"
repeat = "keyed"
group = "all"
window = "1.5s"
aim = "600ms"
deadline = "2.5s"
worth = 10
[[server]]
name = "soko-1"
address = "127.0.0.1:9101"
site = "dar"
kind = "big-box"
pod = 3
`

// A valid file becomes the settings of the balancer, hosts and a summary.
func TestGoodFileSettings(t *testing.T) {
	f, err := Parse([]byte(goodFile))
	if err != nil {
		t.Fatal(err)
	}
	s := f.Settings()
	if s.Zone != 0 || s.Limits.MaxAttempts != 2 || s.PollDiscovery ||
		len(s.Fields) != 2 || s.Fields[0] != balancer.FieldErrors {
		t.Errorf("settings %+v", s)
	}
	// The window of 1.5 s is reduced by the time of a dial, late timers and clock drift.
	c := s.Classes[1]
	if c.Idempotency != balancer.IdempotentWithKey || c.Group != balancer.GroupAll || c.DedupWindow != 1_239_250 ||
		c.ClientTimeout != 2_500_000 || c.PriorityWeight != 10 || s.Classes[0].PriorityWeight != 1 {
		t.Errorf("classes %+v", s.Classes)
	}
	if h := f.Hosts(); len(h) != 1 || h[0].Cell != 3 || h[0].Site != "dar" || h[0].Weight != 1 {
		t.Errorf("hosts %+v", h)
	}
	if got := f.Summary(); !strings.Contains(got, "stall-pay") || !strings.Contains(got, "1 servers") {
		t.Errorf("summary %q", got)
	}
}

// Every error is reported with its line, key and reason, and no file with an error is returned.
func TestBadFilesAreRejectedWithLineAndKey(t *testing.T) {
	for _, c := range []struct {
		old, new string
		line     int
		key      string
	}{
		{"version = 1", "version = 2", 1, "version"},
		{"version = 1\n", "", 0, "version"},
		{`name = "arusha-1"`, `nome = "arusha-1"`, 2, "nome"},
		{`site = "arusha"`, `site = "moshi"`, 3, "site"},
		{`listen = "127.0.0.1:0"`, `listen = "here"`, 5, "http.listen"},
		{`listen = "127.0.0.1:0"`, `listen = 8080`, 5, "listen"},
		{`retries = "ask-again"`, `retries = "often"`, 8, "ext_proc.retries"},
		{`retries = "ask-again"`, `streams = 0`, 8, "ext_proc.streams"},
		{`retries = "ask-again"`, `backlog = 5000`, 8, "ext_proc.backlog"},
		{"attempts = 2", "attempts = 4", 10, "limits.attempts"},
		{"attempts = 2", "memory_mb = 0", 10, "limits.memory_mb"},
		{"attempts = 2", `dial_timeout = "soon"`, 10, "dial_timeout"},
		{"attempts = 2", `dial_timeout = "-1s"`, 10, "limits.dial_timeout"},
		{"attempts = 2", "attempts = 2\nattempts = 3", 11, "attempts"},
		{`sites = ["arusha", "dar"]`, `sites = ["arusha", "arusha", "dar"]`, 12, "fleet.sites"},
		{`sites = ["arusha", "dar"]`, `sites = []`, 12, "fleet.sites"},
		{`"queue"]`, `"mood"]`, 14, "fleet.reports"},
		{`name = "price-check"`, `name = "price/check"`, 16, "class[0].name"},
		{`name = "price-check"`, `name = "stall-pay"`, 21, "class[1].name"},
		{`repeat = "safe"`, `repeat = "sometimes"`, 17, "class[0].repeat"},
		{`repeat = "safe"`, "repeat = \"safe\"\nwindow = \"1s\"", 18, "class[0].window"},
		{`repeat = "safe"`, "repeat = \"unsafe\"\ngroup = \"all\"", 18, "class[0].group"},
		{"group = \"all\"\n", "", 20, "class[1].group"},
		{`group = "all"`, `group = "street"`, 23, "class[1].group"},
		{"window = \"1.5s\"\n", "", 20, "class[1].window"},
		{`deadline = "3s"`, `deadline = "500ms"`, 19, "class[0].deadline"},
		{`deadline = "3s"`, `deadline = "90s"`, 19, "class[0].deadline"},
		{`deadline = "3s"`, `late_worth = 1.5`, 19, "class[0].late_worth"},
		{"worth = 10", "worth = -1", 27, "class[1].worth"},
		{"worth = 10", "worth = nan", 27, "class[1].worth"},
		{`address = "127.0.0.1:9101"`, `address = "127.0.0.1"`, 30, "server[0].address"},
		{`address = "127.0.0.1:9101"`, `address = "127.0.0.1:port"`, 30, "server[0].address"},
		{`site = "dar"`, `site = "moshi"`, 31, "server[0].site"},
		{`kind = "big-box"`, `kind = "tiny"`, 32, "server[0].kind"},
		{"pod = 3", "pod = 70000", 33, "server[0].pod"},
		{"pod = 3", "share = 0", 33, "server[0].share"},
		{"pod = 3", "pod = 3\n[discovery]\naddress = \"127.0.0.1:1\"", 35, "discovery.address"},
		{"pod = 3", "pod = 3\n[ephemeral]\nservers = [\"x\"]\npath = \"/s\"", 35, "ephemeral.servers"},
		{"pod = 3", "pod = 3\n[ephemeral]\nservers = [\"x:1\"]\npath = \"s\"", 36, "ephemeral.path"},
		{
			"pod = 3", "pod = 3\n[ephemeral]\nservers = [\"x:1\"]\npath = \"/s\"\nsession = \"10ms\"",
			37, "ephemeral.session",
		},
		{
			"pod = 3", "pod = 3\n[ephemeral]\nservers = [\"x:1\"]\npath = \"/s\"\ndigest_file = \"/nowhere\"",
			37, "ephemeral.digest_file",
		},
		{"pod = 3", "pod = 3\n[membership]\nshrink_most = 0", 35, "membership.shrink_most"},
		{"pod = 3", "pod = 3\n[membership]\nhold = \"0s\"", 35, "membership.hold"},
		{"[[server]]", "[[sever]]", 28, "sever"},
		{`name = "soko-1"`, "name = \"soko-1", 29, ""},
		{"name = \"soko-1\"", "name = \"soko\xff\"", 29, "file"},
	} {
		bad := strings.Replace(goodFile, c.old, c.new, 1)
		if bad == goodFile {
			t.Fatalf("%q is not in the file", c.old)
		}
		f, err := Parse([]byte(bad))
		if err == nil {
			t.Errorf("%q is accepted", c.new)
			continue
		}
		var fault *FileError
		if f != nil || !errors.As(err, &fault) {
			t.Errorf("%q: %v, %v", c.new, f, err)
			continue
		}
		found := false
		for _, line := range strings.Split(err.Error(), "\n") {
			at := fmt.Sprintf("line %d: ", c.line)
			if c.line == 0 {
				at = ""
			}
			found = found || strings.HasPrefix(line, at) && strings.Contains(line, c.key)
		}
		if !found {
			t.Errorf("%q: said %q, want line %d and %q", c.new, err, c.line, c.key)
		}
	}
}

// All errors of a file are reported together, in the order of its lines.
func TestAllFaultsAreReportedInLineOrder(t *testing.T) {
	bad := strings.NewReplacer(
		"attempts = 2", "attempts = 9",
		`group = "all"`, `group = "x"`,
		"pod = 3", "pod = -1",
	).Replace(goodFile)
	_, err := Parse([]byte(bad))
	want := []string{"line 10: limits.attempts", "line 23: class[1].group", "line 33: server[0].pod"}
	lines := strings.Split(fmt.Sprint(err), "\n")
	if len(lines) != len(want) {
		t.Fatalf("said %q", err)
	}
	for i := range want {
		if !strings.HasPrefix(lines[i], want[i]) {
			t.Errorf("line %d: %q, want %q", i, lines[i], want[i])
		}
	}
}

// Files that are too large, missing, binary or truncated are errors, and a large valid file is read quickly.
func TestHugeMissingAndTruncatedFiles(t *testing.T) {
	if _, err := Parse([]byte(strings.Repeat("#", maxFileBytes+1))); err == nil {
		t.Error("a file over the limit is accepted")
	}
	path := filepath.Join(t.TempDir(), "site.toml")
	if _, err := Load(path); err == nil {
		t.Error("a missing file is no error")
	}
	if err := os.WriteFile(path, make([]byte, 1<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil {
		t.Error("a file of null bytes is accepted")
	}
	if err := os.Truncate(path, 100<<20); err != nil { // 100 MB, a sparse file
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "is over") {
		t.Errorf("a file of 100 MB: %v", err)
	}
	// Truncated anywhere, a file is either invalid or a shorter valid one; nothing panics.
	text, err := os.ReadFile("../../deploy/site.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	for at := range text {
		if f, err := Parse(text[:at]); (f == nil) == (err == nil) {
			t.Fatalf("cut at %d: %v, %v", at, f, err)
		}
	}
	// Ten thousand servers are read within a few seconds.
	var big strings.Builder
	big.WriteString(strings.Split(goodFile, "[[server]]")[0])
	for i := range 10_000 {
		fmt.Fprintf(&big, "[[server]]\nname = \"s-%d\"\naddress = \"127.0.0.1:%d\"\nsite = \"dar\"\n", i, 10_000+i)
	}
	began := time.Now()
	if f, err := Parse([]byte(big.String())); err != nil || len(f.Servers) != 10_000 {
		t.Errorf("10,000 servers: %v", err)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("10,000 servers took %v", took)
	}
}

// The example in the repository is valid.
func TestExampleFileIsValid(t *testing.T) {
	if _, err := Load("../../deploy/site.example.toml"); err != nil {
		t.Error(err)
	}
}

// Any input is accepted completely or rejected with a reason.
func FuzzFile(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte(goodFile[:200]))
	f.Add([]byte("[[class]]\n[class]\n"))
	f.Add([]byte("server = [{name=\"a\"}]\nclass = 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse(data)
		if (file == nil) == (err == nil) {
			t.Errorf("file %v with error %v", file, err)
		}
		if err != nil && err.Error() == "" {
			t.Error("an error without a reason")
		}
	})
}

// A subset is large enough for retries within each site, and is chosen by the name of the instance.
func TestSubsetBounds(t *testing.T) {
	text, err := os.ReadFile("../../deploy/site.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ add, reason string }{
		{"subset = 8\n", ""},
		{"subset = 7\n", "8 to 10000"},
		{"subset = -1\n", "8 to 10000"},
		{"subset = 8\nsubset_spread = -1\n", "0 to 1000"},
		{"subset = 8\nsubset_spread = nan\n", "0 to 1000"},
	} {
		f, err := Parse([]byte(strings.Replace(string(text), "[fleet]\n", "[fleet]\n"+c.add, 1)))
		if (err == nil) != (c.reason == "") || err != nil && !strings.Contains(err.Error(), c.reason) {
			t.Errorf("%q: %v", c.add, err)
		}
		if err == nil {
			settings, ok := f.SubsetConfig()
			if part, err := subset.New(settings); !ok || part == nil || err != nil {
				t.Errorf("%q: no subset, %v", c.add, err)
			}
		}
	}
}
