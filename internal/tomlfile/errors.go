package tomlfile

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// fileKey is the key of errors that belong to no key.
const fileKey = "file"

// libraryPrefix begins the messages of the TOML library.
const libraryPrefix = "toml: "

// Error is what is wrong with one key of a file.
type Error struct {
	Line   int    // 0 if the key is not in the file
	Key    string // with its tables, such as "class[1].deadline"
	Reason string // for operators
}

// Error returns the error as one line.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Key, e.Reason)
}

// sortByLine sorts errors by their lines and keeps the order of those on one line.
func sortByLine(errs []*Error) {
	slices.SortStableFunc(errs, func(a, b *Error) int { return a.Line - b.Line })
}

// convertError returns an error of the TOML library as one or several *Error.
func convertError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		errs := make([]error, len(strict.Errors))
		for i := range strict.Errors {
			line, _ := strict.Errors[i].Position()
			key := strings.Join(strict.Errors[i].Key(), ".")
			errs[i] = &Error{Line: line, Key: key, Reason: "is not a known key"}
		}
		return errors.Join(errs...)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		if key == "" {
			key = fileKey
		}
		return &Error{Line: line, Key: key, Reason: strings.TrimPrefix(decode.Error(), libraryPrefix)}
	}
	return &Error{Key: fileKey, Reason: strings.TrimPrefix(err.Error(), libraryPrefix)}
}
