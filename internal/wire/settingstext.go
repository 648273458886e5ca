package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"pinedale/balancer"
)

// maxListLength bounds the lists of classes and tenants.
const maxListLength = 256

// settingsText holds the pairs of a settings text and the first conversion error.
type settingsText struct {
	pairs map[string]string
	err   error
}

// parsePairs splits a settings text into keys and values.
func parsePairs(text string) (*settingsText, error) {
	t := &settingsText{pairs: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &balancer.SettingError{
				Key:    fmt.Sprintf("line %d", i+1),
				Value:  line,
				Reason: "is not of the form path=value",
			}
		}
		t.pairs[key] = value
	}
	return t, nil
}

// fail records the first error.
func (t *settingsText) fail(key, value, reason string) {
	if t.err == nil {
		t.err = &balancer.SettingError{Key: key, Value: value, Reason: reason}
	}
}

// require fails if a key is absent.
func (t *settingsText) require(key string) {
	if _, ok := t.pairs[key]; !ok {
		t.fail(key, "", "is missing")
	}
}

// value returns the parsed value of a key, or the fallback if the key is absent. It records an error and returns the
// fallback if parse does not accept the value; form describes what parse accepts.
func value[T any](t *settingsText, key string, fallback T, form string, parse func(string) (T, error)) T {
	text, ok := t.pairs[key]
	if !ok {
		return fallback
	}
	parsed, err := parse(text)
	if err != nil {
		t.fail(key, text, "is not "+form)
		return fallback
	}
	return parsed
}

// number returns a finite number.
func (t *settingsText) number(key string, fallback float64) float64 {
	return value(t, key, fallback, "a finite number", parseFinite)
}

func parseFinite(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(number) || math.IsInf(number, 0)) {
		err = strconv.ErrRange
	}
	return number, err
}

// integer returns a 64-bit integer.
func (t *settingsText) integer(key string, fallback int64) int64 {
	return value(t, key, fallback, "a 64-bit integer", func(text string) (int64, error) {
		return strconv.ParseInt(text, 10, 64)
	})
}

// boolean returns a boolean, false if the key is absent.
func (t *settingsText) boolean(key string) bool {
	return value(t, key, false, "true or false", strconv.ParseBool)
}

// keyword returns the entry of meanings for the value of a key. A value without an entry is an error.
func keyword[T any](t *settingsText, key string, fallback T, meanings map[string]T) T {
	return value(t, key, fallback, "a known keyword", func(text string) (T, error) {
		if meaning, ok := meanings[text]; ok {
			return meaning, nil
		}
		return fallback, strconv.ErrSyntax
	})
}

// count returns the length of a list of objects. Each object must have at least one key.
func (t *settingsText) count(list string, required bool) int {
	key := list + ".count"
	if required {
		t.require(key)
	}
	count := t.integer(key, 0)
	text := strconv.FormatInt(count, 10)
	if count < 0 || count > maxListLength {
		t.fail(key, text, "is out of range")
		return 0
	}
	for i := range int(count) {
		object := fmt.Sprintf("%s.%d", list, i)
		if !t.hasPrefix(object + ".") {
			t.fail(key, text, object+" is missing")
		}
	}
	return int(count)
}

// hasPrefix reports whether any key has the prefix.
func (t *settingsText) hasPrefix(prefix string) bool {
	for key := range t.pairs {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// countItems counts the comma-separated items of a list of plain values.
func countItems(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}
