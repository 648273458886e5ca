// Package tomlfile decodes TOML files that operators write. Unknown keys and durations without a unit are errors. All
// errors of a file are returned together, each with its line, key and reason.
//
// Decode decodes a file into a struct. The caller then checks values with File.Require and File.Positive, which record
// an error for a key, and returns File.Err.
package tomlfile
