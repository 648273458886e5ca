package tomlfile

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// shop is a file of these tests.
type shop struct {
	Name    string   `toml:"name"`
	Timeout Duration `toml:"timeout"`
	Stalls  []struct {
		Name string   `toml:"name"`
		Wait Duration `toml:"wait"`
	} `toml:"stall"`
}

const maxTestBytes = 1 << 10

// Errors of decoding name the line and the key.
func TestDecodeErrorsNameLineAndKey(t *testing.T) {
	for condition, c := range map[string]struct {
		text string
		want string
	}{
		"unknown key":          {"name = \"a\"\ncolor = 1\n", "line 2: color: is not a known key"},
		"unknown key in table": {"[[stall]]\nsize = 3\n", "line 2: stall.size: is not a known key"},
		"no unit":              {"timeout = 3\n", "line 1: timeout: 3 has no unit: write \"3s\" for seconds"},
		"no unit in an array": {
			"[[stall]]\nwait = \"1s\"\n[[stall]]\nwait = 2\n",
			"line 4: stall[1].wait: 2 has no unit: write \"2s\" for seconds",
		},
		"not UTF-8": {"name = \"a\"\n# \xff\n", "line 2: file: is not UTF-8"},
		"too large": {strings.Repeat("#", maxTestBytes+1), "file: is over 1024 bytes"},
	} {
		_, err := Decode([]byte(c.text), maxTestBytes, &shop{})
		if err == nil || err.Error() != c.want {
			t.Errorf("%s: %v, want %s", condition, err, c.want)
		}
		var fault *Error
		if !errors.As(err, &fault) {
			t.Errorf("%s: %T is no *Error", condition, err)
		}
	}
}

// Errors and warnings that the caller records come in the order of the lines; a missing key has its table's line.
func TestRecordedErrorsAreSortedByLine(t *testing.T) {
	var decoded shop
	text := "name = \"a\"\ntimeout = \"250ms\"\n[[stall]]\nname = \"b\"\n[[stall]]\nname = \"c\"\n"
	file, err := Decode([]byte(text), maxTestBytes, &decoded)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Timeout != Duration(250*time.Millisecond) || decoded.Timeout.Microseconds() != 250_000 {
		t.Errorf("timeout %v", decoded.Timeout)
	}
	if !file.Valid() || file.Err() != nil {
		t.Errorf("errors before a check: %v", file.Err())
	}
	file.Positive("stall[1].wait", decoded.Stalls[1].Wait)
	file.Require(decoded.Name == "b", "name", "%q is not b", decoded.Name)
	file.Require(true, "timeout", "is fine")
	file.Warn("stall[0].name", "is short")
	file.Warn("name", "is short")
	const want = "line 1: name: \"a\" is not b\nline 5: stall[1].wait: 0s is not positive"
	if err := file.Err(); err == nil || err.Error() != want || file.Valid() {
		t.Errorf("%v, want %s", err, want)
	}
	warnings := file.Warnings()
	if len(warnings) != 2 || warnings[0].Line != 1 || warnings[1].Line != 4 {
		t.Errorf("warnings %v", warnings)
	}
}

// A duration is formatted as it is parsed.
func TestDurationTextRoundTrip(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("1.5s")); err != nil {
		t.Fatal(err)
	}
	text, err := d.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != "1.5s" {
		t.Errorf("formatted as %s", text)
	}
	if err := d.UnmarshalText([]byte("soon")); err == nil {
		t.Error("parsed a word")
	}
}
