//go:build race

package replica

func init() { raced = true }
