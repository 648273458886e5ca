package tomlfile

import (
	"reflect"
	"strings"
	"time"
)

// Duration is a duration that is written with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	*d = Duration(value)
	return err
}

// MarshalText formats the duration so that UnmarshalText parses it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Microseconds returns the duration in microseconds.
func (d Duration) Microseconds() int64 { return time.Duration(d).Microseconds() }

// addDurationKeys adds the keys of a type that hold a Duration, without indexes, to keys. prefix is the key of
// the type itself, "" for the file. The TOML library would accept a bare number for a Duration, as nanoseconds.
func addDurationKeys(t reflect.Type, prefix string, keys map[string]bool) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t == reflect.TypeFor[Duration]() {
		keys[prefix] = true
		return
	}
	if t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		switch {
		case field.Anonymous && name == "":
			addDurationKeys(field.Type, prefix, keys)
		case field.IsExported() && name != "":
			addDurationKeys(field.Type, strings.TrimPrefix(prefix+"."+name, "."), keys)
		}
	}
}
