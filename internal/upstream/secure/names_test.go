package secure

import (
	"strings"
	"testing"
)

func TestNamesAcceptOnlySingleLabels(t *testing.T) {
	n := &Names{Pattern: "{name}.example.org", ByServer: map[string]string{"soko-9": "spiffe://example.org/soko/9"}}
	for server, want := range map[string]string{
		"soko-3":                "soko-3.example.org",
		"soko-9":                "spiffe://example.org/soko/9",
		"SOKO_3":                "SOKO_3.example.org",
		"":                      "",
		"a.b":                   "",
		"*":                     "",
		"a/b":                   "",
		"-a":                    "",
		"soko-3.example.org":    "",
		"a\x00b":                "",
		"é":                     "",
		strings.Repeat("a", 64): "",
	} {
		if got, err := n.CertificateName(server); got != want || (err == nil) != (want != "") {
			t.Errorf("server name %q: certificate name %q, error %v; want %q", server, got, err, want)
		}
	}
	oneForAll := &Names{Pattern: "soko.example.org"}
	if got, err := oneForAll.CertificateName("any.thing"); got != "soko.example.org" || err != nil {
		t.Errorf("pattern without a placeholder: certificate name %q, error %v, want the pattern", got, err)
	}
	if _, err := (&Names{}).CertificateName("soko-3"); err == nil {
		t.Error("no error for a server without a configured name")
	}
	for name, ok := range map[string]bool{
		"soko-3.example.org":               true,
		"{name}.example.org":               true,
		"{name}":                           true,
		"10.0.0.1":                         true,
		"::1":                              true,
		"spiffe://example.org/soko/{name}": true,
		"":                                 false,
		"a..b":                             false,
		"*.example.org":                    false,
		"a b":                              false,
		"https://x/":                       false,
		"spiffe://":                        false,
		"spiffe://example.org":             false,
		"spiffe://e/x?y":                   false,
		"spiffe://e:1/x":                   false,
		"spiffe://u@e/x":                   false,
		strings.Repeat("a.", 150) + "a":    false,
	} {
		if err := CheckName(name); (err == nil) != ok {
			t.Errorf("%q: error %v, want valid: %t", name, err, ok)
		}
	}
}

// Whatever name membership states, the derived name has the form of the operator's pattern.
func FuzzNames(f *testing.F) {
	for _, server := range []string{"soko-3", "a.b", "{name}", "spiffe://x/y", "*"} {
		f.Add(server)
	}
	n := &Names{Pattern: "{name}.soko.example.org"}
	f.Fuzz(func(t *testing.T, server string) {
		got, err := n.CertificateName(server)
		if err != nil {
			return
		}
		wellFormed := strings.Count(got, ".") == 3 && strings.HasSuffix(got, ".soko.example.org") &&
			!strings.ContainsAny(got, "*/ {}")
		if !wellFormed || CheckName(got) != nil {
			t.Errorf("server name %q results in the invalid certificate name %q", server, got)
		}
	})
}
