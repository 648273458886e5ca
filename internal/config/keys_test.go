package config

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"pinedale/internal/certstore"
	"pinedale/internal/standin/ca"
)

// keysHead is a file whose fronts and upstream use TLS, without its [[keys]] entries.
const keysHead = `version = 1
name = "a"
site = "a"
[http]
keys = "front"
listen = "127.0.0.1:0"
[ext_proc]
keys = "front"
listen = "127.0.0.1:0"
[fleet]
sites = ["a"]
[[class]]
name = "price-check"
repeat = "safe"
aim = "600ms"
deadline = "3s"
[upstream]
keys = "fleet"
verify = "{name}.example.org"
[[server]]
name = "s-0"
address = "127.0.0.1:9100"
site = "a"
pod = 0
[[server]]
name = "s-1"
address = "127.0.0.1:9101"
site = "a"
pod = 1
`

// keysFormat has the [[keys]] entries for keysHead. Its verbs are the roots, the revocation list, the certificate and
// its key.
const keysFormat = `[[keys]]
name = "fleet"
roots_file = %q
revoked_file = %q
[[keys]]
name = "front"
cert_file = %q
key_file = %q
names = ["127.0.0.1"]
`

// http3Format has an HTTP/3 front. Its verbs are the certificate and its key.
const http3Format = `[http3]
listen = "127.0.0.1:0"
keys = "front"
[[keys]]
name = "front"
cert_file = %q
key_file = %q
`

// newKeysFile returns the text of a valid file with TLS and the folder of its keys.
func newKeysFile(t *testing.T, root *ca.Authority) (text string, files *ca.Folder) {
	t.Helper()
	files = ca.NewFolder(t)
	files.WriteFile(files.Roots, root.PEM())
	files.WriteFile(files.Revoked, root.RevocationList())
	files.WritePair(root.IssueFor(time.Hour, "127.0.0.1"))
	return keysHead + fmt.Sprintf(keysFormat, files.Roots, files.Revoked, files.Cert, files.Key), files
}

// Errors of [[keys]] entries and of the settings that refer to them name the key of the file and the reason. None of
// them contains a private key.
func TestKeysErrorsNameKeyAndReason(t *testing.T) {
	text, files := newKeysFile(t, ca.New(t, "root"))
	const (
		http     = "[http]\n" + `keys = "front"`
		upstream = "[upstream]\n" + `keys = "fleet"`
		verify   = `verify = "{name}.example.org"`
		front    = `name = "front"`
		names    = `names = ["127.0.0.1"]`
	)
	for _, test := range []struct{ name, old, replacement, key, reason string }{
		{"unknown keys", http, "[http]\n" + `keys = "back"`, "http.keys", "not the name of a [[keys]]"},
		{"front without a certificate", http, "[http]\n" + `keys = "fleet"`, "http.keys", "has no certificate"},
		{
			"keys of a front that is off", http, "[http3]\n" + `keys = "front"` + "\n" + http,
			"http3.keys", "not switched on",
		},
		{"upstream without roots", upstream, "[upstream]\n" + `keys = "front"`, "upstream.keys", "has no roots_file"},
		{"verification in plain text", upstream, "[upstream]", "upstream.verify", "plain text"},
		{"no name to verify", verify, "", "server[0].verify", "no certificate name is configured"},
		{"pattern that is no name", "{name}.example.org", "*.example.org", "upstream.verify", "not a host name"},
		{"no handshakes", upstream, upstream + "\nhandshakes = 0", "upstream.handshakes", "1 to 1e6"},
		{
			"rate that is no number", upstream, upstream + "\nhandshakes_all = nan",
			"upstream.handshakes_all", "1 to 1e6",
		},
		{"burst below 1", upstream, upstream + "\nhandshake_burst = 0.5", "upstream.handshake_burst", "1 to 1e6"},
		{
			"no time for a handshake", upstream, upstream + "\n" + `handshake_timeout = "0s"`,
			"upstream.handshake_timeout", "not positive",
		},
		{"no sessions", upstream, upstream + "\nsessions = 0", "upstream.sessions", "1 to 1000000"},
		{"keys without a name", front, `name = ""`, "keys[1].name", "missing"},
		{"name of keys twice", front, `name = "fleet"`, "keys[1].name", "twice"},
		{
			"deprecated TLS version", front, front + "\n" + `least_tls = "1.1"`,
			"keys[1].least_tls", "neither 1.3 nor 1.2",
		},
		{"short RSA keys", front, front + "\nleast_rsa = 1024", "keys[1].least_rsa", "2048 to 16384"},
		{"negative grace", front, front + "\n" + `peers_over = "-1s"`, "keys[1].peers_over", "0s to 720h"},
		{"negative time", front, front + "\n" + `replace_within = "-1s"`, "keys[1].replace_within", "negative"},
		{"list without roots", front, front + "\n" + `revoked_file = "x"`, "keys[1].revoked_file", "no roots_file"},
		{"certificate for another name", names, `names = ["10.0.0.1"]`, "keys[1].cert_file", "not valid for 10.0.0.1"},
		{"name with a space", names, `names = ["a b"]`, "keys[1].names", "not a host name"},
		{"certificate without a key", `key_file = "` + files.Key + `"`, "", "keys[1].key_file", "together"},
		{"file without a private key", files.Key, files.Roots, "keys[1].key_file", "no private key"},
		{"missing roots", files.Roots, files.Roots + "x", "keys[0].roots_file", "no such file"},
		{
			"roots in place of a revocation list", `revoked_file = "` + files.Revoked, `revoked_file = "` + files.Roots,
			"keys[0].revoked_file", "no revocation list",
		},
		{"pattern for one server", "pod = 1", "pod = 1\n" + verify, "server[1].verify", "no host name"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(replaceOnce(t, text, test.old, test.replacement)))
			if err == nil {
				t.Fatalf("%q for %q is accepted", test.replacement, test.old)
			}
			message := err.Error()
			if !strings.Contains(message, test.key+": ") || !strings.Contains(message, test.reason) ||
				strings.Contains(message, "PRIVATE") {
				t.Errorf("%q for %q: %q, want %s, %s", test.replacement, test.old, message, test.key, test.reason)
			}
		})
	}
}

