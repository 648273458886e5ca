// Package config reads and checks the operator's TOML file, and converts it to the settings of the balancer and of the
// policy compiler:
//
//   - file.go, read.go and section_*.go: the file as written, with its defaults. Each section is a type.
//   - check.go and the check methods in section_*.go: every error of a file, with line and key. A file with an
//     error is not used at all.
//   - settings.go: the settings that follow from a valid file.
//   - summary.go, keys_report.go and version.go: what programs print about a valid file.
//
// Package app builds and runs what a file configures.
package config
