package tomlfile

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes a file of at most maxBytes into the struct that target points to, by its toml tags. The error joins
// one *Error for each duration without a unit or for each unknown key, or is the *Error of the first invalid value.
func Decode(data []byte, maxBytes int, target any) (*File, error) {
	if len(data) > maxBytes {
		return nil, &Error{Key: fileKey, Reason: fmt.Sprintf("is over %d bytes", maxBytes)}
	}
	if !utf8.Valid(data) {
		return nil, &Error{Line: firstInvalidLine(data), Key: fileKey, Reason: "is not UTF-8"}
	}
	positions := locateKeys(data)
	file := &File{lines: positions.lines}
	file.requireUnits(reflect.TypeOf(target).Elem(), positions.numbers)
	if err := file.Err(); err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, convertError(err)
	}
	return file, nil
}

// firstInvalidLine returns the line of the first byte that is not UTF-8.
func firstInvalidLine(data []byte) int {
	line := 1
	for len(data) > 0 {
		char, size := utf8.DecodeRune(data)
		if char == utf8.RuneError && size == 1 {
			break
		}
		if char == '\n' {
			line++
		}
		data = data[size:]
	}
	return line
}

// arrayIndex matches the index of a table in an array of tables.
var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// requireUnits records an error for each duration of the target type that is written as a number without a unit.
// numbers holds the numbers of the file as they are written, by their complete keys.
func (f *File) requireUnits(target reflect.Type, numbers map[string]string) {
	durations := map[string]bool{}
	addDurationKeys(target, "", durations)
	for key, value := range numbers {
		isDuration := durations[arrayIndex.ReplaceAllString(key, "")]
		f.Require(!isDuration, key, "%s has no unit: write \"%ss\" for seconds", value, value)
	}
}
