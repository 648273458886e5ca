// Package schedule describes the faults of a fault test: what happens to its processes and to the network paths
// between them, and when. A schedule is drawn from a seed or parsed from a TOML file. The package does no I/O.
package schedule
