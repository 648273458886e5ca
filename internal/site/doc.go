// Package site runs pinedale as the operator's TOML file configures it. It does three jobs, each in files of its
// own:
//
//   - file.go, read.go and section_*.go: the file as written, with its defaults. Each section is a type.
//   - check.go and the check methods in section_*.go: every error of a file, with line and key. A file with an
//     error is not used at all.
//   - build_*.go: what a valid file asks for, such as the settings of the balancer, the membership source, the
//     TLS stores and the fronts.
//
// Instance is the running process: the engine with its fronts, its source of membership and its connection to
// other instances. Instance.Reload replaces what may change in service.
package site
