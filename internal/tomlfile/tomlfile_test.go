package tomlfile

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// shop is the struct that these tests decode files into.
type shop struct {
	Name    string   `toml:"name"`
	Timeout Duration `toml:"timeout"`
	Stalls  []struct {
		Name string   `toml:"name"`
		Wait Duration `toml:"wait"`
	} `toml:"stall"`
}

const maxTestBytes = 1 << 10

func TestDecodeErrorsContainLineAndKey(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want string
	}{
		"unknown key": {
			text: `name = "a"
color = 1
`,
			want: "line 2: color: is not a known key",
		},
		"unknown key in a table": {
			text: `[[stall]]
size = 3
`,
			want: "line 2: stall.size: is not a known key",
		},
		"duration without a unit": {
			text: "timeout = 3\n",
			want: `line 1: timeout: 3 has no unit: write "3s" for seconds`,
		},
		"duration without a unit in an array": {
			text: `[[stall]]
wait = "1s"
[[stall]]
wait = 2
`,
			want: `line 4: stall[1].wait: 2 has no unit: write "2s" for seconds`,
		},
		"not UTF-8": {
			text: "name = \"a\"\n# \xff\n",
			want: "line 2: file: is not UTF-8",
		},
		"too large": {
			text: strings.Repeat("#", maxTestBytes+1),
			want: "file: is over 1024 bytes",
		},
	} {
		_, err := Decode([]byte(c.text), maxTestBytes, &shop{})
		if err == nil || err.Error() != c.want {
			t.Errorf("%s: error %v, want %s", name, err, c.want)
		}
		var typed *Error
		if !errors.As(err, &typed) {
			t.Errorf("%s: the error is a %T, want an *Error", name, err)
		}
	}
}

// Errors and warnings that the caller records are sorted by line. A missing key has the line of its table.
func TestRecordedErrorsAreSortedByLine(t *testing.T) {
	var decoded shop
	const text = `name = "a"
timeout = "250ms"
[[stall]]
name = "b"
[[stall]]
name = "c"
`
	file, err := Decode([]byte(text), maxTestBytes, &decoded)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Timeout != Duration(250*time.Millisecond) || decoded.Timeout.Microseconds() != 250_000 {
		t.Errorf("timeout %v, want 250ms", decoded.Timeout)
	}
	if !file.Valid() || file.Err() != nil {
		t.Errorf("error %v before any check", file.Err())
	}
	file.Positive("stall[1].wait", decoded.Stalls[1].Wait)
	file.Require(decoded.Name == "b", "name", "%q is not b", decoded.Name)
	file.Require(true, "timeout", "is fine")
	file.Warn("stall[0].name", "is short")
	file.Warn("name", "is short")
	const want = `line 1: name: "a" is not b
line 5: stall[1].wait: 0s is not positive`
	if err := file.Err(); err == nil || err.Error() != want || file.Valid() {
		t.Errorf("error %v, want %s", err, want)
	}
	warnings := file.Warnings()
	if len(warnings) != 2 || warnings[0].Line != 1 || warnings[1].Line != 4 {
		t.Errorf("warnings %v, want one for line 1 and one for line 4", warnings)
	}
}

func TestDurationIsFormattedAsParsed(t *testing.T) {
	var duration Duration
	if err := duration.UnmarshalText([]byte("1.5s")); err != nil {
		t.Fatal(err)
	}
	text, err := duration.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != "1.5s" {
		t.Errorf("formatted as %s, want 1.5s", text)
	}
}

func TestDurationRejectsTextWithoutNumber(t *testing.T) {
	var duration Duration
	if err := duration.UnmarshalText([]byte("soon")); err == nil {
		t.Errorf("the text was parsed as %v, want an error", duration)
	}
}
