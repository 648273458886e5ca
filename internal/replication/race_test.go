//go:build race

package replication

func init() { raced = true }