// Errors of the [http3] section name the key of the file.
func TestHTTP3ErrorsNameKey(t *testing.T) {
	files := ca.NewFolder(t)
	files.WritePair(ca.New(t, "root").IssueFor(time.Hour, "127.0.0.1"))
	section := fmt.Sprintf(http3Format, files.Cert, files.Key)
	mustParse(t, goodFile+section)
	const listen = `listen = "127.0.0.1:0"`
	for _, test := range []struct{ name, old, replacement, key string }{
		{"front without keys", section, "[http3]\n" + listen, "http3.keys"},
		{"keys of a front that is off", listen, "", "http3.keys"},
		{"missing certificate", files.Cert, files.Cert + "x", "keys[0].cert_file"},
		{"no streams", "[http3]", "[http3]\nstreams = 0", "http3.streams"},
		{"no connections", "[http3]", "[http3]\nconnections = 0", "http3.connections"},
		{"address without a port", "127.0.0.1:0", "here", "http3.listen"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(goodFile + replaceOnce(t, section, test.old, test.replacement)))
			if err == nil || !strings.Contains(err.Error(), test.key+": ") {
				t.Errorf("%v, want an error of %s", err, test.key)
			}
		})
	}
}

// The report of a valid file names users, certificates, roots, revocation lists and servers, and no private key.
func TestShowKeysNamesWhatFilesHold(t *testing.T) {
	text, _ := newKeysFile(t, ca.New(t, "root"))
	var report bytes.Buffer
	if err := mustParse(t, text).ShowKeys(&report, time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`keys "front", used by http, ext_proc`,
		`keys "fleet", used by upstream`,
		"shows 127.0.0.1, ECDSA P-256, issued by CN=root",
		"trusts CN=root",
		"revokes 0 of CN=root",
		`server "s-1" is verified as s-1.example.org`,
	} {
		if !strings.Contains(report.String(), want) {
			t.Errorf("the report is\n%swant %q", report.String(), want)
		}
	}
	if strings.Contains(report.String(), "PRIVATE") {
		t.Errorf("the report holds a private key:\n%s", report.String())
	}
}

// Files are accepted in place of those of a [[keys]] entry only if a certificate store would accept them.
func TestVerifyKeysAcceptsOnlyFilesThatCouldServe(t *testing.T) {
	root := ca.New(t, "root")
	text, _ := newKeysFile(t, root)
	file := mustParse(t, text)
	newFiles := func(name string) certstore.Paths {
		files := ca.NewFolder(t)
		files.WritePair(root.IssueFor(time.Hour, name))
		return certstore.Paths{Cert: files.Cert, Key: files.Key}
	}
	valid, otherName := newFiles("127.0.0.1"), newFiles("10.0.0.1")
	for _, test := range []struct {
		name, entry string
		replacement certstore.Paths
		reason      string // "" if the files are accepted
	}{
		{"valid files", "front", valid, ""},
		{"files for another name", "front", otherName, "names: cert"},
		{"certificate without its key", "front", certstore.Paths{Cert: valid.Cert}, "mismatch"},
		{"unknown name of keys", "back", certstore.Paths{}, "not the name of a [[keys]]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := file.VerifyKeys(test.entry, test.replacement)
			if test.reason == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), test.reason) {
				t.Errorf("error %v, want %q", err, test.reason)
			}
		})
	}
}
