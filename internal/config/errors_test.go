package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// minBadFiles is less than the number of files in testdata/bad.
const minBadFiles = 150

// hasError reports whether one line of the error text has this line number (0 for none) and contains all texts.
func hasError(err error, line int, texts ...string) bool {
	prefix := fmt.Sprintf("line %d: ", line)
	if line == 0 {
		prefix = ""
	}
	for message := range strings.SplitSeq(err.Error(), "\n") {
		found := strings.HasPrefix(message, prefix)
		for _, text := range texts {
			found = found && strings.Contains(message, text)
		}
		if found {
			return true
		}
	}
	return false
}

// replaceOnce replaces a text that a file must contain.
func replaceOnce(t *testing.T, file, old, replacement string) string {
	t.Helper()
	if !strings.Contains(file, old) || old == replacement {
		t.Fatalf("%q is not in the file, or is not changed", old)
	}
	return strings.Replace(file, old, replacement, 1)
}

// Each file of the corpus is rejected with the line, key and reason that its first line states.
func TestBadFileCorpusIsRejectedAsStated(t *testing.T) {
	paths, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(paths) < minBadFiles {
		t.Fatalf("found %d bad files, error %v, want at least %d files", len(paths), err, minBadFiles)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			first, _, _ := strings.Cut(string(text), "\n")
			want := strings.SplitN(strings.TrimPrefix(first, "# want: "), " | ", 3)
			line, err := strconv.Atoi(want[0])
			if err != nil || len(want) != 3 {
				t.Fatalf("the first line is %q", first)
			}
			file, err := Load(path)
			if err == nil || file != nil {
				t.Fatal("the file is accepted")
			}
			if key, reason := want[1], want[2]; !hasError(err, line, key, reason) {
				t.Errorf("reported\n%v\nwant line %d, %q, %q", err, line, key, reason)
			}
		})
	}
}

