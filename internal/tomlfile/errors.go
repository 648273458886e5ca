package tomlfile

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// fileKey is the key of errors about the file as a whole.
const fileKey = "file"

// libraryPrefix is the prefix of error texts of the TOML library.
const libraryPrefix = "toml: "

// Error reports an invalid key or value of a file.
type Error struct {
	Line   int    // 0 if the key is not in the file
	Key    string // complete key, such as "class[1].deadline"
	Reason string // for operators
}

// Error returns line, key and reason.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Reason)
}

// sortByLine sorts errors by line. Errors of one line remain in their order.
func sortByLine(errs []*Error) {
	slices.SortStableFunc(errs, func(a, b *Error) int { return a.Line - b.Line })
}

// convertError converts an error of the TOML library to an *Error, or to several that are joined.
func convertError(err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		return convertUnknownKeys(unknownKeys)
	}
	converted := &Error{Key: fileKey, Reason: strings.TrimPrefix(err.Error(), libraryPrefix)}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		converted.Line, _ = invalid.Position()
		converted.Reason = strings.TrimPrefix(invalid.Error(), libraryPrefix)
		if key := strings.Join(invalid.Key(), "."); key != "" {
			converted.Key = key
		}
	}
	return converted
}

// convertUnknownKeys returns one *Error for each unknown key.
func convertUnknownKeys(unknownKeys *toml.StrictMissingError) error {
	errs := make([]error, len(unknownKeys.Errors))
	for i := range unknownKeys.Errors {
		unknown := &unknownKeys.Errors[i]
		line, _ := unknown.Position()
		key := strings.Join(unknown.Key(), ".")
		errs[i] = &Error{Line: line, Key: key, Reason: "is not a known key"}
	}
	return errors.Join(errs...)
}
