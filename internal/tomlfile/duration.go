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

// addDurationKeys adds the keys of all fields of type Duration to keys, without array indexes. prefix is the key of a
// value of the given type, "" for the file. The keys are needed because the TOML library accepts a number without a
// unit for a Duration and takes it as nanoseconds.
func addDurationKeys(valueType reflect.Type, prefix string, keys map[string]bool) {
	for valueType.Kind() == reflect.Pointer || valueType.Kind() == reflect.Slice {
		valueType = valueType.Elem()
	}
	if valueType == reflect.TypeFor[Duration]() {
		keys[prefix] = true
		return
	}
	if valueType.Kind() != reflect.Struct {
		return
	}
	for i := range valueType.NumField() {
		field := valueType.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		switch {
		case field.Anonymous && name == "":
			addDurationKeys(field.Type, prefix, keys)
		case field.IsExported() && name != "":
			addDurationKeys(field.Type, strings.TrimPrefix(prefix+"."+name, "."), keys)
		}
	}
}
