// Package tomlfile decodes TOML files that operators write. Unknown keys and durations without a unit are errors. Each
// error has a line, a key and a reason; all errors that one step finds are returned together.
//
// Decode decodes a file into a struct. The caller then checks values with File.Require and File.Positive, which record
// an error for a key, and returns File.Err.
package tomlfile