// Every error is reported with its line, key and reason, and no file with an error is returned.
func TestBadFilesAreRejectedWithLineAndKey(t *testing.T) {
	for _, test := range []struct {
		name, old, replacement string
		line                   int
		key                    string
	}{
		{"unknown version", "version = 1", "version = 2", 1, "version"},
		{"no version", "version = 1\n", "", 0, "version"},
		{"unknown key", `name = "arusha-1"`, `nome = "arusha-1"`, 2, "nome"},
		{"site not in the fleet", `site = "arusha"`, `site = "moshi"`, 3, "site"},
		{"address without a port", `listen = "127.0.0.1:0"`, `listen = "here"`, 5, "http.listen"},
		{"number for an address", `listen = "127.0.0.1:0"`, `listen = 8080`, 5, "listen"},
		{"unknown value of retries", `retries = "ask-again"`, `retries = "often"`, 8, "ext_proc.retries"},
		{"no streams", `retries = "ask-again"`, `streams = 0`, 8, "ext_proc.streams"},
		{"backlog over its bound", `retries = "ask-again"`, `backlog = 5000`, 8, "ext_proc.backlog"},
		{"attempts over their bound", "attempts = 2", "attempts = 4", 10, "limits.attempts"},
		{"no memory", "attempts = 2", "memory_mb = 0", 10, "limits.memory_mb"},
		{"timeout that is no duration", "attempts = 2", `dial_timeout = "soon"`, 10, "dial_timeout"},
		{"negative timeout", "attempts = 2", `dial_timeout = "-1s"`, 10, "limits.dial_timeout"},
		{"key twice", "attempts = 2", "attempts = 2\nattempts = 3", 11, "attempts"},
		{"site twice", `sites = ["arusha", "dar"]`, `sites = ["arusha", "arusha", "dar"]`, 12, "fleet.sites"},
		{"no sites", `sites = ["arusha", "dar"]`, `sites = []`, 12, "fleet.sites"},
		{"unknown report field", `"queue"]`, `"mood"]`, 14, "fleet.reports"},
		{"slash in a class name", `name = "price-check"`, `name = "price/check"`, 16, "class[0].name"},
		{"class name twice", `name = "price-check"`, `name = "stall-pay"`, 21, "class[1].name"},
		{"unknown repeat", `repeat = "safe"`, `repeat = "sometimes"`, 17, "class[0].repeat"},
		{
			"window of a class without keys", `repeat = "safe"`,
			`repeat = "safe"
window = "1s"`, 18, "class[0].window",
		},
		{
			"group of a class without keys", `repeat = "safe"`,
			`repeat = "unsafe"
group = "all"`, 18, "class[0].group",
		},
		{"keyed class without a group", "group = \"all\"\n", "", 20, "class[1].group"},
		{"unknown group", `group = "all"`, `group = "street"`, 23, "class[1].group"},
		{"keyed class without a window", "window = \"1.5s\"\n", "", 20, "class[1].window"},
		{"deadline below the latency objective", `deadline = "3s"`, `deadline = "500ms"`, 19, "class[0].deadline"},
		{"deadline over its bound", `deadline = "3s"`, `deadline = "90s"`, 19, "class[0].deadline"},
		{"late weight over 1", `deadline = "3s"`, `late_worth = 1.5`, 19, "class[0].late_worth"},
		{"negative weight", "worth = 10", "worth = -1", 27, "class[1].worth"},
		{"weight that is no number", "worth = 10", "worth = nan", 27, "class[1].worth"},
		{
			"server address without a port", `address = "127.0.0.1:9101"`,
			`address = "127.0.0.1"`, 30, "server[0].address",
		},
		{
			"server address with an unknown port", `address = "127.0.0.1:9101"`,
			`address = "127.0.0.1:port"`, 30, "server[0].address",
		},
		{"server of an unknown site", `site = "dar"`, `site = "moshi"`, 31, "server[0].site"},
		{"server of an unknown kind", `kind = "big-box"`, `kind = "tiny"`, 32, "server[0].kind"},
		{"pod over its bound", "pod = 3", "pod = 70000", 33, "server[0].pod"},
		{"server without a share", "pod = 3", "share = 0", 33, "server[0].share"},
		{
			"discovery beside listed servers", "pod = 3",
			`pod = 3
[discovery]
address = "127.0.0.1:1"`, 35, "discovery.address",
		},
		{
			"node address without a port", "pod = 3",
			`pod = 3
[ephemeral]
servers = ["x"]
path = "/s"`, 35, "ephemeral.servers",
		},
		{
			"relative node path", "pod = 3",
			`pod = 3
[ephemeral]
servers = ["x:1"]
path = "s"`, 36, "ephemeral.path",
		},
		{
			"session under its bound", "pod = 3",
			`pod = 3
[ephemeral]
servers = ["x:1"]
path = "/s"
session = "10ms"`, 37, "ephemeral.session",
		},
		{
			"missing digest file", "pod = 3",
			`pod = 3
[ephemeral]
servers = ["x:1"]
path = "/s"
digest_file = "/nowhere"`, 37, "ephemeral.digest_file",
		},
		{"no shrinking permitted", "pod = 3", "pod = 3\n[membership]\nshrink_most = 0", 35, "membership.shrink_most"},
		{
			"no hold time", "pod = 3",
			`pod = 3
[membership]
hold = "0s"`, 35, "membership.hold",
		},
		{"unknown table", "[[server]]", "[[sever]]", 28, "sever"},
		{"unterminated string", `name = "soko-1"`, `name = "soko-1`, 29, ""},
		{"bytes that are no text", `name = "soko-1"`, "name = \"soko\xff\"", 29, "file"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file, err := Parse([]byte(replaceOnce(t, goodFile, test.old, test.replacement)))
			if err == nil {
				t.Fatalf("%q is accepted", test.replacement)
			}
			var fileError *FileError
			if file != nil || !errors.As(err, &fileError) {
				t.Fatalf("%q: file %v, error %v, want no file and a *FileError", test.replacement, file, err)
			}
			if !hasError(err, test.line, test.key) {
				t.Errorf("%q: reported %q, want line %d and %q", test.replacement, err, test.line, test.key)
			}
		})
	}
}

// All errors of a file are reported together, in the order of its lines.
func TestAllErrorsAreReportedInLineOrder(t *testing.T) {
	bad := strings.NewReplacer(
		"attempts = 2", "attempts = 9",
		`group = "all"`, `group = "x"`,
		"pod = 3", "pod = -1",
	).Replace(goodFile)
	_, err := Parse([]byte(bad))
	want := []string{"line 10: limits.attempts", "line 23: class[1].group", "line 33: server[0].pod"}
	messages := strings.Split(fmt.Sprint(err), "\n")
	if len(messages) != len(want) {
		t.Fatalf("reported %q", err)
	}
	for i := range want {
		if !strings.HasPrefix(messages[i], want[i]) {
			t.Errorf("message %d: %q, want %q", i, messages[i], want[i])
		}
	}
}
