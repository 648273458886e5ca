// Package tomlfile reads files of operators: TOML whose unknown keys are errors, and
// whose every fault is told with line, key and reason, all at once.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Duration is written with its unit: "250ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes it as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Micros is the duration in microseconds.
func (d Duration) Micros() int64 { return time.Duration(d).Microseconds() }

// Error says what is wrong with one key of the operator's file.
type Error struct {
	Line   int // 0 if the key is not in the file
	Key    string
	Reason string
}

// Error is one line.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Reason)
}

// File is a file that has been decoded, and the faults found in it since.
type File struct {
	lines    map[string]int // of keys and tables, by path
	errs     []*Error
	warnings []*Error
}

// Decode reads a file of so many bytes at most into a struct with toml tags. Its
// error joins one *Error for every key that is not known or can't be read.
func Decode(data []byte, most int, into any) (*File, error) {
	if len(data) > most {
		return nil, &Error{Key: "file", Reason: fmt.Sprintf("is over %d bytes", most)}
	}
	if !utf8.Valid(data) {
		line := 1
		for len(data) > 0 {
			r, n := utf8.DecodeRune(data)
			if r == utf8.RuneError && n == 1 {
				break
			}
			if r == '\n' {
				line++
			}
			data = data[n:]
		}
		return nil, &Error{Line: line, Key: "file", Reason: "is not UTF-8"}
	}
	lines, numbers := keyLines(data)
	f := &File{lines: lines}
	durations := map[string]bool{}
	durationKeys(reflect.TypeOf(into).Elem(), "", durations)
	for key, value := range numbers {
		f.Require(!durations[arrayIndex.ReplaceAllString(key, "")], key, "%s has no unit: write \"%ss\" for seconds", value, value)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return nil, decodeErrors(err)
	}
	return f, nil
}

var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// durationKeys collects the keys that hold a Duration. The library would take a bare
// number for one, in nanoseconds.
func durationKeys(t reflect.Type, at string, out map[string]bool) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t == reflect.TypeFor[Duration]() {
		out[at] = true
		return
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		switch {
		case f.Anonymous && name == "":
			durationKeys(f.Type, at, out)
		case f.IsExported() && name != "":
			durationKeys(f.Type, strings.TrimPrefix(at+"."+name, "."), out)
		}
	}
}

// Require notes a fault of a key unless ok.
func (f *File) Require(ok bool, key, format string, args ...any) {
	if ok {
		return
	}
	f.errs = append(f.errs, &Error{Line: f.line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// line is where a key stands, or its table if the key is missing.
func (f *File) line(key string) int {
	line := f.lines[key]
	for at := key; line == 0 && strings.Contains(at, "."); {
		at = at[:strings.LastIndex(at, ".")]
		line = f.lines[at]
	}
	return line
}

// Warn notes what is legal and unwise. It is no fault.
func (f *File) Warn(key, reason string) {
	f.warnings = append(f.warnings, &Error{Line: f.line(key), Key: key, Reason: reason})
}

// Warnings returns what was warned of, in the order of the lines.
func (f *File) Warnings() []*Error {
	slices.SortStableFunc(f.warnings, func(a, b *Error) int { return a.Line - b.Line })
	return f.warnings
}

// Positive notes a fault unless a duration is positive.
func (f *File) Positive(key string, d Duration) {
	f.Require(d > 0, key, "%v is not positive", time.Duration(d))
}

// Good says that no fault was noted.
func (f *File) Good() bool { return len(f.errs) == 0 }

// Err joins the faults noted, in the order of their lines; nil if there are none.
func (f *File) Err() error {
	if len(f.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(f.errs, func(a, b *Error) int { return a.Line - b.Line })
	errs := make([]error, len(f.errs))
	for i, e := range f.errs {
		errs[i] = e
	}
	return errors.Join(errs...)
}

// decodeErrors turns the library's errors into *Errors.
func decodeErrors(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		errs := make([]error, len(strict.Errors))
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			errs[i] = &Error{Line: line, Key: strings.Join(strict.Errors[i].Key(), "."), Reason: "is not a known key"}
		}
		return errors.Join(errs...)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		if key == "" {
			key = "file"
		}
		return &Error{Line: line, Key: key, Reason: strings.TrimPrefix(decode.Error(), "toml: ")}
	}
	return &Error{Key: "file", Reason: strings.TrimPrefix(err.Error(), "toml: ")}
}

// keyLines tells on which line each key and table of a well-formed file stands, and
// which keys hold a number.
func keyLines(data []byte) (lines map[string]int, numbers map[string]string) {
	lines, numbers = map[string]int{}, map[string]string{}
	counts := map[string]int{}
	var p unstable.Parser
	p.Reset(data)
	table, line, counted := "", 1, 0 // lines up to this offset: expressions come in order
	for p.NextExpression() {
		e := p.Expression()
		var words []string
		for it := e.Key(); it.Next(); {
			if at := int(it.Node().Raw.Offset); at > counted {
				line += bytes.Count(data[counted:at], []byte("\n"))
				counted = at
			}
			words = append(words, string(it.Node().Data))
		}
		path := strings.Join(words, ".")
		switch e.Kind {
		case unstable.Table:
			table = path + "."
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d].", path, counts[path])
			counts[path]++
		case unstable.KeyValue:
			lines[table+path] = line
			if v := e.Value(); v.Kind == unstable.Integer || v.Kind == unstable.Float {
				numbers[table+path] = string(v.Data)
			}
			continue
		default:
			continue
		}
		lines[strings.TrimSuffix(table, ".")] = line
	}
	return lines, numbers
}
