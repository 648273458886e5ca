//go:build race

package replication

func init() { raceEnabled = true }
