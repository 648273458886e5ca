package tomlfile

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// File collects the errors and warnings about a decoded file.
type File struct {
	lines    map[string]int // of keys and tables, by complete key, such as "class[1].deadline"
	errs     []*Error
	warnings []*Error
}

// Require records an error for a key unless ok is set.
func (f *File) Require(ok bool, key, format string, args ...any) {
	if ok {
		return
	}
	f.errs = append(f.errs, &Error{Line: f.line(key), Key: key, Reason: fmt.Sprintf(format, args...)})
}

// Positive records an error for a key unless its value is positive.
func (f *File) Positive(key string, value Duration) {
	f.Require(value > 0, key, "%v is not positive", time.Duration(value))
}

// Warn records a value that is valid but probably a mistake.
func (f *File) Warn(key, reason string) {
	f.warnings = append(f.warnings, &Error{Line: f.line(key), Key: key, Reason: reason})
}

// Valid reports whether no error was recorded.
func (f *File) Valid() bool { return len(f.errs) == 0 }

// Err returns the recorded errors, joined in the order of their lines, nil if there are none.
func (f *File) Err() error {
	if f.Valid() {
		return nil
	}
	sortByLine(f.errs)
	errs := make([]error, len(f.errs))
	for i, e := range f.errs {
		errs[i] = e
	}
	return errors.Join(errs...)
}

// Warnings returns the recorded warnings in the order of their lines.
func (f *File) Warnings() []*Error {
	sortByLine(f.warnings)
	return f.warnings
}

// line returns the line of a key. If the file lacks the key, it returns the line of the innermost table of the key
// that the file contains, or 0 if there is none.
func (f *File) line(key string) int {
	for {
		if line := f.lines[key]; line != 0 {
			return line
		}
		dot := strings.LastIndex(key, ".")
		if dot < 0 {
			return 0
		}
		key = key[:dot]
	}
}
